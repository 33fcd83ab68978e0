// Package replayer replays the calls of a trace, compares the decisions with the
// recorded ones, and checks the guarantees of each component over the whole trace.
package replayer
