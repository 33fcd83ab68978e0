// Package linker finds out which of the requests that run on a backend
// server make calls of their own. Calls name no parent, but one that has less
// time than its route allows ends at its parent's deadline.
package linker
