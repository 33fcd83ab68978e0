// Package allocator assigns rate slots to nodes; a slot is taken from its owner
// only if that owner provably no longer uses it.
package allocator
