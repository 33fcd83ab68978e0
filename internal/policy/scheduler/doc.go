// Package scheduler queues waiting requests: ordered by importance first, fair
// among the workspaces of one importance, and without expired requests.
package scheduler
