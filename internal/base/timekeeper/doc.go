// Package timekeeper provides a monotonic clock that never steps and that
// includes the time in which the machine was suspended.
package timekeeper
