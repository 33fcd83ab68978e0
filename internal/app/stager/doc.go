// Package stager holds the stages of a node's life and which may follow which.
package stager
