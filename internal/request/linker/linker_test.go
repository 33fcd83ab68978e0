package linker_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/linker"
	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	inner = chivegauge.Route{
		Name:       "inner",
		DeadlineMs: 1000,
	}
)

// TestLinks states from which calls it is learned that requests on a route make them; another request runs beside each.
func TestLinks(t *testing.T) {
	tests := map[string]struct {
		left   time.Duration
		called time.Duration
		beside time.Duration
		times  int
		parent bool
		linked bool
	}{
		"cut at its end":               {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: time.Second, times: 3, parent: true, linked: true},
		"cut but for rounding":         {left: 500 * time.Millisecond, called: 499 * time.Millisecond, beside: time.Second, times: 3, parent: true, linked: true},
		"too few":                      {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: time.Second, times: 2, parent: true},
		"the other has less time":      {left: 2 * time.Second, called: 900 * time.Millisecond, beside: 800 * time.Millisecond, times: 3, parent: true, linked: true},
		"either":                       {left: 2 * time.Second, called: 900 * time.Millisecond, beside: 2 * time.Second, times: 9},
		"the route's own deadline":     {left: 900 * time.Millisecond, called: 900 * time.Millisecond, beside: time.Second, times: 9},
		"two end with it":              {left: 500 * time.Millisecond, called: 500 * time.Millisecond, beside: 500 * time.Millisecond, times: 9},
		"a call after the end of both": {left: 500 * time.Millisecond, called: 600 * time.Millisecond, beside: 400 * time.Millisecond, times: 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := linker.New()
			for range tt.times {
				run := l.Begin("outer", chivegauge.Critical, start.Add(tt.left))
				beside := l.Begin("beside", chivegauge.Low, start.Add(tt.beside))
				importance, ok := l.Called(start, inner, start.Add(tt.called))
				is.Equal(ok, tt.parent)
				if ok {
					is.Equal(importance, chivegauge.Critical)
				}
				l.End(run)
				l.End(beside)
			}
			is.Equal(l.Calls("outer"), tt.linked)
			is.Equal(l.FromHere("inner"), tt.linked)
			is.True(!l.Calls("beside"))
		})
	}
}

// TestImportanceUnknown states that the route of a parent can be known where its importance is not.
func TestImportanceUnknown(t *testing.T) {
	is := is.New(t)
	l := linker.New()
	l.Begin("outer", chivegauge.Critical, start.Add(time.Minute))
	l.Begin("outer", chivegauge.Low, start.Add(time.Minute))
	for range 3 {
		_, ok := l.Called(start, inner, start.Add(time.Second))
		is.True(!ok)
	}
	is.True(l.Calls("outer"))
}

// TestChance states that a route whose requests end now and then at the moment of a call is not linked to it.
func TestChance(t *testing.T) {
	is := is.New(t)
	l := linker.New()
	for n := range 5000 {
		parent := l.Begin("outer", chivegauge.Normal, start.Add(500*time.Millisecond))
		l.Begin("beside", chivegauge.Normal, start.Add(time.Minute))
		if n%100 == 0 {
			l.End(parent)
			parent = l.Begin("beside", chivegauge.Normal, start.Add(500*time.Millisecond))
		}
		l.Called(start, inner, start.Add(500*time.Millisecond))
		l.End(parent)
	}
	is.True(l.Calls("outer"))
	is.True(!l.Calls("beside"))
}
