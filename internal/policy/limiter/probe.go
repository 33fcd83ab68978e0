package limiter

import "time"

const (
	probeWindow        = 100 * time.Millisecond
	probeLongWindow    = time.Second
	probeSamples       = 60
	probeStep          = 0.1
	probeDownShare     = 0.25
	probeUpShare       = 0.4
	probeSaturatedPart = 0.5
)

type probePhase int

const (
	phaseHold probePhase = iota
	phaseDown
	phaseUp
)

// probe steps the limit down and up by a tenth and keeps the step that loses
// no throughput, so that the limit rests where more concurrency only waits.
type probe struct {
	bounds    Bounds
	base      float64
	phase     probePhase
	since     time.Time
	settled   time.Time
	done      int
	saturated int
	latency   time.Duration
	held      float64
	up        bool
}

// NewProbe returns a limiter that searches the knee of the throughput curve.
func NewProbe(b Bounds) Limiter {
	return &probe{
		bounds: b,
		base:   float64(b.Initial),
	}
}

// Limit returns the limit in runs of the present step.
func (p *probe) Limit() int {
	return int(p.bounds.clamp(p.stepped()) + 0.5)
}

func (p *probe) stepped() float64 {
	step := max(1, p.base*probeStep)
	switch p.phase {
	case phaseDown:
		return p.base - step
	case phaseUp:
		return p.base + step
	default:
		return p.base
	}
}

// Observe counts the run and ends the window once it holds enough runs.
func (p *probe) Observe(now time.Time, s Sample) {
	if s.Failed {
		return
	}
	if p.since.IsZero() {
		p.restart(now, s.Latency)
	}
	if now.Before(p.settled) {
		return
	}
	p.done++
	p.latency += s.Latency
	if s.Waiting > 0 || s.InFlight >= p.Limit() {
		p.saturated++
	}
	elapsed := now.Sub(p.settled)
	full := p.done >= probeSamples && elapsed >= probeWindow
	if !full && elapsed < probeLongWindow {
		return
	}
	p.turn(now, float64(p.done)/elapsed.Seconds())
}

// restart begins a window after the runs begun under the old limit have ended.
func (p *probe) restart(now time.Time, settle time.Duration) {
	p.since = now
	p.settled = now.Add(min(settle, probeLongWindow))
	p.done = 0
	p.saturated = 0
	p.latency = 0
}

func (p *probe) turn(now time.Time, throughput float64) {
	mean := p.latency / time.Duration(max(1, p.done))
	saturated := float64(p.saturated) >= probeSaturatedPart*float64(p.done)
	if !saturated {
		p.phase = phaseHold
		p.restart(now, 0)
		return
	}
	switch p.phase {
	case phaseHold:
		p.held = throughput
		p.phase = phaseDown
		if p.up {
			p.phase = phaseUp
		}
	case phaseDown:
		p.judgeDown(throughput)
	case phaseUp:
		p.judgeUp(throughput)
	}
	p.restart(now, mean)
}

// judgeDown keeps the lower limit if it cost less than a quarter of the step in throughput.
func (p *probe) judgeDown(throughput float64) {
	step := max(1, p.base*probeStep) / p.base
	lower := p.stepped()
	p.phase = phaseHold
	if throughput >= p.held*(1-step*probeDownShare) {
		p.base = p.bounds.clamp(lower)
		return
	}
	p.up = true
}

// judgeUp keeps the higher limit if it gained enough of the step in throughput.
func (p *probe) judgeUp(throughput float64) {
	step := max(1, p.base*probeStep) / p.base
	higher := p.stepped()
	p.phase = phaseHold
	if throughput >= p.held*(1+step*probeUpShare) {
		p.base = p.bounds.clamp(higher)
		return
	}
	p.up = false
}
