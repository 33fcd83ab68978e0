// Package tracker records the attempts that reached a node, so that each runs
// at most once and a sender that lost its connection can query the outcome.
package tracker
