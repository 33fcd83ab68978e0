// Package dialer makes control clients of other nodes.
package dialer
