package storer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/standin/storeserver"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestVersionsOfAnEarlierEra guards against a version that stands for another change after the store has come back from an
// older copy: a watch from it misses changes, and a write on it replaces what it does not know.
func TestVersionsOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	standIn := storeserver.New("")
	server := httptest.NewServer(standIn)
	defer server.Close()
	newStore := func() storer.Store { return storer.New(server.URL, time.Second, 50*time.Millisecond) }
	s, unaware := newStore(), newStore()
	put := func(value string, version uint64) storer.Object {
		o, err := s.Put(t.Context(), "key", []byte(value), version)
		is.NoErr(err)
		return o
	}
	first := put("first", 0)
	saved := standIn.Copy()
	lost := put("lost", first.Version)
	_, err := unaware.Get(t.Context(), "key")
	is.NoErr(err)
	standIn.ComeBack(saved)
	again, err := s.Get(t.Context(), "key")
	is.NoErr(err)
	is.Equal(string(again.Value), "first")
	is.True(again.Version > lost.Version)
	next := put("next", again.Version) // has the number of the lost change
	is.True(next.Version > again.Version)

	_, err = unaware.Watch(t.Context(), "key", lost.Version)
	is.True(errors.Is(err, storer.ErrReturned))
	_, err = s.Put(t.Context(), "key", []byte("on the lost one"), lost.Version)
	is.True(errors.Is(err, storer.ErrConflict))
	_, err = newStore().Put(t.Context(), "key", []byte("on the lost one, era not seen"), lost.Version)
	is.True(errors.Is(err, storer.ErrConflict))
	o, err := s.Watch(t.Context(), "key", again.Version)
	is.NoErr(err)
	is.Equal(string(o.Value), "next")
	_, err = s.Watch(t.Context(), "key", next.Version)
	is.True(errors.Is(err, storer.ErrNotFound))
}

// TestOddEras checks that no value of the header makes a call fail but one of an earlier era, and that versions of the same
// era keep their order.
func TestOddEras(t *testing.T) {
	tests := map[string]struct {
		eras   []string
		failed []bool
	}{
		"rises":          {eras: []string{"1", "2"}, failed: []bool{false, false}},
		"jumps":          {eras: []string{"1", "16777215"}, failed: []bool{false, false}},
		"missing":        {eras: []string{"", ""}, failed: []bool{false, false}},
		"missing in one": {eras: []string{"2", "", "2"}, failed: []bool{false, false, false}},
		"no number":      {eras: []string{"2", "x", "-1", "16777216", "1e9"}, failed: []bool{false, false, false, false, false}},
		"late":           {eras: []string{"2", "1", "2"}, failed: []bool{false, true, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Version", "7")
				w.Header().Set("Era", tt.eras[call])
				call++
			}))
			defer server.Close()
			s := storer.New(server.URL, time.Second, 0)
			last := uint64(0)
			for _, failed := range tt.failed {
				o, err := s.Get(t.Context(), "key")
				is.Equal(err != nil, failed)
				is.True(failed || o.Version >= last)
				last = max(last, o.Version)
			}
		})
	}
}
