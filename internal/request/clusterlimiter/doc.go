// Package clusterlimiter limits the request rate of each workspace across all nodes
// with token buckets. One node owns the bucket of a workspace and grants tokens
// to the others as requests arrive; a small share of the rate is split evenly
// among the nodes, so that each can admit requests while the owner is
// unreachable.
package clusterlimiter
