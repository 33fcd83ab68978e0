// Package dispatcher sends a request to a backend server of its service and
// decides whether a failed attempt is retried.
package dispatcher
