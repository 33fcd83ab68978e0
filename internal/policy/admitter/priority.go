package admitter

import "github.com/chivegauge/chivegauge"

const (
	bucketsPerRank = 64
	// LevelMax is one above the highest priority of a request.
	LevelMax = chivegauge.ImportanceCount * bucketsPerRank
)

// Priority returns the place of a request in the order of shedding, from 0 (shed first) to LevelMax-1.
func Priority(i chivegauge.Importance, root uint64) int {
	return int(i)*bucketsPerRank + int(root%bucketsPerRank)
}
