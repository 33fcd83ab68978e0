package freshener

import (
	"context"
	"math/rand/v2"
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

// other returns a node of any zone that has not been asked in vain a while ago.
func (f *freshener) other() (chivegauge.Member, bool) {
	self := f.members.Self()
	now := timekeeper.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []chivegauge.Member
	for _, m := range f.members.Alive() {
		if m.Address != self.Address && !now.Before(f.missed[m.Address]) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return chivegauge.Member{}, false
	}
	return list[rand.IntN(len(list))], true
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
	behind := err == nil && p.Version < r.Version() // it is about to hear of the newer version
	if err != nil || p.Age > cfg.AskAge || behind {
		f.log.Info().Err(err).Str("Reader", m.Address).Dur("ProofAgeMs", p.Age).Uint64("Version", p.Version).Msg("no proof from another node")
		if !behind {
			f.miss(m.Address)
		}
		return false
	}
	proof := sent.Add(-p.Age)
	if p.Document != nil {
		f.accept(*p.Document, proof)
	}
	f.prove(proof)
	return true
}

// miss passes a node over for a while that gave no proof.
func (f *freshener) miss(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed[address] = timekeeper.Now().Add(missPause)
}

// prove takes a proof in, unless there is a younger one.
func (f *freshener) prove(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proved(at)
}

// proved is prove with f.mu held.
func (f *freshener) proved(at time.Time) {
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
