package freshener

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/request/router"
)

// missPause is how long a node is not asked again that gave no proof.
const missPause = 3 * time.Second

// Proof is what a node has in force and the age of its proof; Document is nil where the asker has it already.
type Proof struct {
	Version  uint64
	Age      time.Duration
	Document *router.Document
}

// Members are the nodes that are alive.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// Asker asks other nodes.
type Asker interface {
	// Prove returns what the member has in force, once it is above the version or after the wait.
	Prove(ctx context.Context, m chivegauge.Member, have uint64, wait time.Duration) (Proof, error)
}

// reader returns the node that reads for the zone of this one, unless that is this node itself.
func (f *freshener) reader() (chivegauge.Member, bool) {
	if _, ok := f.Router(); !ok {
		return chivegauge.Member{}, false
	}
	self := f.members.Self()
	now := timekeeper.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	skip := func(m chivegauge.Member) bool { return m.Zone != self.Zone || now.Before(f.missed[m.Address]) }
	best := chivegauge.Heaviest(self, f.members.Alive(), readerKey, skip)
	return best, best.Address != self.Address
}

// readerKey is the key by whose hash the reader of a zone is chosen.
const readerKey = "reader"

// ask takes the proof of another node over; its age counts from when it was asked for.
func (f *freshener) ask(ctx context.Context, m chivegauge.Member) bool {
	r, ok := f.Router()
	if !ok {
		return false
	}
	cfg := f.cfg.Load()
	sent := timekeeper.Now()
	ctx, cancel := context.WithTimeout(ctx, cfg.AskWait+cfg.AskTimeout)
	defer cancel()
	p, err := f.asker.Prove(ctx, m, r.Version(), cfg.AskWait)
	if err != nil || p.Age > cfg.AskAge || p.Version < r.Version() {
		f.log.Info().Err(err).Str("Reader", m.Address).Dur("ProofAgeMs", p.Age).Uint64("Version", p.Version).Msg("no proof from the reader of the zone; reading the source")
		f.mu.Lock()
		f.missed[m.Address] = timekeeper.Now().Add(missPause)
		f.mu.Unlock()
		return false
	}
	if p.Document != nil {
		f.accept(*p.Document)
	}
	f.prove(sent.Add(-p.Age))
	return true
}

// prove takes a proof in, unless there is a younger one.
func (f *freshener) prove(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.proof) {
		f.proof = at
	}
}

// Tell answers another node.
func (f *freshener) Tell(ctx context.Context, have uint64, wait time.Duration) Proof {
	f.mu.Lock()
	changed := f.changed
	version := f.document.Version
	f.mu.Unlock()
	if version <= have {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Proof{
		Version: f.document.Version,
		Age:     timekeeper.Now().Sub(f.proof),
	}
	if p.Version > have {
		d := f.document
		p.Document = &d
	}
	return p
}
