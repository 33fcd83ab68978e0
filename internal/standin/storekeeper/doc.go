// Package storekeeper is a small stand-in for the platform's object store,
// with switches for outages, slowness and answers lost after the effect.
package storekeeper
