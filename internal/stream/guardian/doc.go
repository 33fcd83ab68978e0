// Package guardian stands between the nodes and the backend server beside
// this one: it knows which start of it is alive and whether it leaves, lets
// in what fits, and tells what is known of each run.
package guardian
