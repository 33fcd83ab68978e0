// Package server makes the HTTP servers of a node's listeners.
package server
