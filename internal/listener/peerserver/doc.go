// Package peerserver serves other nodes: it runs their attempts, returns the
// results of attempts sent earlier, and handles control messages.
package peerserver
