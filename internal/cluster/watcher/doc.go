// Package watcher reads replicated documents from the store; in each
// availability zone a few nodes hold watches, the others read seldom.
package watcher
