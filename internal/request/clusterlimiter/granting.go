package clusterlimiter

import (
	"context"

	"github.com/chivegauge/chivegauge"
)

// Grant grants tokens to another node if this node is the owner, and otherwise relays the request to the owner. If each
// node that receives a request granted tokens, there would be two owners while only some nodes have noticed that the
// preferred owner is reachable again.
func (l *clusterLimiter) Grant(ctx context.Context, tr TokenRequest) Grant {
	if tr.Count == 0 {
		return Grant{}
	}
	timeout := relayTimeout >> tr.Relays
	tr.Relays++
	for tries := 0; tries < triesMax && tr.Relays <= relaysMax; tries++ {
		g, self, err := l.requestFromOwner(ctx, tr, timeout)
		if self {
			break
		}
		if err == nil {
			return g
		}
		timeout /= 2
	}
	return l.grantOwned(tr)
}

// grantOwned grants tokens from the bucket of this node, which becomes the owner if it wasn't.
func (l *clusterLimiter) grantOwned(tr TokenRequest) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setOwnership(tr.Workspace, true)
	l.probePreferred(tr.Workspace)
	now := l.now()
	granted, wait := l.owned.Acquire(now, tr.Workspace, tr.Count)
	g := Grant{
		Granted: granted,
		Wait:    wait,
	}
	if granted == tr.Count {
		g.Ahead = l.owned.AcquireAhead(now, tr.Workspace, tr.Ahead, now.Add(aheadTime))
	}
	return g
}

// probePreferred checks in the background whether the preferred owner of the workspace's bucket, the node with the
// highest rendezvous hash, is reachable again; l.mu is held.
func (l *clusterLimiter) probePreferred(workspace string) {
	if len(l.unreachable) == 0 {
		return
	}
	preferred := chivegauge.Heaviest(l.members.Self(), l.members.Alive(), workspace, func(chivegauge.Member) bool { return false })
	now := l.now()
	if _, skipped := l.unreachable[preferred.Address]; !skipped || now.Sub(l.lastProbe) < probeInterval {
		return
	}
	l.lastProbe = now
	l.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		probe := TokenRequest{
			Workspace: workspace,
		}
		if _, err := l.client.RequestTokens(ctx, preferred, probe); err == nil {
			l.MarkReachable(preferred.Address)
		}
	})
}

// grantSelf grants tokens to this node's own callers, limited by ownerSelfShares.
func (l *clusterLimiter) grantSelf(tr TokenRequest) Grant {
	l.mu.Lock()
	allowed, wait := l.selfGrants.Acquire(l.now(), tr.Workspace, tr.Count)
	l.mu.Unlock()
	if allowed == 0 {
		return Grant{
			Wait: wait,
		}
	}
	tr.Count = allowed
	tr.Ahead = 0 // its own requests need no message
	return l.grantOwned(tr)
}
