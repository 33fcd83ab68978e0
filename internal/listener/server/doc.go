// Package server provides the HTTP servers of a node's listeners.
package server
