package rater

import (
	"context"
	"math/rand/v2"

	"github.com/chivegauge/chivegauge/internal/policy/keeper"
)

// send carries draws to the keepers of their slots, one message a keeper.
func (s *shares) send(draws []keeper.Draw) {
	byKeeper := map[string][]keeper.Draw{}
	for _, d := range draws {
		address := s.keepers.Holder(d.Slot).Address
		byKeeper[address] = append(byKeeper[address], d)
	}
	for address, list := range byKeeper {
		switch address {
		case "":
			s.fail(list)
		case s.self:
			s.local(list)
		default:
			s.remote(address, list)
		}
	}
}

func (s *shares) fail(list []keeper.Draw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range list {
		s.holder.Failed(s.now(), d)
		s.tell(d.Workspace)
	}
}

func (s *shares) local(list []keeper.Draw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, d := range list {
		s.holder.Granted(now, now, d, s.keeper.Draw(now, d, rand.Uint64))
		s.tell(d.Workspace)
	}
}

// remote asks another node, unless too many questions are under way.
func (s *shares) remote(address string, list []keeper.Draw) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.fail(list)
		return
	}
	s.group.Go(func() {
		defer func() { <-s.slots }()
		s.ask(address, list)
	})
}

func (s *shares) ask(address string, list []keeper.Draw) {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	sent := s.now()
	res, err := s.control(address).Draw(ctx, encodeDraws(list))
	if err != nil || len(res.GetItems()) != len(list) {
		s.fail(list)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, item := range res.GetItems() {
		s.holder.Granted(s.now(), sent, list[n], decodeGrant(item))
		s.tell(list[n].Workspace)
	}
}

// tell wakes the requests that wait for tokens of the workspace; s.mu is held.
func (s *shares) tell(workspace string) {
	if ch := s.news[workspace]; ch != nil {
		close(ch)
		delete(s.news, workspace)
	}
}
