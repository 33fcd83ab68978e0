// Package runner implements the command line: the commands that run a node and
// the tools of operators.
package runner
