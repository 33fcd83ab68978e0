// Package loadgenerator generates open-loop load and records the outcome of each
// request.
package loadgenerator
