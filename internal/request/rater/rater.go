package rater

import (
	"context"

	"github.com/chivegauge/chivegauge"
)

// Rater charges requests to workspaces.
type Rater interface {
	// Take charges one request to the workspace, or returns a refusal.
	Take(ctx context.Context, workspace string) *chivegauge.Refusal
}

type unlimited struct{}

// NewUnlimited returns a rater that charges nothing.
func NewUnlimited() Rater {
	return unlimited{}
}

// Take charges nothing.
func (unlimited) Take(context.Context, string) *chivegauge.Refusal {
	return nil
}
