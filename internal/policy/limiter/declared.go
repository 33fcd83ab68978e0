package limiter

import (
	"sync/atomic"
	"time"
)

// Declared is a limiter whose limit the backend server declares.
type Declared interface {
	Limiter
	// Declare takes in the number of runs that the backend server allows at once; the limit is at least 1.
	Declare(runs int)
}

type declared struct {
	part  float64
	limit atomic.Int64
}

// NewDeclared returns a limiter that allows one run until told otherwise, then the part, from 0 to 1, of what is declared.
func NewDeclared(part float64) Declared {
	d := &declared{
		part: part,
	}
	d.limit.Store(1)
	return d
}

// Limit returns the limit in runs.
func (d *declared) Limit() int {
	return int(d.limit.Load())
}

// Declare sets the limit in runs.
func (d *declared) Declare(runs int) {
	d.limit.Store(int64(max(1, d.part*float64(runs))))
}

// Observe ignores the run.
func (d *declared) Observe(time.Time, Sample) {}
