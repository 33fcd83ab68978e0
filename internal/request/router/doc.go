// Package router indexes a configuration, so that the route and the workspace
// of a request are found in a time that does not grow with their number.
package router
