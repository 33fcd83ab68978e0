// Package crashtracker counts, over all nodes, the crashes of backend servers
// against the requests that were running, and refuses a request after several
// backend servers crashed while they ran it.
package crashtracker
