// Package slotter carries out the allocation of rate slots: it writes the
// document, and opens and closes the slots that the node keeps.
package slotter
