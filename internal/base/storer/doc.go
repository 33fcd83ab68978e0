// Package storer reaches the platform's object store: versions, conditional
// updates, lists and watches over HTTP.
package storer
