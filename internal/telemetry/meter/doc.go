// Package meter counts what the node does and serves the counts in the
// Prometheus text format.
package meter
