// Package worker is a small stand-in for a backend server: slots, service
// time, cold start, nested calls, lying health, and counts of runs.
package worker
