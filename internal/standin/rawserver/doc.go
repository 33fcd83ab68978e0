// Package rawserver serves a stand-in for a server in trouble, which responds with
// given bytes and ends its connections in a given way, and holds such responses.
package rawserver
