// Package runner is the command line: the node itself and the tools of
// operators.
package runner
