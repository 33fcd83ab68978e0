// Package deduplicator runs a non-idempotent request at most once per
// idempotency key, however often and to whichever node it is sent.
package deduplicator
