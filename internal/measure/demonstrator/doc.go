// Package demonstrator runs the demo on a fleet of separate processes and prints one
// row with the result of each step.
package demonstrator
