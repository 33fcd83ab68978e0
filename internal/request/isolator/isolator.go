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
	// tellTime is how long the end of a run waits until the other nodes know of a death; it is spent on deaths alone.
	tellTime = time.Second

	// repeatTime is how long a node is told again that did not answer, repeatPause the pause between.
	repeatTime  = 5 * time.Second
	repeatPause = 100 * time.Millisecond

	trialGrace = 2 * time.Second
)

// News is what the nodes of a service tell each other of a request.
type News struct {
	Fingerprint uint64
	Died        bool
	Trial       bool
}

// Members is the membership of the service.
type Members interface {
	Self() chivegauge.Member
	Service(name string) []chivegauge.Member
}

// Teller sends news to another node.
type Teller interface {
	Blame(ctx context.Context, m chivegauge.Member, n News) error
}

// Ending is how an admitted request ended.
type Ending int

// The endings.
const (
	// Unrun is a request that did not run to its end at the backend server.
	Unrun Ending = iota
	// Survived is a request whose answer came.
	Survived
	// Died is a request during which the backend server died.
	Died
)

// Admission is the permission to run one request on the backend server.
type Admission struct {
	fingerprint uint64
	trial       bool
}

// Trial reports whether the request is a suspect that runs alone.
func (a Admission) Trial() bool {
	return a.trial
}

// Isolator decides which requests may run beside others.
type Isolator interface {
	// Enter returns the permission to run the call, or a refusal of a call that did not run.
	Enter(ctx context.Context, c chivegauge.Call) (Admission, *chivegauge.Refusal)
	// Leave takes in how the run ended; it returns when the other nodes know of a death.
	Leave(a Admission, e Ending)
	// Learn takes in the news of another node.
	Learn(n News)
}

type isolator struct {
	now     func() time.Time
	members Members
	teller  Teller
	trials  chan struct{}
	group   sync.WaitGroup

	mu        sync.Mutex
	suspects  quarantiner.Quarantiner
	onTrial   bool
	trialDied time.Time
}

// New returns an isolator for the backend server beside the node.
func New(now func() time.Time, m Members, t Teller) Isolator {
	return &isolator{
		now:      now,
		members:  m,
		teller:   t,
		trials:   make(chan struct{}, 1),
		suspects: quarantiner.New(),
	}
}

// Enter lets a clear request pass, runs a suspect alone at the trial node, and refuses a convicted one.
func (i *isolator) Enter(ctx context.Context, c chivegauge.Call) (Admission, *chivegauge.Refusal) {
	a := Admission{
		fingerprint: chivegauge.Fingerprint(c.Workspace, c.Route, c.Method, c.Target, c.Body),
	}
	if c.Suspect {
		i.suspect(a.fingerprint)
	}
	for {
		switch i.verdict(a.fingerprint) {
		case quarantiner.Clear:
			return a, nil
		case quarantiner.Convicted:
			return a, chivegauge.Refuse(chivegauge.CodeQuarantined, "two backend servers died while they ran this request")
		case quarantiner.Suspect:
		}
		if m, ok := i.trialMember(); ok && m.Address != i.members.Self().Address {
			refusal := chivegauge.Refuse(chivegauge.CodeSuspect, "a backend server died while it ran this request; it runs alone elsewhere")
			return a, refusal.WithElsewhere(m.Address)
		}
		select {
		case i.trials <- struct{}{}:
		case <-ctx.Done():
			return a, chivegauge.Refuse(chivegauge.CodeCancelled, "cancelled while waiting to run alone")
		}
		if i.begin(a.fingerprint) {
			a.trial = true
			return a, nil
		}
		<-i.trials
	}
}

// suspect takes in a suspicion that came with the call itself, for news between nodes may be late or lost.
func (i *isolator) suspect(fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspects.Blame(i.now(), fingerprint, false)
}

func (i *isolator) verdict(fingerprint uint64) quarantiner.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspects.Verdict(i.now(), fingerprint)
}

// begin starts a trial unless the request was cleared or convicted meanwhile.
func (i *isolator) begin(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.suspects.Verdict(i.now(), fingerprint) != quarantiner.Suspect {
		return false
	}
	i.onTrial = true
	return true
}

// trialMember returns the member of the service at which suspects run.
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

// Leave ends a run; a death during a trial is blamed on the request on trial alone.
func (i *isolator) Leave(a Admission, e Ending) {
	news, tell := i.conclude(a, e)
	if a.trial {
		<-i.trials
	}
	if tell {
		i.tell(news)
	}
}

func (i *isolator) conclude(a Admission, e Ending) (News, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	besideTrial := !a.trial && (i.onTrial || now.Sub(i.trialDied) < trialGrace)
	if a.trial {
		i.onTrial = false
	}
	n := News{
		Fingerprint: a.fingerprint,
		Died:        e == Died,
		Trial:       a.trial,
	}
	switch {
	case e == Died && !besideTrial:
		i.suspects.Blame(now, a.fingerprint, a.trial)
		if a.trial {
			i.trialDied = now
		}
		return n, true
	case e == Survived && a.trial:
		i.suspects.Acquit(a.fingerprint)
		return n, true
	default:
		return n, false
	}
}

// tell sends news to each other node of the service, the draining ones included, and waits a bounded time; those
// that have not answered by then are told on in the background.
func (i *isolator) tell(n News) {
	self := i.members.Self()
	told := make(chan struct{})
	group := &sync.WaitGroup{}
	for _, m := range i.members.Service(self.Service) {
		if m.Address != self.Address && m.State <= chivegauge.Draining {
			group.Go(func() { i.repeat(m, n) })
		}
	}
	i.group.Go(func() {
		group.Wait()
		close(told)
	})
	timer := time.NewTimer(tellTime)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	}
}

// repeat tells a node until it answers, or for a bounded time.
func (i *isolator) repeat(m chivegauge.Member, n News) {
	ctx, cancel := context.WithTimeout(context.Background(), repeatTime)
	defer cancel()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, tellTime)
		err := i.teller.Blame(callCtx, m, n)
		cancel()
		if err == nil {
			return
		}
		timekeeper.Rest(ctx, repeatPause)
	}
}

// Learn takes in the news of another node.
func (i *isolator) Learn(n News) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n.Died {
		i.suspects.Blame(i.now(), n.Fingerprint, n.Trial)
		return
	}
	i.suspects.Acquit(n.Fingerprint)
}
