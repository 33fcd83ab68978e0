// Package driver sends an open-loop load of callers and records what each got.
package driver
