// Package acceptor serves HTTP/1.1 connections: it reads requests that are
// sent ahead, answers them in order and notices when a caller leaves.
package acceptor
