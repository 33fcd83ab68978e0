// Package hopper carries an attempt to the node of another backend server and
// finds out what became of it when the connection shows no life.
package hopper
