package correlator_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/correlator"
	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	inner = chivegauge.Route{
		Name:       "inner",
		DeadlineMs: 1000,
	}
)

// TestAttribution checks which calls are attributed to the request on route outer while another request on route beside
// runs.
func TestAttribution(t *testing.T) {
	tests := map[string]struct {
		left       time.Duration // until the deadline of the parent
		called     time.Duration // until the deadline of the call
		beside     time.Duration // until the deadline of the other request
		times      int
		attributed bool // to the parent
		nested     bool // route outer counts as making nested calls
	}{
		"the deadline of the parent":               {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: time.Second, times: 3, attributed: true, nested: true},
		"the deadline of the parent, rounded":      {left: 500 * time.Millisecond, called: 499 * time.Millisecond, beside: time.Second, times: 3, attributed: true, nested: true},
		"too few calls":                            {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: time.Second, times: 2, attributed: true},
		"the other request has less time":          {left: 2 * time.Second, called: 900 * time.Millisecond, beside: 800 * time.Millisecond, times: 3, attributed: true, nested: true},
		"either":                                   {left: 2 * time.Second, called: 900 * time.Millisecond, beside: 2 * time.Second, times: 9},
		"the deadline of the route, not inherited": {left: 900 * time.Millisecond, called: 900 * time.Millisecond, beside: time.Second, times: 9},
		"both requests have the same deadline":     {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: 500 * time.Millisecond, times: 9},
		"a later deadline than both requests":      {left: 500 * time.Millisecond, called: 600 * time.Millisecond, beside: 400 * time.Millisecond, times: 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := correlator.New()
			for range tt.times {
				id := c.Begin("outer", chivegauge.Critical, start.Add(tt.left))
				beside := c.Begin("beside", chivegauge.Low, start.Add(tt.beside))
				importance, ok := c.Attribute(start, inner, start.Add(tt.called))
				is.Equal(ok, tt.attributed)
				if ok {
					is.Equal(importance, chivegauge.Critical)
				}
				c.End(id)
				c.End(beside)
			}
			is.Equal(c.MakesNestedCalls("outer"), tt.nested)
			is.Equal(c.CalledByBackend("inner"), tt.nested)
			is.True(!c.MakesNestedCalls("beside"))
		})
	}
}

// TestImportanceUnknown checks that the route of a parent is found although its importance is ambiguous.
func TestImportanceUnknown(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	c.Begin("outer", chivegauge.Critical, start.Add(time.Minute))
	c.Begin("outer", chivegauge.Low, start.Add(time.Minute))
	for range 3 {
		_, ok := c.Attribute(start, inner, start.Add(time.Second))
		is.True(!ok)
	}
	is.True(c.MakesNestedCalls("outer"))
}

// TestCoincidence checks that a route doesn't count as making nested calls if one call in a hundred has the deadline of
// one of its requests by chance.
func TestCoincidence(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	for n := range 5000 {
		parent := c.Begin("outer", chivegauge.Normal, start.Add(500*time.Millisecond))
		c.Begin("beside", chivegauge.Normal, start.Add(time.Minute))
		if n%100 == 0 {
			c.End(parent)
			parent = c.Begin("beside", chivegauge.Normal, start.Add(500*time.Millisecond))
		}
		c.Attribute(start, inner, start.Add(500*time.Millisecond))
		c.End(parent)
	}
	is.True(c.MakesNestedCalls("outer"))
	is.True(!c.MakesNestedCalls("beside"))
}
