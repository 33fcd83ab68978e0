// Package acceptor is an HTTP/1.1 server: it handles pipelined requests
// concurrently, writes the responses in order and detects that a caller
// disconnected.
package acceptor
