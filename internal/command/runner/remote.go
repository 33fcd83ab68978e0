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

// remoteOptions are the options of commands that call a node: its address, the credential and the output format.
type remoteOptions struct {
	Node      string `long:"node" default:"http://127.0.0.1:7704" description:"URL of a node's operator listener" env:"CHIVEGAUGE_NODE"`
	TokenFile string `long:"token-file" description:"file that holds the operator's credential" env:"CHIVEGAUGE_TOKEN_FILE"`
	Output    string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`

	env *environment
}

// call sends in as a request to the node's operator listener and decodes the response into out.
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
		return errors.Wrap(err, "send request to the node")
	}
	defer func() { _ = res.Body.Close() }()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read the node's response")
	}
	if res.StatusCode != http.StatusOK {
		return faultError(res.StatusCode, response)
	}
	if err := json.Unmarshal(response, out); err != nil {
		return errors.Wrap(err, "decode the node's response")
	}
	return nil
}

// authorize adds the credential in the token file, if one is named, to the request.
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

// faultError returns the error of a response with a status other than 200, with the exit code of its fault.
func faultError(status int, response []byte) error {
	f := operator.Fault{}
	if err := json.Unmarshal(response, &f); err != nil || f.Code == "" {
		return errors.Errorf("the node responded with status %d", status)
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

// print writes v as JSON or calls table to write it as rows, depending on the output format.
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

// row writes the cells as one row of a table.
func row(w io.Writer, cells ...any) {
	for n, c := range cells {
		if n > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
