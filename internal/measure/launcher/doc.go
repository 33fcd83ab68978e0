// Package launcher starts the programs of a small fleet as separate processes
// on loopback, for the demo, the measurements and the fault tests.
package launcher
