// Package heartbeater exchanges heartbeats with other nodes: membership news
// and the versions of replicated documents ride on them.
package heartbeater
