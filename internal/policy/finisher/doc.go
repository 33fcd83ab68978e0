// Package finisher decides which requests may still begin on a node that stops:
// those that are expected to end before the node does.
package finisher
