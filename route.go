package chivegauge

import (
	"strings"
	"time"
)

// Route maps requests by host, method and path prefix to a service, or to several services by weight.
type Route struct {
	Name       string
	Host       string `json:",omitempty"`
	Method     string
	Prefix     string
	Service    string
	Split      []ServiceWeight `json:",omitempty"`
	Importance Importance
	Idempotent bool

	// Open states that requests need no key.
	Open bool

	// Internal states that the route serves nested calls of backend servers, and no requests of callers.
	Internal bool

	// DeadlineMs is the time that a request may take, in milliseconds.
	DeadlineMs int

	// TargetMs is the time in milliseconds within which a response has its full value, 0 if not stated.
	TargetMs int `json:",omitempty"`

	// Attempts is the largest number of backend servers that one request is sent to, 0 if not stated.
	Attempts int `json:",omitempty"`
}

// ServiceWeight is the weight of a service in the distribution of a route's requests.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Deadline returns the time that a request on the route may take.
func (r Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMs) * time.Millisecond
}

// Matches reports whether the route serves the method and the path; a prefix matches whole path segments only.
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
