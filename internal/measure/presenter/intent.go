package presenter

import (
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/measure/launcher"
)

func leave(s *launcher.Site) planner.Intent {
	return planner.Intent{
		Leave: s.Peer,
	}
}

func comeBack(s *launcher.Site) planner.Intent {
	return planner.Intent{
		Return: s.Peer,
	}
}
