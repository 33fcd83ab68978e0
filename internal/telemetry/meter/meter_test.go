package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/meter"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestHandler checks the series and values that the metrics contain after some events.
func TestHandler(t *testing.T) {
	is := is.New(t)
	m, err := meter.New()
	is.NoErr(err)
	busy := chivegauge.Refuse(chivegauge.CodeBusy, "full")
	for range 2 {
		m.CountRequest("golf", "read", nil, 20*time.Millisecond)
	}
	m.CountRequest("golf", "read", busy, time.Millisecond)
	m.CountAttempt(nil)
	m.CountAttempt(busy)
	m.RecordChangeDelay(1900 * time.Millisecond)
	m.CountStoreCall(http.MethodGet, nil)
	m.CountStoreCall(http.MethodPut, errors.New("refused"))
	is.NoErr(m.Observe(meter.Gauge{
		Name: "chivegauge.nodes",
		Read: func() float64 { return 3 },
	}))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := w.Body.String()
	tests := map[string]struct {
		name   string
		labels []string
		value  string
	}{
		"answered":     {name: "chivegauge_requests_total", labels: []string{`code="Answered"`, `route="read"`, `workspace="golf"`}, value: "2"},
		"refused":      {name: "chivegauge_requests_total", labels: []string{`code="Busy"`}, value: "1"},
		"attempt":      {name: "chivegauge_attempts_total", labels: []string{`code="Answered"`}, value: "1"},
		"read":         {name: "chivegauge_store_calls_total", labels: []string{`method="GET"`, `result="Success"`}, value: "1"},
		"failed write": {name: "chivegauge_store_calls_total", labels: []string{`method="PUT"`, `result="Failure"`}, value: "1"},
		"times":        {name: "chivegauge_request_duration_seconds_count", labels: []string{`route="read"`}, value: "3"},
		"in time":      {name: "chivegauge_configuration_change_delay_seconds_bucket", labels: []string{`le="2"`}, value: "1"},
		"not sooner":   {name: "chivegauge_configuration_change_delay_seconds_bucket", labels: []string{`le="1.75"`}, value: "0"},
		"gauge":        {name: "chivegauge_nodes", value: "3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).True(has(text, tt.name, tt.labels, tt.value)) })
	}
}

// has reports whether the text holds a series of the name with the labels and the value.
func has(text, name string, labels []string, value string) bool {
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, name+"{") || !strings.HasSuffix(strings.TrimSpace(line), "} "+value) {
			continue
		}
		all := true
		for _, l := range labels {
			all = all && strings.Contains(line, l)
		}
		if all {
			return true
		}
	}
	return false
}
