// Package certifier loads the TLS certificates of the listeners and of the
// connections between nodes.
package certifier
