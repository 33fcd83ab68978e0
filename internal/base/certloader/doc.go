// Package certloader loads the TLS certificates of the listeners and of the
// connections between nodes.
package certloader
