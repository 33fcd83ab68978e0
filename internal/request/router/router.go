package router

import (
	"sort"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Bounds are the limits on what callers send; 0 means no limit.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Router finds routes and workspaces; it is immutable.
type Router interface {
	// Version returns the version of the configuration.
	Version() uint64
	// Route returns the route of a host and a path, and whether there is one.
	Route(host, method, path string) (chivegauge.Route, bool)
	// Holder returns the workspace that holds a key, and whether there is one.
	Holder(key string) (chivegauge.Workspace, bool)
	// Workspaces returns all workspaces.
	Workspaces() []chivegauge.Workspace
	// Bounds returns the limits on what callers send.
	Bounds() Bounds
	// HealthPath returns the path at which backend servers of the service tell their health.
	HealthPath(service string) string
}

// Document is a configuration with what the router needs besides.
type Document struct {
	Version uint64
	Config  chivegauge.Configuration
	Bounds  Bounds

	// Keys are the plain keys of each workspace, by name.
	Keys map[string][]string

	// HealthPaths are the health paths of services, by name.
	HealthPaths map[string]string
}

type router struct {
	doc    Document
	hosts  map[string][]chivegauge.Route
	owners map[string]chivegauge.Workspace
}

// New returns a router over the document.
func New(d Document) Router {
	r := &router{
		doc:    d,
		hosts:  map[string][]chivegauge.Route{},
		owners: map[string]chivegauge.Workspace{},
	}
	for _, route := range d.Config.Routes {
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
	}
	for _, list := range r.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, w := range d.Config.Workspaces {
		for _, key := range d.Keys[w.Name] {
			r.owners[key] = w
		}
	}
	return r
}

// Version returns the version of the configuration.
func (r *router) Version() uint64 {
	return r.doc.Version
}

// Route returns the route with the longest prefix of the host, or of no host.
func (r *router) Route(host, method, path string) (chivegauge.Route, bool) {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, list := range [][]chivegauge.Route{r.hosts[strings.ToLower(withoutPort(host))], r.hosts[""]} {
		for _, route := range list {
			if route.Matches(method, path) {
				return route, true
			}
		}
	}
	return chivegauge.Route{}, false
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Holder returns the workspace that holds the key.
func (r *router) Holder(key string) (chivegauge.Workspace, bool) {
	w, ok := r.owners[key]
	return w, ok
}

// Workspaces returns all workspaces.
func (r *router) Workspaces() []chivegauge.Workspace {
	return r.doc.Config.Workspaces
}

// Bounds returns the limits on what callers send.
func (r *router) Bounds() Bounds {
	return r.doc.Bounds
}

// HealthPath returns the health path of the service, empty if there is none.
func (r *router) HealthPath(service string) string {
	return r.doc.HealthPaths[service]
}
