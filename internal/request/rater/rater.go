package rater

import (
	"context"

	"github.com/chivegauge/chivegauge"
)

// Rater enforces the request rates of workspaces.
type Rater interface {
	// Take takes one rate token of the workspace, or returns a refusal if there is none.
	Take(ctx context.Context, workspace string) *chivegauge.Refusal
}

type unlimited struct{}

// NewUnlimited returns a rate limiter without limits.
func NewUnlimited() Rater {
	return unlimited{}
}

// Take admits every request.
func (unlimited) Take(context.Context, string) *chivegauge.Refusal {
	return nil
}
