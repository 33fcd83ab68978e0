package clusterlimiter

import (
	"time"

	"github.com/chivegauge/chivegauge"
)

// backoff is how long a node that didn't respond is skipped.
type backoff struct {
	until time.Time
	delay time.Duration
}

// currentOwner is the owner of the bucket of a workspace as long as no node becomes reachable or unreachable, at most
// until the end of a backoff; a zero time stands for no such end.
type currentOwner struct {
	member chivegauge.Member
	until  time.Time
}

// ownerOf returns the owner of the workspace's bucket, and records whether it is this node.
func (l *clusterLimiter) ownerOf(workspace string) chivegauge.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.owner(workspace)
	l.setOwnership(workspace, m.Address == l.members.Self().Address)
	return m
}

// owner returns the node with the highest rendezvous hash for the workspace that this node considers reachable; l.mu is
// held.
func (l *clusterLimiter) owner(workspace string) chivegauge.Member {
	now := l.now()
	if o, ok := l.owners[workspace]; ok && (o.until.IsZero() || now.Before(o.until)) {
		return o.member
	}
	skip := func(m chivegauge.Member) bool { return now.Before(l.unreachable[m.Address].until) }
	o := currentOwner{
		member: chivegauge.Heaviest(l.members.Self(), l.members.Alive(), workspace, skip),
	}
	for _, b := range l.unreachable {
		if now.Before(b.until) && (o.until.IsZero() || b.until.Before(o.until)) {
			o.until = b.until
		}
	}
	l.owners[workspace] = o
	return o.member
}

// markUnreachable skips a node that didn't respond until its backoff ends.
func (l *clusterLimiter) markUnreachable(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.owners)
	delay := min(backoffMax, max(backoffInitial, 2*l.unreachable[address].delay))
	l.unreachable[address] = backoff{
		until: l.now().Add(delay),
		delay: delay,
	}
}

// MarkReachable ends the backoff of a node.
func (l *clusterLimiter) MarkReachable(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.unreachable[address]; !ok {
		return
	}
	clear(l.owners)
	delete(l.unreachable, address)
}
