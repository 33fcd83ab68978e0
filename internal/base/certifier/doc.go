// Package certifier reads certificates for the listeners and for peers.
package certifier
