// Package relayer serves the backend server beside the node: its nested calls
// run in the name of the request that they belong to.
package relayer
