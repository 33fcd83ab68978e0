// Package courier carries requests from the node where they begin to the
// node beside the backend server that is to run them.
package courier
