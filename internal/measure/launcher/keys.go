package launcher

import (
	"encoding/hex"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/configurer"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
)

// Key returns the key of the ID in a fleet made for tests.
func Key(id string) string {
	return configurer.KeyPrefix + "_" + id + "_secret-of-" + id
}

// GiveKey returns the intent that gives the key of the ID to a workspace.
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

// WithdrawKey returns the intent that withdraws the key of the ID.
func WithdrawKey(workspace, id string) planner.Intent {
	return planner.Intent{
		WithdrawKey: &planner.KeyIntent{
			Workspace: workspace,
			ID:        id,
		},
	}
}

// SetWorkspace returns the intent that sets a workspace's rate a second and burst.
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
