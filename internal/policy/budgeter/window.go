package budgeter

import "time"

// bucketsPerWindow is the number of buckets of equal length in a window, which slides by one bucket at a time.
const bucketsPerWindow = 20

// Window limits the retries to each destination to a ratio of the first attempts to it in a sliding window, so that the
// limit holds for each interval of the window's length; it is not safe for concurrent use.
type Window interface {
	// CountFirst counts a first attempt to the destination.
	CountFirst(now time.Time, destination string)
	// TryRetry counts one retry if the budget allows it and reports whether it does; mayHaveRun says whether the request
	// may have run.
	TryRetry(now time.Time, destination string, mayHaveRun bool) bool
	// SetSlack sets the number of retries per window that are allowed in addition to the ratio.
	SetSlack(slack float64)
	// SetRatios sets the ratios of retries to first attempts.
	SetRatios(ratios Ratios)
}

// Ratios holds the maximum ratios of retries to first attempts.
type Ratios struct {
	// All is the ratio for all retries.
	All float64
	// MayHaveRun is the lower ratio for retries of requests that may have run, because such a retry repeats nested calls,
	// which count at the services below.
	MayHaveRun float64
}

// count is the number of attempts sent in one bucket; retries includes mayHaveRun, the retries of requests that may
// have run.
type count struct {
	firsts     int
	retries    int
	mayHaveRun int
}

// counts is the ring of buckets of one destination, indexed by bucket number modulo its length; last is the newest
// number.
type counts struct {
	buckets [bucketsPerWindow + 1]count
	last    int64
}

type window struct {
	ratios       Ratios
	slack        float64
	bucketLength time.Duration
	counts       map[string]*counts
}

// NewWindow returns a Window of the length that allows the ratios and, in addition, slack retries.
func NewWindow(ratios Ratios, slack float64, length time.Duration) Window {
	return &window{
		ratios:       ratios,
		slack:        slack,
		bucketLength: max(time.Millisecond, length/bucketsPerWindow),
		counts:       map[string]*counts{},
	}
}

// SetSlack sets the number of retries that are allowed in addition to the ratio.
func (w *window) SetSlack(slack float64) {
	w.slack = slack
}

// SetRatios sets the ratios of retries to first attempts.
func (w *window) SetRatios(ratios Ratios) {
	w.ratios = ratios
}

// advance clears the buckets of the destination that have left the window, and returns its counts and the index of the
// current bucket.
func (w *window) advance(now time.Time, destination string) (*counts, int) {
	c := w.counts[destination]
	n := now.UnixNano() / int64(w.bucketLength)
	if c == nil {
		c = &counts{
			last: n,
		}
		w.counts[destination] = c
	}
	for i := max(c.last+1, n-bucketsPerWindow); i <= n; i++ {
		c.buckets[i%int64(len(c.buckets))] = count{}
	}
	c.last = max(c.last, n)
	return c, int(c.last % int64(len(c.buckets)))
}

// CountFirst counts a first attempt.
func (w *window) CountFirst(now time.Time, destination string) {
	c, i := w.advance(now, destination)
	c.buckets[i].firsts++
}

// TryRetry counts one retry if the budget allows it.
func (w *window) TryRetry(now time.Time, destination string, mayHaveRun bool) bool {
	c, i := w.advance(now, destination)
	total := count{}
	for _, b := range c.buckets {
		total.firsts += b.firsts
		total.retries += b.retries
		total.mayHaveRun += b.mayHaveRun
	}
	if float64(total.retries+1) > w.ratios.All*float64(total.firsts)+w.slack {
		return false
	}
	if !mayHaveRun {
		c.buckets[i].retries++
		return true
	}
	if float64(total.mayHaveRun+1) > w.ratios.MayHaveRun*float64(total.firsts)+w.slack*w.ratios.MayHaveRun/w.ratios.All {
		return false
	}
	c.buckets[i].retries++
	c.buckets[i].mayHaveRun++
	return true
}
