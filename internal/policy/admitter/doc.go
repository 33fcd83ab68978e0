// Package admitter decides which requests an overloaded service takes, by
// importance and then by a hash of the root request, so that each hop of one
// call tree decides alike, and carries that level upstream.
package admitter
