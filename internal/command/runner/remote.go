package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chivegauge/chivegauge/internal/listener/operator"
	"github.com/go-faster/errors"
)

const callTimeout = 30 * time.Second

// remoteOptions say which node to ask, with which credential.
type remoteOptions struct {
	Node      string `long:"node" default:"http://127.0.0.1:7704" description:"URL of a node's operator listener" env:"CHIVEGAUGE_NODE"`
	TokenFile string `long:"token-file" description:"file that holds the operator's credential" env:"CHIVEGAUGE_TOKEN_FILE"`
	Output    string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`

	env *environment
}

// call sends a request to the node and decodes its answer into out.
func (o *remoteOptions) call(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, o.Node+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if err := o.authorize(req); err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask the node")
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read the node's answer")
	}
	if res.StatusCode != http.StatusOK {
		return faultError(res.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errors.Wrap(err, "decode the node's answer")
	}
	return nil
}

func (o *remoteOptions) authorize(req *http.Request) error {
	if o.TokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return errors.Wrap(err, "read credential")
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return nil
}

func faultError(status int, answer []byte) error {
	f := operator.Fault{}
	if err := json.Unmarshal(answer, &f); err != nil || f.Code == "" {
		return errors.Errorf("the node answered with status %d", status)
	}
	code := ExitFailed
	switch f.Code {
	case operator.FaultStale:
		code = ExitStale
	case operator.FaultUnknown:
		code = ExitUnknown
	case operator.FaultCredential:
		code = ExitRefused
	}
	return &exitError{
		code: code,
		err:  errors.Errorf("%s: %s", f.Code, f.Message),
	}
}

// print writes v as JSON, or lets table write its rows.
func (o *remoteOptions) print(v any, table func(w io.Writer)) error {
	if o.Output == "json" {
		enc := json.NewEncoder(o.env.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(o.env.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w io.Writer, cells ...any) {
	for n, c := range cells {
		if n > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
