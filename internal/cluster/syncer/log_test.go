package syncer_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// logLines collects the log lines of all nodes.
type logLines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// with returns the lines with the message, decoded.
func (l *logLines) with(t *testing.T, message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []map[string]any
	for text := range strings.Lines(l.b.String()) {
		line := map[string]any{}
		is.New(t).NoErr(json.Unmarshal([]byte(text), &line))
		if line["message"] == message {
			list = append(list, line)
		}
	}
	return list
}

// TestChangeSaysWhereItCameFrom checks that each configuration is logged with the call that brought it and with the time
// by which it may be late, and that this time is also recorded.
func TestChangeSaysWhereItCameFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &logLines{}
		s := newSource()
		z := startWith(t, s, testConfig(waitMax), log, "a", "b")
		z.waitFor(t, "first version", hasVersion(1))
		synctest.Wait()
		for _, line := range log.with(t, "configuration in force") {
			is.Equal(line["Call"], "Read")
			is.Equal(line["LateAtMostMs"], nil)
		}
		time.Sleep(time.Second)
		s.put(2)
		z.waitFor(t, "next version", hasVersion(2))
		synctest.Wait() // a configuration is logged once it is in force
		calls := map[any]map[string]any{}
		for _, line := range log.with(t, "configuration in force")[2:] {
			calls[line["Call"]] = line
		}
		reader := calls["Await"]["Node"]
		is.Equal(len(calls), 2)
		is.Equal(calls["Await"]["From"], nil)
		is.Equal(calls["Poll"]["From"], reader)
		is.Equal(len(z.delays.list), 2)
		for _, line := range calls {
			late := line["LateAtMostMs"].(float64)
			is.True(late >= line["ProofAgeMs"].(float64))
			is.True(late < 200)
		}
	})
}

// TestSkippedChangeIsLogged checks that a change which a watch did not report is told from one that came late.
func TestSkippedChangeIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &logLines{}
		s := newSource()
		z := startWith(t, s, testConfig(waitMax), log, "a")
		z.waitFor(t, "first version", hasVersion(1))
		s.update(func() { s.skipped = s.revision + 1 })
		s.put(2)
		time.Sleep(time.Second)
		is.Equal(len(log.with(t, "the source had not reported a change that was awaited")), 0)
		s.update(func() { s.disconnected["a"] = true })
		time.Sleep(time.Second)
		s.update(func() { s.disconnected["a"] = false })
		z.waitFor(t, "next version", hasVersion(2))
		synctest.Wait()
		is.Equal(len(log.with(t, "the source had not reported a change that was awaited")), 1)
	})
}
