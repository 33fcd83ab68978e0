package ratelimiter

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// sendRequests sends the lease requests to the owners of their slots, one message per owner.
func (s *leaseLimiter) sendRequests(requests []lessor.LeaseRequest) {
	byOwner := map[string][]lessor.LeaseRequest{}
	for _, request := range requests {
		address := s.directory.Holder(request.Slot).Address
		byOwner[address] = append(byOwner[address], request)
	}
	for address, list := range byOwner {
		switch address {
		case "":
			s.failRequests(list)
		case s.self:
			s.grantLocal(list)
		default:
			s.requestRemote(address, list)
		}
	}
}

// failRequests reports failed lease requests to the lessee.
func (s *leaseLimiter) failRequests(requests []lessor.LeaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range requests {
		s.lessee.HandleFailure(s.now(), request)
		s.signal(request.Workspace)
	}
}

// grantLocal grants lease requests from the slots that this node owns.
func (s *leaseLimiter) grantLocal(requests []lessor.LeaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, request := range requests {
		s.lessee.HandleGrant(now, now, request, s.lessor.Grant(now, request, rand.Uint64))
		s.signal(request.Workspace)
	}
}

// requestRemote sends lease requests to another node in the background, or fails them if leaseExchangesMax exchanges are pending.
func (s *leaseLimiter) requestRemote(address string, requests []lessor.LeaseRequest) {
	select {
	case s.inFlight <- struct{}{}:
	default:
		s.failRequests(requests)
		return
	}
	s.group.Go(func() {
		defer func() { <-s.inFlight }()
		s.exchange(address, requests)
	})
}

// exchange sends lease requests to another node and applies its grants.
func (s *leaseLimiter) exchange(address string, requests []lessor.LeaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	sent := s.now()
	res, err := s.client(address).Draw(ctx, encodeLeaseRequests(requests))
	if err != nil || len(res.GetItems()) != len(requests) {
		s.failRequests(requests)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, item := range res.GetItems() {
		s.lessee.HandleGrant(s.now(), sent, requests[n], decodeGrant(item))
		s.signal(requests[n].Workspace)
	}
}

// signal wakes the requests that wait for tokens of the workspace; s.mu is held.
func (s *leaseLimiter) signal(workspace string) {
	if ch := s.signals[workspace]; ch != nil {
		close(ch)
		delete(s.signals, workspace)
	}
}
