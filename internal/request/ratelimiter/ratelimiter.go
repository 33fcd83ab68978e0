package ratelimiter

import (
	"context"

	"github.com/chivegauge/chivegauge"
)

// RateLimiter enforces the request rates of workspaces.
type RateLimiter interface {
	// Acquire takes one rate token of the workspace, or returns a refusal if there is none.
	Acquire(ctx context.Context, workspace string) *chivegauge.Refusal
}

type unlimited struct{}

// NewUnlimited returns a rate limiter without limits.
func NewUnlimited() RateLimiter {
	return unlimited{}
}

// Acquire admits every request.
func (unlimited) Acquire(context.Context, string) *chivegauge.Refusal {
	return nil
}
