package supervisor

import (
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
)

// newRecorder returns the trace recorder of the settings, nil if they set no file, or an error.
func newRecorder(s loader.Settings) (recorder.Recorder, error) {
	if s.Trace.File == "" {
		return nil, nil
	}
	return recorder.New(s.Trace.File, s.Trace.MaxBytes)
}

// newTracker returns the attempt tracker, whose decisions are recorded if there is a recorder.
func newTracker(b loader.BackendServer, rec recorder.Recorder) tracker.Tracker {
	bounds := recorder.AttemptSettings{
		Retain:   loader.Millis(b.AnswerRetainMs),
		Capacity: b.TrackedAttempts,
		MaxBytes: b.AnswerMaxBytes,
	}
	if rec == nil {
		return tracker.New(bounds.Retain, bounds.Capacity, bounds.MaxBytes)
	}
	return recorder.NewTracker(rec, timekeeper.Now(), bounds)
}

// newLessor returns the lessor of rate tokens, whose decisions are recorded if there is a recorder.
func (p *parts) newLessor() lessor.Lessor {
	if p.recorder == nil {
		return lessor.New()
	}
	return recorder.NewLessor(p.recorder, timekeeper.Now, lessor.New())
}
