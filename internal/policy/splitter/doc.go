// Package splitter deals the requests of a route out to services in the
// proportion of their weights.
package splitter
