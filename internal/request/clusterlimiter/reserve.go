package clusterlimiter

import (
	"math"
	"time"
)

const (
	// aheadTime is the time from a token request within which the tokens that were granted ahead may be used.
	aheadTime = time.Second

	// demandTime is the time over which the demand for tokens is averaged.
	demandTime = 2 * time.Second
)

// reserve holds tokens that the owner granted ahead of the requests that use them.
type reserve struct {
	tokens int
	until  time.Time
}

// take returns the reserve without one token, or false if it holds none at now.
func (r reserve) take(now time.Time) (reserve, bool) {
	if r.tokens == 0 || !now.Before(r.until) {
		return reserve{}, false
	}
	r.tokens--
	return r, true
}

// demand is the rate of requests that need a token of the owner, an exponential moving average over demandTime.
type demand struct {
	perSecond float64
	at        time.Time
}

// withRequest returns the demand after one more request.
func (d demand) withRequest(now time.Time) demand {
	return demand{
		perSecond: d.value(now) + 1/demandTime.Seconds(),
		at:        now,
	}
}

func (d demand) value(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// aheadShare is the fraction of the expected need that is requested ahead, so that few tokens are left over.
const aheadShare = 0.5

// ahead returns the number of tokens that will be needed within aheadTime for sure.
func (d demand) ahead(now time.Time) int {
	return int(aheadShare * d.value(now) * aheadTime.Seconds())
}
