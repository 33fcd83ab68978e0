// Package backendserver serves a stand-in for a backend server, with configurable
// concurrency, service time, cold start, nested calls, health and crashes, and
// counts the runs of each request.
package backendserver
