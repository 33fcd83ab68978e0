// Package planner turns operators' intents into plans, and applies a confirmed
// plan to the configuration revision that it is based on.
package planner
