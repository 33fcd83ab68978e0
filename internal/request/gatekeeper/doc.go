// Package gatekeeper lets requests through to a backend server within its
// concurrency limit and refuses the rest as not run.
package gatekeeper
