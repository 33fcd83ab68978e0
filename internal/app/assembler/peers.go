package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
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

// The headers that mark messages between nodes, apart from forwarded requests.
const (
	headerRecord       = chivegauge.HeaderPrefix + "Record"
	headerTokenRequest = chivegauge.HeaderPrefix + "Draw"
	headerPoll         = chivegauge.HeaderPrefix + "Prove"
	headerCrashReport  = chivegauge.HeaderPrefix + "Blame"
)

// peerHandler handles the messages of other nodes: records, token requests, polls, crash reports, and requests for the
// backend server.
type peerHandler struct {
	records        registrar.Registrar
	clusterLimiter clusterlimiter.ClusterLimiter
	config         syncer.Syncer
	crashTracker   crashtracker.CrashTracker
	ready          func() bool
	receiver       *transporter.Receiver
}

// Handle handles a message of another node, or runs a request on the backend server.
func (h *peerHandler) Handle(ctx context.Context, r *streamer.Request) *streamer.Response {
	var err error
	out := any(struct{}{})
	switch {
	case transporter.Forwarded(r.Header):
		return h.receiver.Handle(ctx, r)
	case r.Header.Get(headerRecord) != "":
		err = h.mergeRecord(r)
	case r.Header.Get(headerTokenRequest) != "":
		out, err = h.grantTokens(ctx, r)
	case r.Header.Get(headerPoll) != "":
		out, err = h.answerPoll(ctx, r)
	case r.Header.Get(headerCrashReport) != "":
		err = h.mergeCrashes(r)
	default:
		return h.receiver.Handle(ctx, r)
	}
	if err != nil {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeNotReady, err.Error()))
	}
	return newResponse(out)
}

func newResponse(out any) *streamer.Response {
	b, err := json.Marshal(out)
	if err != nil {
		return streamer.RefusalResponse(chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()))
	}
	res := &streamer.Response{
		Status: http.StatusOK,
		Header: http.Header{},
	}
	res.SetBody(b)
	return res
}

// messageMaxBytes is the maximum size of a message between nodes or of the response to one, of which the largest holds a
// configuration.
const messageMaxBytes = 8 << 20

// readMessage returns the whole message, or an error if it is too large.
func readMessage(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, messageMaxBytes+1))
	if err == nil && len(b) > messageMaxBytes {
		err = errors.New("the message is too large")
	}
	return b, err
}

// decode returns the message in the body of the request, or an error that names what was expected.
func decode[T any](r *streamer.Request, what string) (T, error) {
	var message T
	if r.Body == nil {
		return message, errors.Errorf("the %s has no body", what)
	}
	b, err := readMessage(r.Body)
	if err != nil {
		return message, errors.Wrap(err, "read "+what)
	}
	if err := json.Unmarshal(b, &message); err != nil {
		return message, errors.Wrap(err, "decode "+what)
	}
	return message, nil
}

func (h *peerHandler) mergeRecord(r *streamer.Request) error {
	rec, err := decode[registrar.Record](r, "record")
	if err != nil {
		return err
	}
	h.records.Merge(rec)
	h.clusterLimiter.MarkReachable(rec.Member.Address)
	return nil
}

func (h *peerHandler) grantTokens(ctx context.Context, r *streamer.Request) (clusterlimiter.Grant, error) {
	req, err := decode[clusterlimiter.TokenRequest](r, "draw")
	if err != nil {
		return clusterlimiter.Grant{}, err
	}
	if !h.ready() {
		return clusterlimiter.Grant{}, clusterlimiter.ErrNotServing
	}
	return h.clusterLimiter.Grant(ctx, req), nil
}

// pollRequest is the encoding of a poll; an earlier program sends no age, and then gets the response after its wait
// unless the version changes.
type pollRequest struct {
	KnownVersion uint64 `json:"Have"`
	KnownAge     time.Duration
	Wait         time.Duration
}

func (h *peerHandler) answerPoll(ctx context.Context, r *streamer.Request) (syncer.Snapshot, error) {
	q, err := decode[pollRequest](r, "question")
	if err != nil {
		return syncer.Snapshot{}, err
	}
	return h.config.AnswerPoll(ctx, syncer.Poll(q)), nil
}

func (h *peerHandler) mergeCrashes(r *streamer.Request) error {
	report, err := decode[crashtracker.CrashReport](r, "deaths")
	if err != nil {
		return err
	}
	h.crashTracker.Merge(time.Now(), report)
	return nil
}

// peerClient sends records, token requests, polls and crash reports to other nodes.
type peerClient struct {
	peers *connector.Pool
}

func newPeerClient() *peerClient {
	return &peerClient{
		peers: connector.NewPool(connector.Config{
			DialTimeout:     dialTimeout,
			AckTimeout:      peerAckTimeout,
			IdleTimeout:     peerIdleTimeout,
			BodyBufferBytes: bodyBufferBytes,
		}),
	}
}

// Notify sends the record to the member.
func (c *peerClient) Notify(ctx context.Context, m chivegauge.Member, rec registrar.Record) error {
	return c.send(ctx, m, headerRecord, rec, nil)
}

// RequestTokens requests tokens from the member, and returns the tokens that it grants.
func (c *peerClient) RequestTokens(ctx context.Context, m chivegauge.Member, req clusterlimiter.TokenRequest) (clusterlimiter.Grant, error) {
	grant := clusterlimiter.Grant{}
	return grant, c.send(ctx, m, headerTokenRequest, req, &grant)
}

// Poll returns the snapshot of the member as soon as it is newer than what is known, or after the wait.
func (c *peerClient) Poll(ctx context.Context, m chivegauge.Member, p syncer.Poll) (syncer.Snapshot, error) {
	snapshot := syncer.Snapshot{}
	return snapshot, c.send(ctx, m, headerPoll, pollRequest(p), &snapshot)
}

// NotifyCrashes sends the report of backend server crashes to the member.
func (c *peerClient) NotifyCrashes(ctx context.Context, m chivegauge.Member, report crashtracker.CrashReport) error {
	return c.send(ctx, m, headerCrashReport, report, nil)
}

// send sends a message and decodes the response into out, unless out is nil.
func (c *peerClient) send(ctx context.Context, m chivegauge.Member, header string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	res, err := c.peers.Get(m.Address).Exchange(ctx, &streamer.Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   m.Address,
		Header: http.Header{
			header: {"1"},
		},
		Body:   bytes.NewReader(b),
		Length: int64(len(b)),
	})
	if err != nil {
		return err
	}
	defer res.Release()
	if res.Status != http.StatusOK {
		return errors.Errorf("node %s answered with status %d", m.Address, res.Status)
	}
	if out == nil {
		return nil
	}
	answer, err := readMessage(res.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}
