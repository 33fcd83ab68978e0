package budgeter

import "time"

// partsPerWindow is the number of steps in which a window slides.
const partsPerWindow = 20

// Window bounds the retries towards each destination to a share of what was sent there first in the
// window before, so that the bound holds for each span of that length. It is not safe for concurrent use.
type Window interface {
	// First counts a first attempt towards the destination.
	First(now time.Time, destination string)
	// Retry takes one retry and reports whether there was room for it; ran says that the request may have run.
	Retry(now time.Time, destination string, ran bool) bool
	// SetSlack sets the retries in a window that are allowed beyond the share.
	SetSlack(slack float64)
	// SetShare sets the share of retries.
	SetShare(share Share)
}

// Share bounds retries to a ratio of the first attempts. A request that may have run repeats its nested calls, which
// count at the services below, so that those retries have a lower ratio of their own.
type Share struct {
	All float64
	Ran float64
}

// count is what was sent in one part of a window.
type count struct {
	firsts  int
	retries int
	ran     int
}

// counts are the parts of one destination, by the number of the part.
type counts struct {
	parts [partsPerWindow + 1]count
	last  int64
}

type window struct {
	share  Share
	slack  float64
	part   time.Duration
	counts map[string]*counts
}

// NewWindow returns a window of the length that allows the share of retries and the slack.
func NewWindow(share Share, slack float64, length time.Duration) Window {
	return &window{
		share:  share,
		slack:  slack,
		part:   max(time.Millisecond, length/partsPerWindow),
		counts: map[string]*counts{},
	}
}

// SetSlack sets the retries that are allowed beyond the share.
func (w *window) SetSlack(slack float64) {
	w.slack = slack
}

// SetShare sets the share of retries.
func (w *window) SetShare(share Share) {
	w.share = share
}

// at returns the counts of the destination, without what has left the window, and the index of the present part.
func (w *window) at(now time.Time, destination string) (*counts, int) {
	c := w.counts[destination]
	n := now.UnixNano() / int64(w.part)
	if c == nil {
		c = &counts{
			last: n,
		}
		w.counts[destination] = c
	}
	for i := max(c.last+1, n-partsPerWindow); i <= n; i++ {
		c.parts[i%int64(len(c.parts))] = count{}
	}
	c.last = max(c.last, n)
	return c, int(c.last % int64(len(c.parts)))
}

// First counts a first attempt.
func (w *window) First(now time.Time, destination string) {
	c, i := w.at(now, destination)
	c.parts[i].firsts++
}

// Retry takes one retry if the window has room for it.
func (w *window) Retry(now time.Time, destination string, ran bool) bool {
	c, i := w.at(now, destination)
	sum := count{}
	for _, p := range c.parts {
		sum.firsts += p.firsts
		sum.retries += p.retries
		sum.ran += p.ran
	}
	if float64(sum.retries+1) > w.share.All*float64(sum.firsts)+w.slack {
		return false
	}
	if !ran {
		c.parts[i].retries++
		return true
	}
	if float64(sum.ran+1) > w.share.Ran*float64(sum.firsts)+w.slack*w.share.Ran/w.share.All {
		return false
	}
	c.parts[i].retries++
	c.parts[i].ran++
	return true
}
