package ratelimiter

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// sendRequests sends the lease requests to the owners of their slots, one message per owner.
func (l *leaseLimiter) sendRequests(requests []lessor.LeaseRequest) {
	byOwner := map[string][]lessor.LeaseRequest{}
	for _, request := range requests {
		address := l.directory.Owner(request.Slot).Address
		byOwner[address] = append(byOwner[address], request)
	}
	for address, list := range byOwner {
		switch address {
		case "":
			l.failRequests(list)
		case l.self:
			l.grantLocal(list)
		default:
			l.requestRemote(address, list)
		}
	}
}

// failRequests reports failed lease requests to the lessee.
func (l *leaseLimiter) failRequests(requests []lessor.LeaseRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		l.lessee.HandleFailure(l.now(), request)
		l.signal(request.Workspace)
	}
}

// grantLocal grants lease requests from the slots that this node owns.
func (l *leaseLimiter) grantLocal(requests []lessor.LeaseRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, request := range requests {
		l.lessee.HandleGrant(now, now, request, l.lessor.Grant(now, request, rand.Uint64))
		l.signal(request.Workspace)
	}
}

// requestRemote sends lease requests to another node in the background, or fails them if leaseExchangesMax exchanges
// are pending.
func (l *leaseLimiter) requestRemote(address string, requests []lessor.LeaseRequest) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.failRequests(requests)
		return
	}
	l.group.Go(func() {
		defer func() { <-l.inFlight }()
		l.exchange(address, requests)
	})
}

// exchange sends lease requests to another node and applies its grants.
func (l *leaseLimiter) exchange(address string, requests []lessor.LeaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	sent := l.now()
	res, err := l.client(address).Draw(ctx, encodeLeaseRequests(requests))
	if err != nil || len(res.GetItems()) != len(requests) {
		l.failRequests(requests)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, item := range res.GetItems() {
		l.lessee.HandleGrant(l.now(), sent, requests[n], decodeGrant(item))
		l.signal(requests[n].Workspace)
	}
}

// signal wakes the requests that wait for tokens of the workspace; l.mu is held.
func (l *leaseLimiter) signal(workspace string) {
	if ch := l.signals[workspace]; ch != nil {
		close(ch)
		delete(l.signals, workspace)
	}
}
