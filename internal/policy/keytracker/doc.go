// Package keytracker tracks idempotency keys and the responses to their
// requests, and decides how a repeated key is answered.
package keytracker
