// Package forwarder handles the requests that callers send to this node: it
// admits or refuses them, chooses the nodes that they are sent to, retries
// failed attempts and returns the response.
package forwarder
