// Package exchanger serves other nodes: attempts, questions for their outcome
// and control messages.
package exchanger
