package stager

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"
)

// Stage is a stage of the lifecycle of a node.
type Stage string

// The stages of the lifecycle.
const (
	Starting Stage = "Starting"
	Ready    Stage = "Ready"
	Leaving  Stage = "Leaving"
	Stopping Stage = "Stopping"
	Stopped  Stage = "Stopped"
)

// Trigger is an event that moves a node to another stage.
type Trigger string

// The triggers of transitions.
const (
	Configured Trigger = "Configured"
	Leave      Trigger = "Leave"
	Return     Trigger = "Return"
	Stop       Trigger = "Stop"
	Drained    Trigger = "Drained"
)

// Stager is the state machine of the lifecycle.
type Stager interface {
	// Stage returns the current stage.
	Stage() Stage
	// Fire makes the transition of the trigger, and reports whether the current stage has one.
	Fire(t Trigger) bool
}

type stager struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New returns a stager at Starting that calls onChange with each transition.
func New(onChange func(from, to Stage)) Stager {
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
		onChange(t.Source.(Stage), t.Destination.(Stage))
	})
	return &stager{
		machine: m,
	}
}

// Stage returns the current stage.
func (s *stager) Stage() Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MustState().(Stage)
}

// Fire makes the transition of the trigger.
func (s *stager) Fire(t Trigger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, err := s.machine.CanFire(t); err != nil || !ok {
		return false
	}
	return s.machine.Fire(t) == nil
}
