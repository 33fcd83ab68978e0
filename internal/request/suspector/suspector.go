package suspector

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/rs/zerolog"
)

const (
	// deathsMax is the number of deaths from which a request is refused: requests that ran beside it seldom share three,
	// and are cleared when one of their kind survives.
	deathsMax = 3

	// tellFrom is the number of deaths from which the nodes tell each other that a request survived.
	tellFrom = deathsMax - 1

	// episode is the time in which further deaths are not counted: backend servers that end together for another cause
	// die once for all requests that they ran.
	episode = time.Second

	// retention is how long deaths count.
	retention = 5 * time.Minute

	// recordsMax bounds the requests that are remembered, a few hundred for each backend server that dies.
	recordsMax = 20000

	// tellPause is how long news waits for more, tellTime bounds one message.
	tellPause = 100 * time.Millisecond
	tellTime  = 400 * time.Millisecond
)

// News is what nodes tell each other: the deaths counted against requests by fingerprint, and requests that survived.
type News struct {
	// From is the address of a node that wants to hear of more deaths than it knows.
	From string `json:",omitempty"`

	Deaths   map[uint64]int `json:",omitempty"`
	Survived []uint64       `json:",omitempty"`
}

// Members are the nodes that are alive.
type Members interface {
	Self() chivegauge.Member
	Alive() []chivegauge.Member
}

// Teller sends news to another node.
type Teller interface {
	Suspect(ctx context.Context, m chivegauge.Member, n News) error
}

// Suspector remembers the requests under which backend servers died.
type Suspector interface {
	// Refuses reports whether a request of the fingerprint must not run.
	Refuses(now time.Time, fingerprint uint64) bool
	// Empty reports whether nothing is remembered, so that no fingerprint needs to be made.
	Empty() bool
	// Died counts the death of a backend server against the requests that it ran.
	Died(now time.Time, fingerprints []uint64)
	// Survived clears a request that ran to its end.
	Survived(fingerprint uint64)
	// Learn takes in the news of another node.
	Learn(now time.Time, n News)
	// Serve tells the other nodes what they must know until the context ends.
	Serve(ctx context.Context) error
}

// record is the deaths that count against a request.
type record struct {
	deaths int
	last   time.Time
}

type suspector struct {
	members Members
	teller  Teller
	log     zerolog.Logger
	wake    chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	records map[uint64]record
	news    News
}

// New returns a suspector that remembers nothing.
func New(m Members, t Teller, log zerolog.Logger) Suspector {
	return &suspector{
		members: m,
		teller:  t,
		log:     log,
		wake:    make(chan struct{}, 1),
		records: map[uint64]record{},
	}
}

// Empty reports whether nothing is remembered.
func (s *suspector) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records) == 0
}

// Refuses reports whether a request of the fingerprint must not run.
func (s *suspector) Refuses(now time.Time, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[fingerprint]
	if ok && now.Sub(r.last) > retention {
		delete(s.records, fingerprint)
		return false
	}
	return r.deaths >= deathsMax
}

// Died counts a death against the requests, unless one was counted within the episode.
func (s *suspector) Died(now time.Time, fingerprints []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range fingerprints {
		r, ok := s.records[f]
		if ok && now.Sub(r.last) < episode {
			continue
		}
		s.keep(now, f, r.deaths+1)
		if s.news.Deaths == nil {
			s.news.Deaths = map[uint64]int{}
		}
		s.news.Deaths[f] = r.deaths + 1
	}
	s.tell()
}

// keep remembers the deaths; s.mu is held.
func (s *suspector) keep(now time.Time, f uint64, deaths int) {
	if len(s.records) >= recordsMax {
		s.evict(now)
	}
	s.records[f] = record{
		deaths: deaths,
		last:   now,
	}
	if deaths == deathsMax {
		s.log.Warn().Uint64("Fingerprint", f).Int("Deaths", deaths).Msg("request refused from now on; backend servers died while they ran it")
	}
}

// evict forgets what counts no more, or else any request that is not refused; s.mu is held.
func (s *suspector) evict(now time.Time) {
	for f, r := range s.records {
		if now.Sub(r.last) > retention {
			delete(s.records, f)
		}
	}
	for f, r := range s.records {
		if len(s.records) < recordsMax {
			return
		}
		if r.deaths < deathsMax {
			delete(s.records, f)
		}
	}
}

// Survived clears a request; the other nodes are told if they are about to refuse it.
func (s *suspector) Survived(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[fingerprint]
	if !ok {
		return
	}
	delete(s.records, fingerprint)
	if r.deaths >= tellFrom {
		s.news.Survived = append(s.news.Survived, fingerprint)
		s.tell()
	}
}

// Learn takes in the news of another node; one that knows of fewer deaths, as after its start, is told.
func (s *suspector) Learn(now time.Time, n News) {
	if more := s.learn(now, n); len(more) > 0 && n.From != "" {
		s.group.Go(func() {
			s.send(context.Background(), chivegauge.Member{
				Address: n.From,
			}, News{
				Deaths: more,
			})
		})
	}
}

// learn returns the requests against which more deaths are known here.
func (s *suspector) learn(now time.Time, n News) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	more := map[uint64]int{}
	for f, deaths := range n.Deaths {
		known := s.records[f].deaths
		if deaths > known {
			s.keep(now, f, deaths)
		} else if deaths < known {
			more[f] = known
		}
	}
	for _, f := range n.Survived {
		delete(s.records, f)
	}
	return more
}

// tell wakes Serve; s.mu is held.
func (s *suspector) tell() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve sends news in batches.
func (s *suspector) Serve(ctx context.Context) error {
	defer s.group.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tellPause):
		}
		s.mu.Lock()
		n := s.news
		s.news = News{}
		s.mu.Unlock()
		s.spread(ctx, n)
	}
}

// spread sends the news to each other node; one that misses it learns the count with the next death.
func (s *suspector) spread(ctx context.Context, n News) {
	self := s.members.Self().Address
	n.From = self
	for _, m := range s.members.Alive() {
		if m.Address == self {
			continue
		}
		s.group.Go(func() { s.send(ctx, m, n) })
	}
}

func (s *suspector) send(ctx context.Context, m chivegauge.Member, n News) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	if err := s.teller.Suspect(ctx, m, n); err != nil {
		s.log.Debug().Err(err).Str("Member", m.Address).Msg("node not told of deaths of backend servers")
	}
}
