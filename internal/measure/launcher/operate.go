package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/listener/operator"
	"github.com/go-faster/errors"
)

// Apply plans and confirms the intents through the operator listener of an instance.
func (f *Fleet) Apply(s *Instance, intents ...planner.Intent) error {
	p, err := f.Plan(s, intents...)
	if err != nil {
		return err
	}
	_, err = f.Confirm(s, p, "fleet")
	return err
}

// Plan plans the intents through the operator listener of an instance.
func (f *Fleet) Plan(s *Instance, intents ...planner.Intent) (planner.Plan, error) {
	p := planner.Plan{}
	req := operator.PlanRequest{
		Intents: intents,
	}
	return p, f.call(http.MethodPost, "http://"+s.Operator+"/plan", req, &p)
}

// Confirm confirms the plan in the name of an operator and returns the new revision.
func (f *Fleet) Confirm(s *Instance, p planner.Plan, name string) (uint64, error) {
	res := operator.ConfirmResponse{}
	req := operator.ConfirmRequest{
		Plan:     p,
		Operator: name,
	}
	return res.Revision, f.confirm(&res, req, s)
}

func (f *Fleet) confirm(res *operator.ConfirmResponse, req operator.ConfirmRequest, s *Instance) error {
	return f.call(http.MethodPost, "http://"+s.Operator+"/confirm", req, res)
}

// Status returns the status of the fleet from the operator listener of an instance.
func (f *Fleet) Status(s *Instance) (collector.Status, error) {
	st := collector.Status{}
	return st, f.call(http.MethodGet, "http://"+s.Operator+"/status", nil, &st)
}

// SetFault sets the simulated fault of the store.
func (f *Fleet) SetFault(fault any) error {
	return f.call(http.MethodPost, f.StoreURL+"/fault", fault, nil)
}

// call sends in as JSON and decodes the JSON response into out unless it is nil; it returns an error for a status other
// than 200.
func (f *Fleet) call(method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = res.Body.Close() }()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", url, res.StatusCode, response)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response, out); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// GetJSON decodes the JSON response of the URL.
func (f *Fleet) GetJSON(url string, out any) error {
	return f.call(http.MethodGet, url, nil, out)
}

// PostJSON sends a value to the URL as JSON.
func (f *Fleet) PostJSON(url string, in any) error {
	return f.call(http.MethodPost, url, in, nil)
}

// Metric returns the value of a metric of a node, summed over its labels, or an error if the node doesn't export it.
func (f *Fleet) Metric(s *Instance, name string) (float64, error) {
	res, err := http.Get("http://" + s.Operator + "/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	sum := 0.0
	found := false
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || (rest[0] != '{' && rest[0] != ' ') {
			continue
		}
		fields := strings.Fields(rest)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, errors.Wrapf(err, "parse metric %s", name)
		}
		sum += v
		found = true
	}
	if !found {
		return 0, errors.Errorf("node exports no metric %s", name)
	}
	return sum, nil
}

// WaitBalanced waits until the nodes own about the same number of rate slots; it returns an error after 20 s.
func (f *Fleet) WaitBalanced() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		lowest, highest, err := f.MetricRange("chivegauge_slots")
		if err != nil {
			return err
		}
		if highest-lowest <= slotImbalanceMax {
			return nil
		}
	}
	return errors.New("the rate slots were not balanced in time")
}

// MetricRange returns the lowest and the highest value of a metric among the nodes, or an error.
func (f *Fleet) MetricRange(name string) (lowest, highest float64, err error) {
	for n, s := range f.Instances {
		v, err := f.Metric(s, name)
		if err != nil {
			return 0, 0, err
		}
		if n == 0 {
			lowest = v
		}
		lowest = min(lowest, v)
		highest = max(highest, v)
	}
	return lowest, highest, nil
}
