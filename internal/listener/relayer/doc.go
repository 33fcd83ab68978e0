// Package relayer serves the local backend server: it dispatches nested calls as
// part of the request that makes them.
package relayer
