// Package journaler writes log lines without ever blocking the node: what
// its buffer can't hold is dropped and counted.
package journaler
