// Package transporter is the transport of requests between nodes: the client side
// in the node that received a request from its caller, and the server side in
// the node beside the backend server that runs it.
package transporter
