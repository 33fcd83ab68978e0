// Package executor runs calls on the backend server beside the node, each
// attempt at most once, and keeps the responses for senders that lost theirs.
package executor
