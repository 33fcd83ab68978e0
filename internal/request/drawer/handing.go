package drawer

import (
	"context"

	"github.com/chivegauge/chivegauge"
)

// Give hands out tokens to another node if this is the one to do so, and draws them for it otherwise: were each node that
// is asked to hand out, there would be two where a node that was silent for a while is back and not all know.
func (d *drawer) Give(ctx context.Context, w Draw) Grant {
	if w.Want == 0 {
		return Grant{}
	}
	timeout := relayTimeout >> w.Relays
	w.Relays++
	for tries := 0; tries < triesMax && w.Relays <= relaysMax; tries++ {
		g, own, err := d.fetch(ctx, w, timeout)
		if own {
			break
		}
		if err == nil {
			return g
		}
		timeout /= 2
	}
	return d.hand(w)
}

// hand hands out tokens of this node.
func (d *drawer) hand(w Draw) Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keep(w.Workspace, true)
	d.probe(w.Workspace)
	granted, wait := d.kept.Take(d.now(), w.Workspace, w.Want)
	return Grant{
		Granted: granted,
		Wait:    wait,
	}
}

// probe asks the node in whose place this one hands out whether it is back; d.mu is held.
func (d *drawer) probe(workspace string) {
	first := chivegauge.Heaviest(d.members.Self(), d.members.Alive(), workspace, func(chivegauge.Member) bool { return false })
	now := d.now()
	if _, lost := d.lost[first.Address]; !lost || now.Sub(d.probed) < probePause {
		return
	}
	d.probed = now
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		question := Draw{
			Workspace: workspace,
		}
		if _, err := d.asker.Draw(ctx, first, question); err == nil {
			d.Regained(first.Address)
		}
	})
}

// giveSelf hands out tokens to this node, within its bound.
func (d *drawer) giveSelf(w Draw) Grant {
	d.mu.Lock()
	allowed, wait := d.self.Take(d.now(), w.Workspace, w.Want)
	d.mu.Unlock()
	if allowed == 0 {
		return Grant{
			Wait: wait,
		}
	}
	w.Want = allowed
	return d.hand(w)
}
