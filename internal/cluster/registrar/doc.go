// Package registrar keeps the list of nodes and of what is beside them: each
// node writes its own record to the store and tells the others of changes.
package registrar
