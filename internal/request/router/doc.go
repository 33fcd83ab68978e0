// Package router indexes a configuration, so that the time to look up the route
// and the workspace of a request does not grow with their number.
package router
