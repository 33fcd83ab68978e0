// Package tracker remembers the attempts that reached a node, so that each runs
// at most once and a sender that lost a connection can ask for its outcome.
package tracker
