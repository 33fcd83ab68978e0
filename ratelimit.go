package chivegauge

import (
	"math"
	"strconv"
)

// RateLimit is the limit that a backend server announces in its responses: the requests per second that it takes from
// all callers together.
type RateLimit struct {
	Limited   bool
	PerSecond float64
}

// ParseRateLimit parses the value of the header of a response, which is empty if there is no limit; it returns false if
// the value is not a number of requests.
func ParseRateLimit(text string) (RateLimit, bool) {
	if text == "" {
		return RateLimit{}, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return RateLimit{}, false
	}
	return RateLimit{
		Limited:   true,
		PerSecond: perSecond,
	}, true
}
