// Package replicator keeps the newest version of each replicated document;
// versions only increase.
package replicator
