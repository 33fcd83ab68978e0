// Package stager is the state machine of the lifecycle of a node: its stages
// and the transitions between them.
package stager
