// Package heartbeater exchanges heartbeats with other nodes, which carry
// membership updates and the versions of replicated documents.
package heartbeater
