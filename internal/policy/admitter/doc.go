// Package admitter decides which requests an overloaded service admits: by
// importance, then by a hash of the root request, so that all services on one
// call tree decide alike. Calling services apply the admission levels too.
package admitter
