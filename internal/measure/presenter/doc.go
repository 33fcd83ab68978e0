// Package presenter runs the demo: a fleet of separate processes, and one row
// for what each step showed.
package presenter
