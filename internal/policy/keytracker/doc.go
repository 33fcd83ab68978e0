// Package keytracker tracks idempotency keys and the responses to their
// requests, and decides which response a request with a repeated key gets.
package keytracker
