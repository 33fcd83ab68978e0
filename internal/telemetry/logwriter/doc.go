// Package logwriter writes log lines in the background, without blocking the
// node: lines that exceed its buffer are dropped and counted.
package logwriter
