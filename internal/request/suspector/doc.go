// Package suspector counts over all nodes the deaths of backend servers
// against the requests that ran there, and refuses a request under which one
// backend server after the other has died.
package suspector
