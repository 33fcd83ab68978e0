package router

import (
	"sort"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Bounds are the limits on the requests of callers: sizes in bytes and timeouts; 0 means no limit.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Router looks up routes and workspaces; it is immutable.
type Router interface {
	// Version returns the version of the configuration.
	Version() uint64
	// Route returns the route of a host, method and path, and whether there is one.
	Route(host, method, path string) (chivegauge.Route, bool)
	// WorkspaceByKey returns the workspace that an API key belongs to, and whether there is one.
	WorkspaceByKey(key string) (chivegauge.Workspace, bool)
	// Workspaces returns all workspaces.
	Workspaces() []chivegauge.Workspace
	// Bounds returns the limits on the requests of callers.
	Bounds() Bounds
	// HealthPath returns the path of the health check of a service, empty if there is none.
	HealthPath(service string) string
}

// Document is a configuration and the additional data that the router needs.
type Document struct {
	Version uint64
	Config  chivegauge.Configuration
	Bounds  Bounds

	// Keys are the API keys of each workspace in plain text, by workspace name.
	Keys map[string][]string

	// HealthPaths are the health check paths of the services, by service name.
	HealthPaths map[string]string
}

type router struct {
	doc             Document
	routesByHost    map[string][]chivegauge.Route
	workspacesByKey map[string]chivegauge.Workspace
}

// New returns a router for the document.
func New(d Document) Router {
	r := &router{
		doc:             d,
		routesByHost:    map[string][]chivegauge.Route{},
		workspacesByKey: map[string]chivegauge.Workspace{},
	}
	for _, route := range d.Config.Routes {
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
	}
	for _, list := range r.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, w := range d.Config.Workspaces {
		for _, key := range d.Keys[w.Name] {
			r.workspacesByKey[key] = w
		}
	}
	return r
}

// Version returns the version of the configuration.
func (r *router) Version() uint64 {
	return r.doc.Version
}

// Route returns the matching route with the longest path prefix: first among the routes of the host, then among those
// without a host.
func (r *router) Route(host, method, path string) (chivegauge.Route, bool) {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, list := range [][]chivegauge.Route{r.routesByHost[strings.ToLower(stripPort(host))], r.routesByHost[""]} {
		for _, route := range list {
			if route.Matches(method, path) {
				return route, true
			}
		}
	}
	return chivegauge.Route{}, false
}

// stripPort returns the host without its port; a bare IPv6 address in brackets has none.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// WorkspaceByKey returns the workspace that the API key belongs to.
func (r *router) WorkspaceByKey(key string) (chivegauge.Workspace, bool) {
	w, ok := r.workspacesByKey[key]
	return w, ok
}

// Workspaces returns all workspaces.
func (r *router) Workspaces() []chivegauge.Workspace {
	return r.doc.Config.Workspaces
}

// Bounds returns the limits on the requests of callers.
func (r *router) Bounds() Bounds {
	return r.doc.Bounds
}

// HealthPath returns the path of the health check of the service, empty if there is none.
func (r *router) HealthPath(service string) string {
	return r.doc.HealthPaths[service]
}
