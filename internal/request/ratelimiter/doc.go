// Package ratelimiter enforces the rate and burst of workspaces: it charges each
// request to the token bucket of its workspace.
package ratelimiter
