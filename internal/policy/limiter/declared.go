package limiter

import (
	"sync/atomic"
	"time"
)

// Declared is a Limiter whose limit follows the concurrency that the backend server declares.
type Declared interface {
	Limiter
	// Declare sets the number of concurrent runs that the backend server allows; the limit is at least 1.
	Declare(runs int)
}

type declared struct {
	fraction float64
	limit    atomic.Int64
}

// NewDeclared returns a Declared limiter that allows one run until the first declaration, then the fraction, from 0 to
// 1, of the declared runs.
func NewDeclared(fraction float64) Declared {
	d := &declared{
		fraction: fraction,
	}
	d.limit.Store(1)
	return d
}

// Limit returns the limit in concurrent runs.
func (d *declared) Limit() int {
	return int(d.limit.Load())
}

// Declare sets the number of concurrent runs that the backend server allows.
func (d *declared) Declare(runs int) {
	d.limit.Store(int64(max(1, d.fraction*float64(runs))))
}

// Observe ignores the run.
func (d *declared) Observe(time.Time, Sample) {}
