// Package acceptor is an HTTP/1.1 server: it handles pipelined requests
// concurrently, answers them in order and detects that a caller disconnected.
package acceptor
