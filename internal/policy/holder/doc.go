// Package holder spends the rate tokens that a node was lent, and decides when
// and where to ask for more and what to give back.
package holder
