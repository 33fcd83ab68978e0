// Package replicator keeps the newest version of each replicated document and
// never goes back to an older one.
package replicator
