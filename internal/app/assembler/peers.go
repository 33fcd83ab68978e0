package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/courier"
	"github.com/go-faster/errors"
)

// headerRecord marks a message between nodes that carries a record.
const headerRecord = chivegauge.HeaderPrefix + "Record"

// peers answers what other nodes send: records, and requests for the backend server.
type peers struct {
	records  registrar.Registrar
	receiver *courier.Receiver
}

// Handle takes in a record or runs a request.
func (p *peers) Handle(ctx context.Context, r *carrier.Request) *carrier.Answer {
	if r.Header.Get(headerRecord) == "" {
		return p.receiver.Handle(ctx, r)
	}
	if err := p.learn(r); err != nil {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	return &carrier.Answer{
		Status: http.StatusNoContent,
		Header: http.Header{},
	}
}

func (p *peers) learn(r *carrier.Request) error {
	rec := registrar.Record{}
	if err := json.NewDecoder(r.Body).Decode(&rec); err != nil {
		return errors.Wrap(err, "decode record")
	}
	p.records.Learn(rec)
	return nil
}

// teller sends records to other nodes.
type teller struct {
	mu    sync.Mutex
	peers map[string]connector.Connector
}

func newTeller() *teller {
	return &teller{
		peers: map[string]connector.Connector{},
	}
}

func (t *teller) peer(address string) connector.Connector {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = connector.New(connector.Config{
			Address:     address,
			DialTimeout: dialTimeout,
			Silence:     peerSilence,
			KeepFor:     time.Second,
			HoldBytes:   holdBytes,
		})
		t.peers[address] = p
	}
	return p
}

// Tell sends the record to the member.
func (t *teller) Tell(ctx context.Context, m chivegauge.Member, rec registrar.Record) error {
	b, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	a, err := t.peer(m.Address).Exchange(ctx, &carrier.Request{
		Method: http.MethodPost,
		Target: "/record",
		Host:   m.Address,
		Header: http.Header{
			headerRecord: {"1"},
		},
		Body:   bytes.NewReader(b),
		Length: int64(len(b)),
	})
	if err != nil {
		return err
	}
	a.Release()
	return nil
}
