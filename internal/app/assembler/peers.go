package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/request/clusterlimiter"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/chivegauge/chivegauge/internal/stream/transporter"
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
	drawer   clusterlimiter.ClusterLimiter
	config   syncer.Syncer
	suspects crashtracker.CrashTracker
	ready    func() bool
	receiver *transporter.Receiver
}

// Handle takes in a record, hands out tokens or runs a request.
func (p *peers) Handle(ctx context.Context, r *streamer.Request) *streamer.Response {
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
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeNotReady, err.Error()))
	}
	return reply(out)
}

func reply(out any) *streamer.Response {
	b, err := json.Marshal(out)
	if err != nil {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	a := &streamer.Response{
		Status: http.StatusOK,
		Header: http.Header{},
	}
	a.SetBody(b)
	return a
}

// decode returns the message in the body of the request.
func decode[T any](r *streamer.Request, what string) (T, error) {
	var message T
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		return message, errors.Wrap(err, "decode "+what)
	}
	return message, nil
}

func (p *peers) learn(r *streamer.Request) error {
	rec, err := decode[registrar.Record](r, "record")
	if err != nil {
		return err
	}
	p.records.Merge(rec)
	p.drawer.MarkReachable(rec.Member.Address)
	return nil
}

func (p *peers) give(ctx context.Context, r *streamer.Request) (clusterlimiter.Grant, error) {
	d, err := decode[clusterlimiter.TokenRequest](r, "draw")
	if err != nil {
		return clusterlimiter.Grant{}, err
	}
	if !p.ready() {
		return clusterlimiter.Grant{}, clusterlimiter.ErrNotServing
	}
	return p.drawer.Grant(ctx, d), nil
}

// question asks what a node has in force.
type question struct {
	Have uint64
	Wait time.Duration
}

func (p *peers) prove(ctx context.Context, r *streamer.Request) (syncer.Snapshot, error) {
	q, err := decode[question](r, "question")
	if err != nil {
		return syncer.Snapshot{}, err
	}
	return p.config.AnswerPoll(ctx, q.Have, q.Wait), nil
}

func (p *peers) blame(r *streamer.Request) error {
	n, err := decode[crashtracker.CrashReport](r, "deaths")
	if err != nil {
		return err
	}
	p.suspects.Merge(time.Now(), n)
	return nil
}

// teller sends records, draws and news to other nodes.
type teller struct {
	peers *connector.Pool
}

func newTeller() *teller {
	return &teller{
		peers: connector.NewPool(connector.Config{
			DialTimeout:     dialTimeout,
			AckTimeout:      peerSilence,
			IdleTimeout:     peerKeep,
			BodyBufferBytes: holdBytes,
		}),
	}
}

// Notify sends the record to the member.
func (t *teller) Notify(ctx context.Context, m chivegauge.Member, rec registrar.Record) error {
	return t.send(ctx, m, headerRecord, rec, nil)
}

// RequestTokens asks the member for tokens.
func (t *teller) RequestTokens(ctx context.Context, m chivegauge.Member, d clusterlimiter.TokenRequest) (clusterlimiter.Grant, error) {
	g := clusterlimiter.Grant{}
	return g, t.send(ctx, m, headerDraw, d, &g)
}

// Poll asks the member what it has in force.
func (t *teller) Poll(ctx context.Context, m chivegauge.Member, have uint64, wait time.Duration) (syncer.Snapshot, error) {
	q := question{
		Have: have,
		Wait: wait,
	}
	p := syncer.Snapshot{}
	return p, t.send(ctx, m, headerProve, q, &p)
}

// NotifyCrashes tells the member of deaths of backend servers.
func (t *teller) NotifyCrashes(ctx context.Context, m chivegauge.Member, n crashtracker.CrashReport) error {
	return t.send(ctx, m, headerBlame, n, nil)
}

// send sends a message and decodes the answer into out, if there is one.
func (t *teller) send(ctx context.Context, m chivegauge.Member, mark string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a, err := t.peers.Get(m.Address).Exchange(ctx, &streamer.Request{
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
