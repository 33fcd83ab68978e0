package admitter

import "github.com/chivegauge/chivegauge"

// LevelMax is the level at which every request of a class would be refused.
const LevelMax = 1024

// Class is the requests of one workspace at one importance.
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

// Ticket returns the place of a root request in the order of shedding within its class, from 0 (shed first) to LevelMax-1.
func Ticket(root uint64) int {
	return int(root % LevelMax)
}
