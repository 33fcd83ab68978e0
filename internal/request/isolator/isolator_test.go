package isolator_test

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// service is a set of nodes that deliver reports to each other synchronously; lost is the number of the next messages
// that fail.
type service struct {
	members []chivegauge.Member
	nodes   map[string]isolator.Isolator
	lost    atomic.Int64
}

// view is the service from the view of one node.
type view struct {
	*service
	self chivegauge.Member
}

func (v view) Self() chivegauge.Member { return v.self }

func (v view) Service(string) []chivegauge.Member { return v.members }

func (v view) Notify(_ context.Context, m chivegauge.Member, r isolator.RunReport) error {
	if v.lost.Add(-1) >= 0 {
		return errors.New("lost")
	}
	v.nodes[m.Address].Apply(r)
	return nil
}

func newService(now func() time.Time) *service {
	s := &service{
		nodes: map[string]isolator.Isolator{},
	}
	for _, address := range []string{"a", "b", "c"} {
		s.members = append(s.members, chivegauge.Member{
			Address: address,
		})
	}
	for _, m := range s.members {
		v := view{
			service: s,
			self:    m,
		}
		s.nodes[m.Address] = isolator.New(now, v, v)
	}
	return s
}

// admit sends the call to the node, and to the trial node if the first one refuses it as suspect; it returns the
// address of the node that decided.
func (s *service) admit(address, body string) (string, isolator.Admission, *chivegauge.Refusal) {
	call := chivegauge.Call{
		Body: []byte(body),
	}
	a, refusal := s.nodes[address].Admit(context.Background(), call)
	if refusal != nil && refusal.RedirectAddress != "" {
		address = refusal.RedirectAddress
		a, refusal = s.nodes[address].Admit(context.Background(), call)
	}
	return address, a, refusal
}

// TestAtMostTwoCrashes checks that a request which always crashes the backend server is refused after two crashes, and
// that a harmless request in flight at the first crash is cleared by its trial.
func TestAtMostTwoCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newService(func() time.Time { return now })
	at, killer, refusal := s.admit("a", "killer")
	is.Equal(refusal, nil)
	_, innocent, refusal := s.admit("a", "innocent")
	is.Equal(refusal, nil)
	s.nodes[at].Release(killer, isolator.Crashed)
	s.nodes[at].Release(innocent, isolator.Crashed)

	at, innocent, refusal = s.admit("b", "innocent")
	is.Equal(refusal, nil) // a suspect runs alone
	s.nodes[at].Release(innocent, isolator.Completed)

	at, killer, refusal = s.admit("c", "killer")
	is.Equal(refusal, nil) // a suspect runs alone
	s.nodes[at].Release(killer, isolator.Crashed)

	for _, address := range []string{"a", "b", "c"} {
		_, _, refusal = s.admit(address, "killer")
		is.True(refusal != nil)
		is.Equal(refusal.Code, chivegauge.CodeQuarantined)
		is.Equal(refusal.Run, chivegauge.NotRun)
		_, _, refusal = s.admit(address, "innocent")
		is.Equal(refusal, nil)
	}
	now = now.Add(time.Hour)
	_, _, refusal = s.admit("a", "killer")
	is.Equal(refusal, nil) // the quarantine has ended
}

// TestInconclusiveTrial checks that a request stays suspect if its trial got no response and didn't crash the backend
// server.
func TestInconclusiveTrial(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "killer")
	s.nodes[at].Release(a, isolator.Crashed)
	trial, a, refusal := s.admit("b", "killer")
	is.Equal(refusal, nil)
	s.nodes[trial].Release(a, isolator.Inconclusive)
	again, _, refusal := s.admit("c", "killer")
	is.Equal(refusal, nil)
	is.Equal(again, trial)
}

// TestReportReachesDraining checks that a draining node is notified when a suspect is cleared.
func TestReportReachesDraining(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "innocent")
	s.nodes[at].Release(a, isolator.Crashed)
	trial, _, _ := s.admit("b", "other")
	for n, m := range s.members {
		if m.Address != trial {
			s.members[n] = m.WithState(chivegauge.Draining)
		}
	}
	trial, a, refusal := s.admit(trial, "innocent")
	is.Equal(refusal, nil)
	s.nodes[trial].Release(a, isolator.Completed)
	for _, address := range []string{"a", "b", "c"} {
		_, refusal := s.nodes[address].Admit(context.Background(), chivegauge.Call{
			Body: []byte("innocent"),
		})
		is.Equal(refusal, nil)
	}
}

// TestLostReportIsResent checks that each node receives the report of a crash although the first messages were lost.
func TestLostReportIsResent(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "killer")
	s.lost.Store(3)
	s.nodes[at].Release(a, isolator.Crashed)
	trial, a, refusal := s.admit("b", "killer")
	is.Equal(refusal, nil)
	is.True(a.Trial())
	s.lost.Store(3)
	s.nodes[trial].Release(a, isolator.Crashed)
	for _, address := range []string{"a", "b", "c"} {
		_, _, refusal := s.admit(address, "killer")
		is.True(refusal != nil)
		is.Equal(refusal.Code, chivegauge.CodeQuarantined)
	}
}

// TestSuspicionInCall checks that a second attempt runs alone because its call is marked as suspect, although no node
// was notified of the first crash.
func TestSuspicionInCall(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	call := chivegauge.Call{
		Body: []byte("killer"),
	}
	crashes := 0
	for _, address := range []string{"a", "b", "c"} {
		a, refusal := s.nodes[address].Admit(context.Background(), call)
		if refusal != nil && refusal.RedirectAddress != "" {
			a, refusal = s.nodes[refusal.RedirectAddress].Admit(context.Background(), call)
		}
		if refusal != nil {
			continue
		}
		crashes++
		call = call.WithSuspect()
		// No crash is reported to other nodes: the call itself carries the suspicion, and the node that runs the trial
		// records its crash.
		if a.Trial() {
			is.Equal(crashes, 2)
			return
		}
	}
	t.Errorf("%d crashes without a trial", crashes)
}
