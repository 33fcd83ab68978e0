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

// service is a service of nodes that tell each other news at once, the first lost messages aside.
type service struct {
	members []chivegauge.Member
	nodes   map[string]isolator.Isolator
	lost    atomic.Int64
}

// view is the service as one of its nodes sees it.
type view struct {
	*service
	self chivegauge.Member
}

func (v view) Self() chivegauge.Member { return v.self }

func (v view) Service(string) []chivegauge.Member { return v.members }

func (v view) Blame(_ context.Context, m chivegauge.Member, n isolator.News) error {
	if v.lost.Add(-1) >= 0 {
		return errors.New("lost")
	}
	v.nodes[m.Address].Learn(n)
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

// admit sends the call to the node, and to the one that it names instead.
func (s *service) admit(address, body string) (string, isolator.Admission, *chivegauge.Refusal) {
	call := chivegauge.Call{
		Body: []byte(body),
	}
	a, refusal := s.nodes[address].Enter(context.Background(), call)
	if refusal != nil && refusal.Elsewhere != "" {
		address = refusal.Elsewhere
		a, refusal = s.nodes[address].Enter(context.Background(), call)
	}
	return address, a, refusal
}

// TestKillerDiesTwiceAtMost sends a request that kills what runs it, beside an innocent one in flight at its first run.
func TestKillerDiesTwiceAtMost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newService(func() time.Time { return now })
	at, killer, refusal := s.admit("a", "killer")
	is.Equal(refusal, nil)
	_, innocent, refusal := s.admit("a", "innocent")
	is.Equal(refusal, nil)
	s.nodes[at].Leave(killer, isolator.Died)
	s.nodes[at].Leave(innocent, isolator.Died)

	at, innocent, refusal = s.admit("b", "innocent")
	is.Equal(refusal, nil) // a suspect runs, alone
	s.nodes[at].Leave(innocent, isolator.Survived)

	at, killer, refusal = s.admit("c", "killer")
	is.Equal(refusal, nil) // a suspect runs, alone
	s.nodes[at].Leave(killer, isolator.Died)

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
	is.Equal(refusal, nil) // a conviction ends
}

// TestUnrunTrial states that a suspect whose trial did not run stays a suspect.
func TestUnrunTrial(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "killer")
	s.nodes[at].Leave(a, isolator.Died)
	trial, a, refusal := s.admit("b", "killer")
	is.Equal(refusal, nil)
	s.nodes[trial].Leave(a, isolator.Unrun)
	again, _, refusal := s.admit("c", "killer")
	is.Equal(refusal, nil)
	is.Equal(again, trial)
}

// TestNewsReachesDraining states that a node which takes no work for now learns that a suspect was cleared.
func TestNewsReachesDraining(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "innocent")
	s.nodes[at].Leave(a, isolator.Died)
	trial, _, _ := s.admit("b", "other")
	for n, m := range s.members {
		if m.Address != trial {
			s.members[n] = m.WithState(chivegauge.Draining)
		}
	}
	trial, a, refusal := s.admit(trial, "innocent")
	is.Equal(refusal, nil)
	s.nodes[trial].Leave(a, isolator.Survived)
	for _, address := range []string{"a", "b", "c"} {
		_, refusal := s.nodes[address].Enter(context.Background(), chivegauge.Call{
			Body: []byte("innocent"),
		})
		is.Equal(refusal, nil)
	}
}

// TestLostNoticeIsRepeated states that each node knows of a death although the first notices of it were lost.
func TestLostNoticeIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	at, a, _ := s.admit("a", "killer")
	s.lost.Store(3)
	s.nodes[at].Leave(a, isolator.Died)
	trial, a, refusal := s.admit("b", "killer")
	is.Equal(refusal, nil)
	is.True(a.Trial())
	s.lost.Store(3)
	s.nodes[trial].Leave(a, isolator.Died)
	for _, address := range []string{"a", "b", "c"} {
		_, _, refusal := s.admit(address, "killer")
		is.True(refusal != nil)
		is.Equal(refusal.Code, chivegauge.CodeQuarantined)
	}
}

// TestSuspicionTravelsWithTheCall states that a second attempt runs alone although each notice of the first death was lost.
func TestSuspicionTravelsWithTheCall(t *testing.T) {
	is := is.New(t)
	s := newService(func() time.Time { return time.Unix(1000, 0) })
	call := chivegauge.Call{
		Body: []byte("killer"),
	}
	deaths := 0
	for _, address := range []string{"a", "b", "c"} {
		a, refusal := s.nodes[address].Enter(context.Background(), call)
		if refusal != nil && refusal.Elsewhere != "" {
			a, refusal = s.nodes[refusal.Elsewhere].Enter(context.Background(), call)
		}
		if refusal != nil {
			continue
		}
		deaths++
		call = call.WithSuspect()
		// Nobody hears of the death: only the call carries the suspicion, and a trial's death is known at its own node.
		if a.Trial() {
			is.Equal(deaths, 2)
			return
		}
	}
	t.Errorf("%d deaths without a trial", deaths)
}
