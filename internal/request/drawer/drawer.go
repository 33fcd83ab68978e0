package drawer

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/divider"
	"github.com/go-faster/errors"
)

const (
	// ownPart is the part of a rate that is dealt out to all nodes evenly and needs no draw.
	ownPart = 0.1

	// selfParts bounds what a node that hands out tokens gives itself to so many even parts: one that is cut off
	// from all others serves its own callers alone, while another node hands out in its place.
	selfParts = 2.5

	// drawTimeout bounds a draw; it covers a new connection between two zones.
	drawTimeout = 300 * time.Millisecond

	// waitMax is how long a request waits for a token that is about to come.
	waitMax = 40 * time.Millisecond

	// lostFirst and lostMax bound the time for which a node that did not answer is passed over.
	lostFirst = time.Second
	lostMax   = 16 * time.Second

	// triesMax is the number of nodes that one draw asks.
	triesMax = 2

	// relayTimeout bounds a draw that is passed on for another node, which waits for drawTimeout; at each further node
	// it is half of that.
	relayTimeout = drawTimeout / 2

	// relaysMax is the number of nodes that pass one draw on.
	relaysMax = 2

	// probePause is the time after which a node that hands out in place of another asks again whether that one is back;
	// until then both may hand out.
	probePause = 200 * time.Millisecond
)

// ErrNotServing is returned by a node that does not hand out tokens.
var ErrNotServing = errors.New("the node does not hand out tokens")

// Draw asks for tokens.
type Draw struct {
	Workspace string
	Want      int

	// Relays is how many nodes passed the draw on that were taken for the one that hands out and are not.
	Relays int `json:",omitempty"`
}

// Grant is the answer to a draw; Wait is the time until there is another token.
type Grant struct {
	Granted int
	Wait    time.Duration
}

// Members are the nodes that are alive.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// Asker sends draws to other nodes.
type Asker interface {
	Draw(ctx context.Context, m chivegauge.Member, d Draw) (Grant, error)
}

// Drawer spends tokens of workspaces and hands out those that this node keeps.
type Drawer interface {
	// Configure sets the workspaces.
	Configure(list []chivegauge.Workspace)
	// Resize sets the number of nodes; it is called at each change of those alive.
	Resize(nodes int)
	// Take spends a token for a request, or returns how long it is until there is one.
	Take(ctx context.Context, workspace string) (ok bool, wait time.Duration)
	// Give hands out tokens to another node, or draws them for it from the node that does.
	Give(ctx context.Context, d Draw) Grant
	// Regained takes in that a node has spoken again.
	Regained(address string)
}

// loss is a node that did not answer.
type loss struct {
	until time.Time
	pause time.Duration
}

type drawer struct {
	now     func() time.Time
	members Members
	asker   Asker
	group   sync.WaitGroup

	mu         sync.Mutex
	workspaces []chivegauge.Workspace
	nodes      int
	own        divider.Divider
	kept       divider.Divider
	self       divider.Divider
	lines      map[string]*line
	lost       map[string]loss
	keeps      map[string]bool
	probed     time.Time
}

// line is the requests of one workspace that wait for tokens.
type line struct {
	waiting []waiter
	drawing bool
	dryTo   time.Time
}

// waiter is a request that waits for a token since it came.
type waiter struct {
	since time.Time
	done  chan result
}

type result struct {
	ok   bool
	wait time.Duration
}

// New returns a drawer; initial is the part of its own bursts that a node has at the start, from 0 to 1.
func New(now func() time.Time, m Members, a Asker, initial float64) Drawer {
	return &drawer{
		now:     now,
		members: m,
		asker:   a,
		nodes:   1,
		own:     divider.New(initial),
		kept:    divider.New(0),
		self:    divider.New(initial),
		lines:   map[string]*line{},
		lost:    map[string]loss{},
		keeps:   map[string]bool{},
	}
}

// Configure sets the workspaces.
func (d *drawer) Configure(list []chivegauge.Workspace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workspaces = list
	d.divide()
	d.review()
}

// Resize sets the number of nodes.
func (d *drawer) Resize(nodes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if nodes != d.nodes {
		d.nodes = max(1, nodes)
		d.divide()
	}
	d.review()
}

// review finds out which workspaces this node hands out tokens of; d.mu is held.
func (d *drawer) review() {
	self := d.members.Self().Address
	for _, w := range d.workspaces {
		d.keep(w.Name, d.keeper(w.Name).Address == self)
	}
}

// keep takes in whether this node hands out tokens of the workspace. It starts with none: the node before it
// may have handed out the burst. d.mu is held.
func (d *drawer) keep(workspace string, keeps bool) {
	if keeps && !d.keeps[workspace] {
		d.kept.Empty(d.now(), workspace)
	}
	d.keeps[workspace] = keeps
}

