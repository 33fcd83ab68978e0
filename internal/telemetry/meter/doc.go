// Package meter records the metrics of the node and serves them in the
// Prometheus text format.
package meter
