// Package messenger holds the generated messages, client and server of the
// control calls between nodes.
package messenger
