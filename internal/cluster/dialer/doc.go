// Package dialer creates the clients for control calls to other nodes.
package dialer
