// Package scheduler orders waiting requests: by importance first, fairly
// among workspaces within one importance, without those that are too late.
package scheduler
