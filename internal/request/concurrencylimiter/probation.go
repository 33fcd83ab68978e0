package concurrencylimiter

import "time"

const (
	// probationLimit is the number of requests that are admitted at once on probation.
	probationLimit = 4

	// probationMax is the time from the first request after which the probation ends without a response.
	probationMax = time.Second
)

// probation is the time before the first response of a backend server is known: it may announce a limit, and may have
// announced one to an earlier process of the node.
type probation struct {
	active bool
	until  time.Time // zero before the first request
}

// begins reports whether a request that is admitted now is the first one on probation.
func (p probation) begins() bool {
	return p.active && p.until.IsZero()
}

// limit returns the limit of concurrent requests at now.
func (p probation) limit(now time.Time, limit int) int {
	if !p.active || (!p.until.IsZero() && !now.Before(p.until)) {
		return limit
	}
	return min(limit, probationLimit)
}

// limit returns the number of requests that may run at once; cl.mu is held.
func (cl *concurrencyLimiter) limit(now time.Time) int {
	return cl.probation.limit(now, cl.limiter.Limit())
}

// StartProbation admits few requests at once until EndProbation, or for probationMax from the first one.
func (cl *concurrencyLimiter) StartProbation() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.probation = probation{
		active: true,
	}
}

// EndProbation ends the probation, and admits queued requests.
func (cl *concurrencyLimiter) EndProbation() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.probation.active {
		return
	}
	cl.probation = probation{}
	cl.admitQueued(cl.now())
}
