package launcher

import (
	"encoding/hex"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/configurer"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
)

// Key returns the API key with the given ID; its secret is derived from the ID, for tests only.
func Key(id string) string {
	return configurer.KeyPrefix + "_" + id + "_secret-of-" + id
}

// GiveKey returns the intent that adds the key with the given ID to a workspace.
func GiveKey(workspace, id string) planner.Intent {
	_, hash := configurer.SplitKey(Key(id))
	return planner.Intent{
		GiveKey: &planner.KeyIntent{
			Workspace: workspace,
			ID:        id,
			Hash:      hex.EncodeToString(hash),
		},
	}
}

// WithdrawKey returns the intent that withdraws the key with the given ID from a workspace.
func WithdrawKey(workspace, id string) planner.Intent {
	return planner.Intent{
		WithdrawKey: &planner.KeyIntent{
			Workspace: workspace,
			ID:        id,
		},
	}
}

// SetWorkspace returns the intent that sets the rate, in requests a second, and the burst of a workspace.
func SetWorkspace(name string, rate, burst float64) planner.Intent {
	return planner.Intent{
		SetWorkspace: &planner.WorkspaceIntent{
			Name:          name,
			RatePerSecond: rate,
			Burst:         burst,
		},
	}
}

// SetRoute returns the intent that sets a route.
func SetRoute(r chivegauge.Route) planner.Intent {
	return planner.Intent{
		SetRoute: &r,
	}
}
