// Package assembler builds the parts of a node that streams requests and runs
// them together; if a part fails, the node stops.
package assembler
