package announcer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/go-faster/errors"
)

const (
	prefix     = "nodes/"
	retryFirst = 500 * time.Millisecond
	retryMax   = 15 * time.Second

	// checkPeriod is the time between two checks whether the store may have lost the announcement, and returnJitter the
	// longest time until it is written again then: all nodes notice the return of a store at nearly the same time.
	checkPeriod  = time.Second
	returnJitter = 4 * time.Second
)

// Membership provides the member to announce, and merges the members that other nodes announced.
type Membership interface {
	Self() chivegauge.Member
	Merge(m chivegauge.Member)
	Alone() bool
}

// ExitListener is called once, with whether an earlier process at this address ended without withdrawing its
// announcement.
type ExitListener func(unclean bool)

// Announcer maintains the node's announcement in the store.
type Announcer interface {
	// Serve announces the node and refreshes the announcement until the context ends.
	Serve(ctx context.Context) error
	// Withdraw removes the announcement.
	Withdraw(ctx context.Context) error
}

type announcer struct {
	store    storer.Store
	members  Membership
	refresh  time.Duration
	onExit   ExitListener
	reported bool

	// version is that of the announcement, 0 if there is none yet.
	version uint64
}

// New returns an announcer that writes the announcement once in each refresh period.
func New(s storer.Store, m Membership, refresh time.Duration, onExit ExitListener) Announcer {
	return &announcer{
		store:   s,
		members: m,
		refresh: refresh,
		onExit:  onExit,
	}
}

// Serve writes the announcement periodically and after each return of the store from an older copy, and reads those of other nodes as long as no other live member is known.
func (a *announcer) Serve(ctx context.Context) error {
	backoff := retryFirst
	for {
		wait := a.refresh
		if err := a.round(ctx); err != nil {
			wait = backoff
			backoff = min(retryMax, 2*backoff)
		} else {
			backoff = retryFirst
		}
		if a.members.Alone() {
			wait = min(wait, retryMax)
		}
		a.sleep(ctx, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// sleep waits for the duration, or until a random time after the store has come back from an older copy.
func (a *announcer) sleep(ctx context.Context, d time.Duration) {
	returned := false
	for end := timekeeper.Now().Add(d); ctx.Err() == nil && timekeeper.Now().Before(end); {
		if a.version != 0 && !returned && a.store.Outdated(a.version) {
			returned = true
			end = timekeeper.Now().Add(rand.N(returnJitter))
		}
		timekeeper.Sleep(ctx, min(checkPeriod, end.Sub(timekeeper.Now())))
	}
}

func (a *announcer) round(ctx context.Context) error {
	if err := a.announce(ctx); err != nil {
		return err
	}
	if !a.members.Alone() {
		return nil
	}
	list, err := a.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list nodes")
	}
	for _, o := range list {
		m := chivegauge.Member{}
		if err := json.Unmarshal(o.Value, &m); err != nil {
			continue
		}
		a.members.Merge(m)
	}
	return nil
}

func (a *announcer) announce(ctx context.Context) error {
	self := a.members.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	version := uint64(0)
	o, err := a.store.Get(ctx, prefix+self.Address)
	switch {
	case err == nil:
		version = o.Version
		a.reportExit(fromEarlierProcess(o, self))
	case errors.Is(err, storer.ErrNotFound):
		a.reportExit(false)
	default:
		return errors.Wrap(err, "read announcement")
	}
	written, err := a.store.Put(ctx, prefix+self.Address, value, version)
	if err != nil {
		return errors.Wrap(err, "write announcement")
	}
	a.version = written.Version
	return nil
}

// reportExit calls the listener, the first time only.
func (a *announcer) reportExit(unclean bool) {
	if a.reported {
		return
	}
	a.reported = true
	a.onExit(unclean)
}

func fromEarlierProcess(o storer.Object, self chivegauge.Member) bool {
	m := chivegauge.Member{}
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return true
	}
	return m.Process() != self.Process()
}

// Withdraw removes the announcement.
func (a *announcer) Withdraw(ctx context.Context) error {
	return a.store.Delete(ctx, prefix+a.members.Self().Address)
}
