// Package connector is an HTTP/1.1 client for one address that reuses idle
// connections. It sends each request at most once and never retries.
package connector
