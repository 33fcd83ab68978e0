// Package recorder writes the decisions of a node with their inputs and outputs
// to a trace file of bounded size, as JSON lines.
package recorder
