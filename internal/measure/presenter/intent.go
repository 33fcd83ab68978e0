package presenter

import (
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
)

func leave(s *launcher.Instance) planner.Intent {
	return planner.Intent{
		Leave: s.Peer,
	}
}

func comeBack(s *launcher.Instance) planner.Intent {
	return planner.Intent{
		Return: s.Peer,
	}
}
