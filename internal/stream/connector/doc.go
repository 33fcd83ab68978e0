// Package connector exchanges requests and answers over kept connections to
// one address. It never sends a request twice by itself.
package connector
