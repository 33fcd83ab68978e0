// Package executor runs requests on the local backend server: it tracks from
// the server's reports which of its processes is current and whether that one is
// leaving, limits the requests that run at once, and determines the outcome of
// each run.
package executor
