package concurrencylimiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceBurst is the time whose requests may be admitted at once after a pause.
	paceBurst = 100 * time.Millisecond

	// paceMin is the lowest rate in requests per second: without any request, no response would say that a limit of 0 has
	// ended.
	paceMin = 0.5

	// runWeight is the weight of one run in the average run time.
	runWeight = 1.0 / 16
)

// pace limits the rate at which requests are admitted; without a bucket there is no limit.
type pace struct {
	bucket  *rate.Limiter
	runTime time.Duration // moving average
}

// withoutRate returns the pace without a limit.
func (p pace) withoutRate() pace {
	p.bucket = nil
	return p
}

// withRate returns the pace with another rate in requests per second. A new limit starts without tokens, since requests
// have been admitted just before.
func (p pace) withRate(now time.Time, perSecond float64) pace {
	perSecond = max(paceMin, perSecond)
	burst := max(1, int(perSecond*paceBurst.Seconds()))
	if p.bucket == nil {
		p.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		p.bucket.AllowN(now, burst)
		return p
	}
	if p.bucket.Limit() != rate.Limit(perSecond) {
		p.bucket.SetLimitAt(now, rate.Limit(perSecond))
		p.bucket.SetBurstAt(now, burst)
	}
	return p
}

// withRun returns the pace after a run.
func (p pace) withRun(took time.Duration) pace {
	if p.runTime == 0 {
		p.runTime = took
	}
	p.runTime += time.Duration(runWeight * float64(took-p.runTime))
	return p
}

// take reports whether a request may be admitted at now, and counts it.
func (p pace) take(now time.Time) bool {
	return p.bucket == nil || p.bucket.AllowN(now, 1)
}

// wait returns the time until a request may be admitted.
func (p pace) wait(now time.Time) time.Duration {
	if p.bucket == nil {
		return 0
	}
	missing := 1 - p.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(p.bucket.Limit()) * float64(time.Second)))
}

// queueMax returns the number of queued requests that the rate admits within the longest wait.
func (p pace) queueMax(maxWait time.Duration) int {
	if p.bucket == nil {
		return math.MaxInt
	}
	return max(1, int(float64(p.bucket.Limit())*maxWait.Seconds()))
}

// concurrency returns the number of requests that run at once when the rate is reached (Little's law), at most the
// limit.
func (p pace) concurrency(limit int) int {
	if p.bucket == nil || p.runTime == 0 {
		return limit
	}
	return max(1, min(limit, int(float64(p.bucket.Limit())*p.runTime.Seconds())))
}
