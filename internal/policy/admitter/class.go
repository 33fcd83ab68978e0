package admitter

import "github.com/chivegauge/chivegauge"

// LevelMax is the admission level at which every request of a class would be refused.
const LevelMax = 1024

// Class identifies the requests of one workspace at one importance.
type Class struct {
	Importance chivegauge.Importance
	Workspace  string
}

// ClassOf returns the class of a call.
func ClassOf(c chivegauge.Call) Class {
	return Class{
		Importance: c.Importance,
		Workspace:  c.Workspace,
	}
}

// ShedRank returns the position of a root request in the order of load shedding within its class, from 0 (shed first)
// to LevelMax-1 (shed last).
func ShedRank(root uint64) int {
	return int(root % LevelMax)
}
