// Package assembler builds a node that streams requests from its parts and
// runs the parts together; if one of them fails, the node ends.
package assembler
