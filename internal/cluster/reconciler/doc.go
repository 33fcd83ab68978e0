// Package reconciler reconciles the rate slots that the node owns with the
// allocation document: it opens and closes them, and writes a new allocation.
package reconciler
