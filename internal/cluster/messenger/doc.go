// Package messenger holds the control messages between nodes and their
// generated client and server.
package messenger
