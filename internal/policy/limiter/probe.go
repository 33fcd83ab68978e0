package limiter

import "time"

const (
	// A window ends after probeWindow, or when it has probeSamplesMin runs if that is later, but at the latest after
	// probeLongWindow.
	probeWindow     = 100 * time.Millisecond
	probeLongWindow = time.Second
	probeSamplesMin = 60

	// probeStepFraction is the size of a step as a fraction of the limit.
	probeStepFraction = 0.1

	// A step down is kept if the relative loss of throughput is at most probeDownLossMax of the relative step, a step up
	// if the relative gain is at least probeUpGainMin of it.
	probeDownLossMax = 0.25
	probeUpGainMin   = 0.4

	// probeSaturatedFraction is the fraction of runs at the limit below which a window isn't evaluated.
	probeSaturatedFraction = 0.5
)

type probePhase int

const (
	phaseHold probePhase = iota
	phaseDown
	phaseUp
)

// probe steps the limit down and up by a tenth, and keeps a lower limit if throughput hardly falls and a higher one if
// throughput rises, so that the limit settles where more concurrency only adds waiting time (hill climbing).
type probe struct {
	bounds      Bounds
	base        float64
	phase       probePhase
	restarted   time.Time
	windowStart time.Time
	done        int
	saturated   int
	latency     time.Duration
	baseline    float64
	stepUpNext  bool
}

// NewProbe returns a Limiter that searches for the knee of the throughput curve.
func NewProbe(b Bounds) Limiter {
	return &probe{
		bounds: b,
		base:   float64(b.Initial),
	}
}

// Limit returns the limit of the current step, in concurrent runs.
func (p *probe) Limit() int {
	return int(p.bounds.clamp(p.current()) + 0.5)
}

// current returns the limit of the current step before it is bounded and rounded.
func (p *probe) current() float64 {
	step := max(1, p.base*probeStepFraction)
	switch p.phase {
	case phaseDown:
		return p.base - step
	case phaseUp:
		return p.base + step
	default:
		return p.base
	}
}

// Observe records the run and ends the window once it has enough runs; failed runs are ignored.
func (p *probe) Observe(now time.Time, s Sample) {
	if s.Failed {
		return
	}
	if p.restarted.IsZero() {
		p.startWindow(now, s.Latency)
	}
	if now.Before(p.windowStart) {
		return
	}
	p.done++
	p.latency += s.Latency
	if s.Waiting > 0 || s.InFlight >= p.Limit() {
		p.saturated++
	}
	elapsed := now.Sub(p.windowStart)
	full := p.done >= probeSamplesMin && elapsed >= probeWindow
	if !full && elapsed < probeLongWindow {
		return
	}
	p.endWindow(now, float64(p.done)/elapsed.Seconds())
}

// startWindow starts a window after a delay in which the runs started under the previous limit end.
func (p *probe) startWindow(now time.Time, delay time.Duration) {
	p.restarted = now
	p.windowStart = now.Add(min(delay, probeLongWindow))
	p.done = 0
	p.saturated = 0
	p.latency = 0
}

// endWindow evaluates the window, in runs per second, and starts the next step.
func (p *probe) endWindow(now time.Time, throughput float64) {
	meanLatency := p.latency / time.Duration(max(1, p.done))
	saturated := float64(p.saturated) >= probeSaturatedFraction*float64(p.done)
	if !saturated {
		p.phase = phaseHold
		p.startWindow(now, 0)
		return
	}
	switch p.phase {
	case phaseHold:
		p.baseline = throughput
		p.phase = phaseDown
		if p.stepUpNext {
			p.phase = phaseUp
		}
	case phaseDown:
		p.evaluateDown(throughput)
	case phaseUp:
		p.evaluateUp(throughput)
	}
	p.startWindow(now, meanLatency)
}

// evaluateDown keeps the lower limit if the relative loss of throughput is at most a quarter of the relative step.
func (p *probe) evaluateDown(throughput float64) {
	step := max(1, p.base*probeStepFraction) / p.base
	lower := p.current()
	p.phase = phaseHold
	if throughput >= p.baseline*(1-step*probeDownLossMax) {
		p.base = p.bounds.clamp(lower)
		return
	}
	p.stepUpNext = true
}

// evaluateUp keeps the higher limit if the relative gain of throughput is at least 0.4 of the relative step.
func (p *probe) evaluateUp(throughput float64) {
	step := max(1, p.base*probeStepFraction) / p.base
	higher := p.current()
	p.phase = phaseHold
	if throughput >= p.baseline*(1+step*probeUpGainMin) {
		p.base = p.bounds.clamp(higher)
		return
	}
	p.stepUpNext = false
}
