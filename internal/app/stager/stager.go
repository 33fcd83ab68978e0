package stager

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// Stage is a stage of a node's life.
type Stage string

// The stages.
const (
	Starting Stage = "Starting"
	Ready    Stage = "Ready"
	Leaving  Stage = "Leaving"
	Stopping Stage = "Stopping"
	Stopped  Stage = "Stopped"
)

// Trigger moves a node to another stage.
type Trigger string

// The triggers.
const (
	Configured Trigger = "Configured"
	Leave      Trigger = "Leave"
	Return     Trigger = "Return"
	Stop       Trigger = "Stop"
	Drained    Trigger = "Drained"
)

// Stager holds the present stage.
type Stager interface {
	// Stage returns the present stage.
	Stage() Stage
	// Fire moves to the stage that the trigger leads to and reports whether there is one.
	Fire(t Trigger) bool
}

type stager struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New returns a stager at Starting that calls changed after each move.
func New(changed func(from, to Stage)) Stager {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).
		Permit(Configured, Ready).
		Permit(Stop, Stopping)
	m.Configure(Ready).
		Permit(Leave, Leaving).
		Permit(Stop, Stopping)
	m.Configure(Leaving).
		Permit(Return, Ready).
		Permit(Stop, Stopping)
	m.Configure(Stopping).
		Permit(Drained, Stopped)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		changed(t.Source.(Stage), t.Destination.(Stage))
	})
	return &stager{
		machine: m,
	}
}

// Stage returns the present stage.
func (s *stager) Stage() Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MustState().(Stage)
}

// Fire moves to the stage that the trigger leads to.
func (s *stager) Fire(t Trigger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, err := s.machine.CanFire(t); err != nil || !ok {
		return false
	}
	return s.machine.Fire(t) == nil
}
