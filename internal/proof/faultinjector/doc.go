// Package faultinjector injects network faults between separate processes. Its tests
// start a fleet, inject faults of processes, networks and the store, and check
// which guarantees still hold.
package faultinjector
