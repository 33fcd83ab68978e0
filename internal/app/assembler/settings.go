package assembler

import (
	"io"
	"time"

	"github.com/chivegauge/chivegauge"
)

// Bounds are the settings that can change while a node runs.
type Bounds struct {
	// ChangeTime is the maximum time from a change of the configuration to its use by each node that reaches the store.
	ChangeTime time.Duration

	// KeyLifetime is the maximum time for which a withdrawn key is still accepted by any node.
	KeyLifetime time.Duration

	// StopTime is the time from the signal to stop until the process is killed.
	StopTime time.Duration

	// RetryRatio and RetrySlack limit the repeated requests that arrive at a service, from all nodes together, in each
	// RetryWindow: to this fraction of its requests, and this number in addition.
	RetryRatio float64
	RetrySlack float64
}

// Settings are the settings of a node.
type Settings struct {
	// Name is the name of the node in its log.
	Name string

	// Member describes the node; its Address is the one at which other nodes reach it.
	Member chivegauge.Member

	// CallerAddress is the listen address for callers on the instance and for nested calls of its backend server.
	CallerAddress string

	// BackendAddress is the address of the backend server.
	BackendAddress string

	// Names are the names of the headers that callers and backend servers use.
	Names chivegauge.HeaderNames

	// MemoryBytes is the memory that the process may use, in bytes.
	MemoryBytes int64

	// Bounds are the settings that can change while the node runs.
	Bounds Bounds

	// RetryWindow is the time over which the retry budget counts retries.
	RetryWindow time.Duration

	// FirstStart is set if no node of the fleet has run before; the token buckets then start full.
	FirstStart bool

	// Log receives the log lines.
	Log io.Writer
}
