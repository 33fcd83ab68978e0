// Package lessee spends the rate tokens leased to this node, and decides when
// to request more, from which slots, and which tokens to return.
package lessee
