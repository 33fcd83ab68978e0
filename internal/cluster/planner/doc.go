// Package planner turns operators' intents into plans, and applies a confirmed
// plan to the configuration it was made on.
package planner
