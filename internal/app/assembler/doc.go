// Package assembler builds a node that streams requests from its parts and
// runs them in a supervisor tree.
package assembler
