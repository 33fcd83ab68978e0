package assembler

import (
	"io"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Bounds are the limits that may change while a node runs.
type Bounds struct {
	// KeyLifetime is the time within which a withdrawn key must have stopped working everywhere.
	KeyLifetime time.Duration

	// StopTime is the time from the request to stop until the process is killed.
	StopTime time.Duration

	// RetryRatio and RetrySlack bound the further arrivals at a service, of all nodes together, to a share
	// of its requests and a number in the window of retries.
	RetryRatio float64
	RetrySlack float64
}

// Settings are what a node is told when it starts.
type Settings struct {
	// Name names the node in its log.
	Name string

	// Member is the node, known by the address at which other nodes reach it.
	Member chivegauge.Member

	// Callers is the address for the callers on the instance and for the calls of its backend server.
	Callers string

	// Backend is the address of the backend server.
	Backend string

	// Names are the headers that callers and backend servers use.
	Names chivegauge.HeaderNames

	// MemoryBytes is what the process may use.
	MemoryBytes int64

	// Bounds are the limits that may change while the node runs.
	Bounds Bounds

	// RetryWindow is the time over which retries are counted.
	RetryWindow time.Duration

	// FirstStart says that no node of the fleet has run before.
	FirstStart bool

	// Log is where log lines go.
	Log io.Writer
}
