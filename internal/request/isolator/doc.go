// Package isolator keeps a request that crashes backend servers from crashing
// more than two of one service: after the first crash the request runs alone,
// and after a second one it is refused.
package isolator
