package executor_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/matryer/is"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// backend is a backend server that may be dead; what is sent to a dead one over a kept connection breaks off.
type backend struct {
	dead bool
}

func (b *backend) Up() bool { return !b.dead }

func (b *backend) Send(_ context.Context, c chivegauge.Call, _ string) (chivegauge.Answer, *chivegauge.Refusal) {
	if b.dead {
		return chivegauge.Answer{}, chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "broken off")
	}
	return chivegauge.Answer{
		Status: 200,
		Body:   c.Body,
	}, nil
}

// alone is a service of one node.
type alone struct{}

func (alone) Self() chivegauge.Member {
	return chivegauge.Member{
		Address: "a",
		Service: "booking",
	}
}

func (a alone) Service(string) []chivegauge.Member { return []chivegauge.Member{a.Self()} }

func (alone) Blame(context.Context, chivegauge.Member, isolator.News) error { return nil }

func newExecutor(b executor.Backend) executor.Executor {
	gate := gatekeeper.New(time.Now, limiter.NewStatic(4), scheduler.New(10))
	x := executor.New("booking", time.Now, gate, b, tracker.New(time.Minute, 100, 1000), time.Second)
	x.Follow(nil, isolator.New(time.Now, alone{}, alone{}))
	return x
}

func call(sequence uint64) chivegauge.Call {
	id := tracker.Attempt{
		Sender:   "b@1",
		Sequence: sequence,
	}
	return chivegauge.Call{
		AttemptID: id.String(),
		Deadline:  time.Now().Add(time.Minute),
		Body:      []byte("the same body"),
	}
}

// TestDeadBackendConvictsNobody sends one request again and again while the backend server is dead for another reason;
// once it is back, the request runs.
func TestDeadBackendConvictsNobody(t *testing.T) {
	is := is.New(t)
	b := &backend{
		dead: true,
	}
	x := newExecutor(b)
	for n := range uint64(5) {
		a := x.Execute(context.Background(), call(n+1))
		is.True(a.Refusal != nil)
	}
	b.dead = false
	a := x.Execute(context.Background(), call(10))
	is.Equal(a.Refusal, nil)
	is.Equal(a.Status, 200)
	x.Wait()
}

// TestAttemptRunsOnce sends an attempt twice and asks for it; there is one run and one answer.
func TestAttemptRunsOnce(t *testing.T) {
	is := is.New(t)
	x := newExecutor(&backend{})
	first := x.Execute(context.Background(), call(1))
	second := x.Execute(context.Background(), call(1))
	is.Equal(first, second)
	asked, running := x.Await(context.Background(), tracker.Attempt{
		Sender:   "b@1",
		Sequence: 2,
	})
	is.Equal(running, false)
	is.Equal(asked.Refusal.Run, chivegauge.NotRun)
	late := x.Execute(context.Background(), call(2))
	is.Equal(late.Refusal.Code, chivegauge.CodeAttemptConflict) // its sender was told that it did not run
	x.Wait()
}

// exiting is a backend server that breaks a run off and whose listener closes a moment later.
type exiting struct {
	looks int
}

func (b *exiting) Up() bool {
	b.looks++
	return b.looks < 3
}

func (b *exiting) Send(context.Context, chivegauge.Call, string) (chivegauge.Answer, *chivegauge.Refusal) {
	return chivegauge.Answer{}, chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "broken off")
}

// TestExitIsSeen states that a death is seen although the listener outlives the connection for a moment.
func TestExitIsSeen(t *testing.T) {
	is := is.New(t)
	x := newExecutor(&exiting{})
	a := x.Execute(context.Background(), chivegauge.Call{
		AttemptID: tracker.Attempt{
			Sender:   "a",
			Sequence: 1,
		}.String(),
		Deadline: time.Now().Add(time.Minute),
	})
	is.Equal(a.Refusal.Code, chivegauge.CodeBackendDied)
}
