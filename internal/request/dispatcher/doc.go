// Package dispatcher sends a request to a backend server of its service and
// decides whether another attempt may follow.
package dispatcher
