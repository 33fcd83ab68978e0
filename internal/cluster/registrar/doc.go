// Package registrar keeps the list of nodes and their backend servers: each
// node writes its own record to the store and notifies the others of changes.
package registrar
