// Package watcher reads replicated documents from the store: in each
// availability zone a few nodes watch them, the others read them periodically.
package watcher