func (d *drawer) divide() {
	now := d.now()
	even := 1 / float64(d.nodes)
	d.own.Configure(now, d.workspaces, ownPart*even)
	d.kept.Configure(now, d.workspaces, 1-ownPart)
	d.self.Configure(now, d.workspaces, min(1, selfParts*even))
}

// Take spends a token of the node's own part, or draws one.
func (d *drawer) Take(ctx context.Context, workspace string) (bool, time.Duration) {
	ch, r := d.join(ctx, workspace)
	if ch == nil {
		return r.ok, r.wait
	}
	select {
	case r = <-ch:
	case <-ctx.Done():
	}
	return r.ok, r.wait
}

// join decides at once, or puts the request in line and sees that tokens are drawn for it.
func (d *drawer) join(ctx context.Context, workspace string) (chan result, result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if taken, _ := d.own.Take(now, workspace, 1); taken > 0 {
		return nil, result{
			ok: true,
		}
	}
	l := d.lines[workspace]
	if l == nil {
		l = &line{}
		d.lines[workspace] = l
	}
	if now.Before(l.dryTo) {
		return nil, result{
			wait: l.dryTo.Sub(now),
		}
	}
	ch := make(chan result, 1)
	l.waiting = append(l.waiting, waiter{
		since: now,
		done:  ch,
	})
	if !l.drawing {
		l.drawing = true
		d.group.Go(func() { d.serve(context.WithoutCancel(ctx), workspace, l) })
	}
	return ch, result{}
}

// serve draws until nobody waits.
func (d *drawer) serve(ctx context.Context, workspace string, l *line) {
	for {
		d.mu.Lock()
		want := len(l.waiting)
		if want == 0 {
			l.drawing = false
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		g := d.draw(ctx, Draw{
			Workspace: workspace,
			Want:      want,
		})
		if d.settle(l, g) {
			time.Sleep(g.Wait)
		}
	}
}

// settle gives the granted tokens to those who wait longest, sends those away who would wait too long, and
// reports whether anybody is left.
func (d *drawer) settle(l *line, g Grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	n := min(g.Granted, len(l.waiting))
	for _, w := range l.waiting[:n] {
		w.done <- result{
			ok: true,
		}
	}
	left := l.waiting[n:]
	l.waiting = nil
	for _, w := range left {
		if now.Add(g.Wait).Sub(w.since) <= waitMax {
			l.waiting = append(l.waiting, w)
			continue
		}
		l.dryTo = now.Add(min(g.Wait, waitMax))
		w.done <- result{
			wait: g.Wait,
		}
	}
	return len(l.waiting) > 0
}

// draw asks the node that hands out the tokens of the workspace, or the next one if it does not answer.
func (d *drawer) draw(ctx context.Context, w Draw) Grant {
	for range triesMax {
		g, own, err := d.fetch(ctx, w, drawTimeout)
		if own {
			return d.giveSelf(w)
		}
		if err == nil {
			return g
		}
	}
	return Grant{
		Wait: lostFirst,
	}
}

// fetch asks the node that hands out the tokens of the workspace, unless that is this one itself; one that does not
// answer in time is passed over for a while.
func (d *drawer) fetch(ctx context.Context, w Draw, timeout time.Duration) (g Grant, own bool, err error) {
	m := d.ask(w.Workspace)
	if m.Address == d.members.Self().Address {
		return Grant{}, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if g, err = d.asker.Draw(ctx, m, w); err != nil {
		d.miss(m.Address)
	}
	return g, false, err
}

// ask returns the node to ask for tokens of the workspace.
func (d *drawer) ask(workspace string) chivegauge.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.keeper(workspace)
	d.keep(workspace, m.Address == d.members.Self().Address)
	return m
}

// keeper returns the node that hands out the tokens of the workspace, as this node sees it; d.mu is held.
func (d *drawer) keeper(workspace string) chivegauge.Member {
	now := d.now()
	lost := func(m chivegauge.Member) bool { return now.Before(d.lost[m.Address].until) }
	return chivegauge.Heaviest(d.members.Self(), d.members.Alive(), workspace, lost)
}

// miss passes a node over for a while that did not answer.
func (d *drawer) miss(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pause := min(lostMax, max(lostFirst, 2*d.lost[address].pause))
	d.lost[address] = loss{
		until: d.now().Add(pause),
		pause: pause,
	}
}

// Regained ends the time for which a node is passed over.
func (d *drawer) Regained(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.lost, address)
}
