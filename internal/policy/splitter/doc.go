// Package splitter distributes the requests of a route among services in
// proportion to their weights.
package splitter
