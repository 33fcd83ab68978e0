// Package storer is a client of the platform's object store, which has
// versioned objects, conditional writes, lists and watches over HTTP.
package storer
