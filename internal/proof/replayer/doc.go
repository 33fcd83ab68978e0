// Package replayer runs recorded decisions again and compares them, and checks
// the stated outcomes of a whole trace.
package replayer
