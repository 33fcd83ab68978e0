package executor_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/matryer/is"
)

// TestAnnouncedLimit checks how many requests run within a second, of at most a hundred, at a backend server after it announced a
// limit in the header of a response.
func TestAnnouncedLimit(t *testing.T) {
	limit := func(text string) http.Header {
		return http.Header{
			chivegauge.OwnHeaderNames().RateLimit: {text},
		}
	}
	tests := map[string]struct {
		announced []http.Header // of one response after the other; the last one is repeated
		status    int
		restarts  bool // before that second
		min       int
		max       int
	}{
		"no limit":                {announced: []http.Header{{}}, min: 100, max: 100},
		"limited":                 {announced: []http.Header{limit("10.0")}, min: 9, max: 12},
		"limited, refuses":        {announced: []http.Header{limit("10")}, status: http.StatusServiceUnavailable, min: 9, max: 12},
		"raised":                  {announced: []http.Header{limit("10"), limit("50")}, min: 40, max: 60},
		"no longer limited":       {announced: []http.Header{limit("10"), {}}, min: 90, max: 100},
		"not understood":          {announced: []http.Header{limit("10"), limit("many")}, min: 9, max: 12},
		"never understood":        {announced: []http.Header{limit("-1")}, min: 100, max: 100},
		"not a number":            {announced: []http.Header{limit("NaN")}, min: 100, max: 100},
		"of another instance":     {announced: []http.Header{limit("10")}, status: http.StatusMisdirectedRequest, min: 100, max: 100},
		"limited, then restarted": {announced: []http.Header{limit("10"), {}}, restarts: true, min: 100, max: 100},
		"takes none":              {announced: []http.Header{limit("0")}, max: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &backend{}
				b.respond = func(ctx context.Context) (*streamer.Response, error) {
					code := max(http.StatusOK, tt.status)
					return status(code, tt.announced[min(len(b.sent), len(tt.announced))-1].Clone())(ctx)
				}
				e := newExecutor(b)
				e.ApplyReport(time.Now(), report("i-1", 100, 1))
				e.Run(context.Background(), call(), request())
				if tt.restarts {
					e.ApplyReport(time.Now(), report("i-2", 200, 1))
				}
				for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					e.Run(context.Background(), call(), request())
				}
				ran := len(b.sent) - 1
				is.True(ran >= tt.min)
				is.True(ran <= tt.max)
			})
		})
	}
}

// TestAnnouncedLeaving checks that a backend server that announces in a response that it is leaving gets no more requests,
// and that this is published once.
func TestAnnouncedLeaving(t *testing.T) {
	tests := map[string]struct {
		value   string
		status  int
		leaving bool
	}{
		"leaving":                 {value: "1", leaving: true},
		"leaving, with an error":  {value: "1", status: http.StatusInternalServerError, leaving: true},
		"leaving, of another one": {value: "1", status: http.StatusMisdirectedRequest},
		"other value":             {value: "0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &backend{
				respond: status(max(http.StatusOK, tt.status), http.Header{
					chivegauge.OwnHeaderNames().Leaving: {tt.value},
				}),
			}
			e := newExecutor(b)
			e.ApplyReport(time.Now(), report("i-1", 100, 1))
			for range 3 {
				e.Run(context.Background(), call(), request())
			}
			got, _ := e.LastReport()
			is.Equal(got.Leaving, tt.leaving)
			is.Equal(len(b.sent) == 1, tt.leaving)
			is.Equal(len(b.published) == 1, tt.leaving)
			e.ApplyReport(time.Now(), report("i-2", 200, 1))
			is.Equal(e.Run(context.Background(), call(), request()).Refusal == nil, tt.status != http.StatusMisdirectedRequest)
		})
	}
}
