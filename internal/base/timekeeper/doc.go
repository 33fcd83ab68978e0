// Package timekeeper reads a clock that never steps and that counts the time
// in which the machine was suspended.
package timekeeper
