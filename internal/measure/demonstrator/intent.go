package demonstrator

import (
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
)

// leaveIntent returns the intent that drains an instance.
func leaveIntent(s *launcher.Instance) planner.Intent {
	return planner.Intent{
		Leave: s.Peer,
	}
}

// returnIntent returns the intent that puts a drained instance back into service.
func returnIntent(s *launcher.Instance) planner.Intent {
	return planner.Intent{
		Return: s.Peer,
	}
}
