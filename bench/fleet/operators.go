package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/shard"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// Paths on the operators' listener.
const (
	pathReady   = "/ready"
	pathMetrics = "/metrics.json"
	pathPlans   = "/v1/plans"
)

// ErrBaseChanged is returned if another operator's plan on the same base version
// was accepted first.
var ErrBaseChanged = errors.New("fleet: the base version changed")

const (
	pollInterval = 200 * time.Millisecond
	callTimeout  = 10 * time.Second
	pollTimeout  = time.Second
	// maxConcurrentCalls limits the concurrent calls to the operators' listeners.
	maxConcurrentCalls = 8
	// confirmAttempts limits the attempts to confirm a plan while the outcome
	// is unknown.
	confirmAttempts = 10
)

// Operator is a client of one VM's operators' listener.
type Operator struct {
	address string
	token   string
}

// Operator returns a client that calls a VM's operators' listener.
func (f *Fleet) Operator(id vm.ID) Operator { return Operator{f.Member(id).Operators, f.token()} }

// Plan submits an intent and returns the plan that the VM made for it.
func (o Operator) Plan(ctx context.Context, intent contract.Intent) (contract.Plan, error) {
	var stored configstore.StoredPlan
	err := o.call(ctx, callTimeout, http.MethodPost, pathPlans, intent, &stored)
	return stored.Plan, err
}

// Confirm confirms a plan. It retries after every error but a changed base
// version, for example while the outcome is unknown or the store is unavailable.
// A retry never applies the plan twice.
func (o Operator) Confirm(ctx context.Context, planID string) (configstore.Outcome, error) {
	var outcome configstore.Outcome
	var err error
	for range confirmAttempts {
		err = o.call(ctx, callTimeout, http.MethodPost, pathPlans+"/"+planID+"/confirm", nil, &outcome)
		var failed *callError
		switch {
		case err == nil:
			return outcome, nil
		case errors.As(err, &failed) && failed.code == operator.CodeBaseChanged:
			return outcome, ErrBaseChanged
		}
		if !wait.For(ctx, pollInterval) {
			break
		}
	}
	return outcome, errors.Wrapf(err, "confirm plan %s", planID)
}

// Change plans an intent and confirms the plan.
func (o Operator) Change(ctx context.Context, intent contract.Intent) (configstore.Outcome, error) {
	plan, err := o.Plan(ctx, intent)
	if err != nil {
		return configstore.Outcome{}, err
	}
	return o.Confirm(ctx, plan.ID)
}

// call sends one request. It decodes the body of a response with a status below
// 300 into result unless result is nil, and returns a callError for any other
// status.
func (o Operator) call(ctx context.Context, timeout time.Duration, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode a request to the operators' listener")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the operators' listener")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the operators' listener's response")
	}
	if resp.StatusCode >= 300 {
		var body operator.ErrorBody
		_ = json.Unmarshal(text, &body) // the body of /ready has another form
		return &callError{method + " " + path, resp.StatusCode, body.Error.Code, string(text)}
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode the operators' listener's response")
}

// callError is the error for a response with a status of 300 or above.
type callError struct {
	request string
	status  int
	code    operator.ErrorCode
	body    string
}

func (e *callError) Error() string {
	return fmt.Sprintf("operators' listener: %s: status %d: %.500s", e.request, e.status, e.body)
}

// gauges is the part of a VM's metrics that Versions reads. Versions does not use
// the status endpoint because a VM queries all others to answer it.
type gauges struct {
	ConfigurationVersion struct {
		Value uint64 `json:"value"`
	} `json:"configuration.version"`
}

// Versions returns the configuration version of each VM that has one and whose
// metrics can be read. A VM that has just started has none yet and accepts no
// requests.
func (f *Fleet) Versions(ctx context.Context) map[vm.ID]uint64 {
	return queryAll(f, func(id vm.ID) (uint64, bool) {
		var g gauges
		err := f.Operator(id).call(ctx, pollTimeout, http.MethodGet, pathMetrics, nil, &g)
		version := g.ConfigurationVersion.Value
		return version, err == nil && version > 0
	})
}

// Readiness reports for each VM whether it accepts callers' requests.
func (f *Fleet) Readiness(ctx context.Context) map[vm.ID]bool {
	return queryAll(f, func(id vm.ID) (bool, bool) {
		return f.Operator(id).call(ctx, pollTimeout, http.MethodGet, pathReady, nil, nil) == nil, true
	})
}

// queryAll calls fn for all VMs, maxConcurrentCalls at a time, and returns the
// results for which fn returns true.
func queryAll[V any](f *Fleet, fn func(id vm.ID) (V, bool)) map[vm.ID]V {
	var results shard.Map[vm.ID, V]
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, id := range f.ids {
		calls.Go(func() {
			if v, ok := fn(id); ok {
				results.Store(id, v)
			}
		})
	}
	calls.Wait()
	out := make(map[vm.ID]V)
	results.Range(func(id vm.ID, v V) bool { out[id] = v; return true })
	return out
}

// waitReady waits until all VMs accept requests.
func (f *Fleet) waitReady(ctx context.Context) error {
	return f.waitFor(ctx, "ready", func() int {
		ready := 0
		for _, isReady := range f.Readiness(ctx) {
			if isReady {
				ready++
			}
		}
		return ready
	})
}

// waitVersion waits until all VMs have the given configuration version or a
// later one.
func (f *Fleet) waitVersion(ctx context.Context, version uint64) error {
	return f.waitFor(ctx, "at the first configuration", func() int {
		current := 0
		for _, v := range f.Versions(ctx) {
			if v >= version {
				current++
			}
		}
		return current
	})
}

// waitFor polls count until it returns the number of all VMs. It fails if a VM's
// process ends or ctx is done. state describes the awaited state for the error.
func (f *Fleet) waitFor(ctx context.Context, state string, count func() int) error {
	n := 0
	for {
		if n = count(); n == len(f.ids) {
			return nil
		}
		for _, id := range f.ids {
			if f.Member(id).Process.Ended() {
				return errors.Newf("%s ended while starting; see its log", id)
			}
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "%d of %d VMs are %s", n, len(f.ids), state)
		}
	}
}
