// Package limiter sets the concurrency limit of a backend server.
package limiter
