// Package storeserver serves a stand-in for the platform's object store, which
// can simulate outages, delays and writes that are applied but not acknowledged.
package storeserver
