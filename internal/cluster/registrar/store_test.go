package registrar_test

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/go-faster/errors"
)

// store holds records; its calls fail while it is down.
type store struct {
	mu      sync.Mutex
	down    bool
	era     uint64
	gets    int
	writes  int
	records map[string]registrar.Record
}

func (s *store) List(context.Context, bool) (registrar.View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return registrar.View{}, errors.New("down")
	}
	return registrar.View{
		Era:     s.era,
		Records: slices.Collect(maps.Values(s.records)),
	}, nil
}

func (s *store) Get(ctx context.Context, address string) (registrar.View, error) {
	view, err := s.List(ctx, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	view.Records = slices.DeleteFunc(view.Records, func(r registrar.Record) bool { return r.Member.Address != address })
	return view, err
}

func (s *store) Put(_ context.Context, r registrar.Record) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errors.New("down")
	}
	s.writes++
	s.records[r.Member.Address] = r
	return s.era, nil
}

// stored returns the stored record of nodeA, or an empty one.
func (s *store) stored() registrar.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[nodeA]
}

func (s *store) Delete(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, address)
	return nil
}

func (s *store) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// comeBack makes the store continue in the next era, with the record of nodeA as it was in an older copy, or without
// it, and counts its calls anew.
func (s *store) comeBack(old *registrar.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.gets = 0
	s.writes = 0
	delete(s.records, nodeA)
	if old != nil {
		s.records[nodeA] = *old
	}
}

// calls returns the numbers of reads of one record and of writes since the store came back.
func (s *store) calls() (gets, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gets, s.writes
}
