package chivegauge

import (
	"strings"
	"time"
)

// Route maps requests by method and path prefix to a service.
type Route struct {
	Name       string
	Method     string
	Prefix     string
	Service    string
	Importance Importance
	Idempotent bool
	Open       bool
	Internal   bool
	DeadlineMs int
}

// Deadline returns the time that a request on the route may take.
func (r Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMs) * time.Millisecond
}

// Matches reports whether the route serves the method and the path.
func (r Route) Matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	rest := path[len(r.Prefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/")
}
