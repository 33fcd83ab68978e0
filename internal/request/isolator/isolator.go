package isolator

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/policy/quarantiner"
)

const (
	// notifyTimeout bounds how long the end of a run waits until the other nodes have received its report; the end of a
	// run that is neither a trial nor a crash never waits.
	notifyTimeout = time.Second

	// retryTimeout is how long a report is resent to a node that doesn't acknowledge it, and retryInterval is the pause
	// before each further attempt.
	retryTimeout  = 5 * time.Second
	retryInterval = 100 * time.Millisecond

	// trialGrace is the time after a crash in a trial during which no crash is counted against other requests.
	trialGrace = 2 * time.Second
)

// RunReport reports the outcome of one run of a request to the other nodes of the service.
type RunReport struct {
	Fingerprint uint64
	Crashed     bool
	Trial       bool
}

// Members is the list of the nodes of a service.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
}

// Notifier sends reports to other nodes.
type Notifier interface {
	Notify(ctx context.Context, m chivegauge.Member, r RunReport) error
}

// Outcome is the outcome of an admitted request.
type Outcome int

// The outcomes of an admitted request.
const (
	// Inconclusive is the outcome of a request that got no response, or one of an error, and didn't crash the backend
	// server.
	Inconclusive Outcome = iota
	// Completed is the outcome of a request to which the backend server responded without an error.
	Completed
	// Crashed is the outcome of a request during which the backend server crashed.
	Crashed
)

// Admission is the permission to run one request on the backend server.
type Admission struct {
	fingerprint uint64
	trial       bool
}

// Trial reports whether the request is suspected of crashing backend servers and runs alone.
func (a Admission) Trial() bool {
	return a.trial
}

// Isolator runs suspect requests alone, and refuses those that crashed a backend server in their trial.
type Isolator interface {
	// Admit returns the permission to run the call, or a refusal that says that the call did not run.
	Admit(ctx context.Context, c chivegauge.Call) (Admission, *chivegauge.Refusal)
	// Release ends the admission with the outcome of the request; it notifies the other nodes of a crash before it
	// returns.
	Release(a Admission, outcome Outcome)
	// Apply applies a report from another node.
	Apply(r RunReport)
}

type isolator struct {
	now       func() time.Time
	members   Members
	notifier  Notifier
	trialSlot chan struct{}
	group     sync.WaitGroup

	mu             sync.Mutex
	suspects       quarantiner.Quarantiner
	trialRunning   bool
	trialCrashedAt time.Time
}

// New returns an isolator for the local backend server.
func New(now func() time.Time, m Members, n Notifier) Isolator {
	return &isolator{
		now:       now,
		members:   m,
		notifier:  n,
		trialSlot: make(chan struct{}, 1),
		suspects:  quarantiner.New(),
	}
}

// Admit admits a request that isn't suspect, admits a suspect one only at the trial node and alone, and refuses one
// that crashed a backend server in its trial.
func (i *isolator) Admit(ctx context.Context, c chivegauge.Call) (Admission, *chivegauge.Refusal) {
	a := Admission{
		fingerprint: chivegauge.Fingerprint(c.Workspace, c.Route, c.Method, c.Target, c.Body),
	}
	if c.Suspect {
		i.addSuspect(a.fingerprint)
	}
	for {
		switch i.stateOf(a.fingerprint) {
		case quarantiner.Unsuspected:
			return a, nil
		case quarantiner.Quarantined:
			return a, chivegauge.Refuse(chivegauge.CodeQuarantined, "two backend servers died while they ran this request")
		case quarantiner.Suspect:
		}
		if m, ok := i.trialMember(); ok && m.Address != i.members.Self().Address {
			refusal := chivegauge.Refuse(chivegauge.CodeSuspect, "a backend server died while it ran this request; it runs alone elsewhere")
			return a, refusal.WithRedirect(m.Address)
		}
		select {
		case i.trialSlot <- struct{}{}:
		case <-ctx.Done():
			return a, chivegauge.Refuse(chivegauge.CodeCancelled, "cancelled while waiting to run alone")
		}
		if i.beginTrial(a.fingerprint) {
			a.trial = true
			return a, nil
		}
		<-i.trialSlot
	}
}

// addSuspect suspects a request that its sender marked as suspect, because reports between nodes may be late or lost.
func (i *isolator) addSuspect(fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspects.RecordCrash(i.now(), fingerprint, false)
}

func (i *isolator) stateOf(fingerprint uint64) quarantiner.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspects.State(i.now(), fingerprint)
}

// beginTrial starts a trial, or returns false if the request was cleared or quarantined while it waited.
func (i *isolator) beginTrial(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.suspects.State(i.now(), fingerprint) != quarantiner.Suspect {
		return false
	}
	i.trialRunning = true
	return true
}

// trialMember returns the node at which suspect requests of the service run, or false if no node is alive. It is chosen
// by a hash of the addresses, so that all nodes choose the same one.
func (i *isolator) trialMember() (chivegauge.Member, bool) {
	best := chivegauge.Member{}
	weight := uint64(0)
	for _, m := range i.members.Service(i.members.Self().Service) {
		if w := xxhash.Sum64String("trial|" + m.Address); m.State == chivegauge.Alive && w > weight {
			best = m
			weight = w
		}
	}
	return best, weight > 0
}

// Release records the outcome of a request; a crash during a trial counts only against the request on trial.
func (i *isolator) Release(a Admission, outcome Outcome) {
	report, notify := i.recordOutcome(a, outcome)
	if a.trial {
		<-i.trialSlot
	}
	if notify {
		i.broadcast(report)
	}
}

// recordOutcome updates the suspects, and returns the report of the run and whether other nodes need it.
func (i *isolator) recordOutcome(a Admission, outcome Outcome) (RunReport, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	besideTrial := !a.trial && (i.trialRunning || now.Sub(i.trialCrashedAt) < trialGrace)
	if a.trial {
		i.trialRunning = false
	}
	r := RunReport{
		Fingerprint: a.fingerprint,
		Crashed:     outcome == Crashed,
		Trial:       a.trial,
	}
	switch {
	case outcome == Crashed && !besideTrial:
		i.suspects.RecordCrash(now, a.fingerprint, a.trial)
		if a.trial {
			i.trialCrashedAt = now
		}
		return r, true
	case outcome == Completed && a.trial:
		i.suspects.Clear(a.fingerprint)
		return r, true
	default:
		return r, false
	}
}

// broadcast sends the report to each other node of the service, draining ones included, and waits at most
// notifyTimeout; sending continues in the background for nodes that haven't acknowledged it by then.
func (i *isolator) broadcast(r RunReport) {
	self := i.members.Self()
	done := make(chan struct{})
	group := &sync.WaitGroup{}
	for _, m := range i.members.Service(self.Service) {
		if m.Address != self.Address && m.State <= chivegauge.Draining {
			group.Go(func() { i.notifyWithRetry(m, r) })
		}
	}
	i.group.Go(func() {
		group.Wait()
		close(done)
	})
	timer := time.NewTimer(notifyTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// notifyWithRetry sends the report to a node until the node acknowledges it, for at most retryTimeout.
func (i *isolator) notifyWithRetry(m chivegauge.Member, r RunReport) {
	ctx, cancel := context.WithTimeout(context.Background(), retryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		err := i.notifier.Notify(callCtx, m, r)
		cancel()
		if err == nil {
			return
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
}

// Apply applies a report from another node.
func (i *isolator) Apply(r RunReport) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.Crashed {
		i.suspects.RecordCrash(i.now(), r.Fingerprint, r.Trial)
		return
	}
	i.suspects.Clear(r.Fingerprint)
}
