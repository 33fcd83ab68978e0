// Package locallimiter limits the request rate of each workspace to this node's
// share of the workspace's rate.
package locallimiter
