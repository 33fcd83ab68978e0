package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/freshener"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/request/drawer"
	"github.com/chivegauge/chivegauge/internal/request/suspector"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/courier"
	"github.com/go-faster/errors"
)

// The headers that mark messages between nodes other than requests.
const (
	headerRecord = chivegauge.HeaderPrefix + "Record"
	headerDraw   = chivegauge.HeaderPrefix + "Draw"
	headerProve  = chivegauge.HeaderPrefix + "Prove"
	headerBlame  = chivegauge.HeaderPrefix + "Blame"
)

// peers answers what other nodes send: records, draws, and requests for the backend server.
type peers struct {
	records  registrar.Registrar
	drawer   drawer.Drawer
	config   freshener.Freshener
	suspects suspector.Suspector
	ready    func() bool
	receiver *courier.Receiver
}

// Handle takes in a record, hands out tokens or runs a request.
func (p *peers) Handle(ctx context.Context, r *carrier.Request) *carrier.Answer {
	var err error
	out := any(struct{}{})
	switch {
	case r.Header.Get(headerRecord) != "":
		err = p.learn(r)
	case r.Header.Get(headerDraw) != "":
		out, err = p.give(ctx, r)
	case r.Header.Get(headerProve) != "":
		out, err = p.prove(ctx, r)
	case r.Header.Get(headerBlame) != "":
		err = p.blame(r)
	default:
		return p.receiver.Handle(ctx, r)
	}
	if err != nil {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeNotReady, err.Error()))
	}
	return reply(out)
}

func reply(out any) *carrier.Answer {
	b, err := json.Marshal(out)
	if err != nil {
		return carrier.Refusal(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	a := &carrier.Answer{
		Status: http.StatusOK,
		Header: http.Header{},
	}
	a.Hold(b)
	return a
}

// decode returns the message in the body of the request.
func decode[T any](r *carrier.Request, what string) (T, error) {
	var message T
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		return message, errors.Wrap(err, "decode "+what)
	}
	return message, nil
}

func (p *peers) learn(r *carrier.Request) error {
	rec, err := decode[registrar.Record](r, "record")
	if err != nil {
		return err
	}
	p.records.Learn(rec)
	p.drawer.Regained(rec.Member.Address)
	return nil
}

func (p *peers) give(ctx context.Context, r *carrier.Request) (drawer.Grant, error) {
	d, err := decode[drawer.Draw](r, "draw")
	if err != nil {
		return drawer.Grant{}, err
	}
	if !p.ready() {
		return drawer.Grant{}, drawer.ErrNotServing
	}
	return p.drawer.Give(ctx, d), nil
}

// question asks what a node has in force.
type question struct {
	Have uint64
	Wait time.Duration
}

func (p *peers) prove(ctx context.Context, r *carrier.Request) (freshener.Proof, error) {
	q, err := decode[question](r, "question")
	if err != nil {
		return freshener.Proof{}, err
	}
	return p.config.Tell(ctx, q.Have, q.Wait), nil
}

func (p *peers) blame(r *carrier.Request) error {
	n, err := decode[suspector.News](r, "deaths")
	if err != nil {
		return err
	}
	p.suspects.Learn(time.Now(), n)
	return nil
}

// teller sends records, draws and news to other nodes.
type teller struct {
	peers *connector.Pool
}

func newTeller() *teller {
	return &teller{
		peers: connector.NewPool(connector.Config{
			DialTimeout: dialTimeout,
			Silence:     peerSilence,
			KeepFor:     peerKeep,
			HoldBytes:   holdBytes,
		}),
	}
}

// Tell sends the record to the member.
func (t *teller) Tell(ctx context.Context, m chivegauge.Member, rec registrar.Record) error {
	return t.send(ctx, m, headerRecord, rec, nil)
}

// Draw asks the member for tokens.
func (t *teller) Draw(ctx context.Context, m chivegauge.Member, d drawer.Draw) (drawer.Grant, error) {
	g := drawer.Grant{}
	return g, t.send(ctx, m, headerDraw, d, &g)
}

// Prove asks the member what it has in force.
func (t *teller) Prove(ctx context.Context, m chivegauge.Member, have uint64, wait time.Duration) (freshener.Proof, error) {
	q := question{
		Have: have,
		Wait: wait,
	}
	p := freshener.Proof{}
	return p, t.send(ctx, m, headerProve, q, &p)
}

// Suspect tells the member of deaths of backend servers.
func (t *teller) Suspect(ctx context.Context, m chivegauge.Member, n suspector.News) error {
	return t.send(ctx, m, headerBlame, n, nil)
}

// send sends a message and decodes the answer into out, if there is one.
func (t *teller) send(ctx context.Context, m chivegauge.Member, mark string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a, err := t.peers.At(m.Address).Exchange(ctx, &carrier.Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   m.Address,
		Header: http.Header{
			mark: {"1"},
		},
		Body:   bytes.NewReader(b),
		Length: int64(len(b)),
	})
	if err != nil {
		return err
	}
	defer a.Release()
	if a.Status != http.StatusOK {
		return errors.Errorf("node %s answered with status %d", m.Address, a.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(a.Body).Decode(out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
