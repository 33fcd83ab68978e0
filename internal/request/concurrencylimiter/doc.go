// Package concurrencylimiter enforces the concurrency limit of a backend server: it
// queues the requests above the limit and refuses the rest as not run.
package concurrencylimiter
