package crashtracker

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BackendProcess identifies a process of a backend server.
type BackendProcess struct {
	Instance string

	// StartedAtMs is the start time of the process, in milliseconds since 1970.
	StartedAtMs int64
}

// Known reports whether a process has reported at all.
func (p BackendProcess) Known() bool {
	return p.Instance != ""
}

func (p BackendProcess) id() uint64 {
	return xxhash.Sum64String(p.Instance + "|" + strconv.FormatInt(p.StartedAtMs, 10))
}
