package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/operator"

	"github.com/cockroachdb/errors"
)

// maxReplyBytes is the limit for one reply, 64 MiB. The status of a fleet at the
// target scale takes a few megabytes.
const maxReplyBytes = 64 << 20

// tokenVariable is the environment variable for the bearer token. No option takes
// the token itself, because other users of the machine can see a process's
// arguments.
const tokenVariable = "ALMONDSTILE_TOKEN"

// globalOptions are the options of all commands, with the streams that the
// commands read from and write to.
type globalOptions struct {
	OperatorURL string        `long:"operator-url" env:"ALMONDSTILE_OPERATOR_URL" default:"http://127.0.0.1:8083" description:"URL of a VM's operators' listener"`
	TokenFile   string        `long:"token-file" env:"ALMONDSTILE_TOKEN_FILE" description:"file with the bearer token; without it the variable ALMONDSTILE_TOKEN is used"`
	Timeout     time.Duration `long:"timeout" default:"20s" description:"time limit of one call"`
	JSON        bool          `long:"json" description:"print JSON"`

	stdin  io.Reader
	stdout io.Writer
}

func (g *globalOptions) printJSON(value any) error {
	encoder := json.NewEncoder(g.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// apiError is an error that the API returned in the body of a reply.
type apiError struct {
	status int
	detail operator.ErrorDetail
}

func (e *apiError) Error() string { return e.detail.Message }

// errNoReply marks errors after which the VM may have executed the request: it was
// possibly sent, but no complete and readable reply was received.
var errNoReply = errors.New("no complete reply from the VM")

// token returns the bearer token from --token-file or, without that option, from
// the environment. It returns a usage error if there is none.
func (g *globalOptions) token() (string, error) {
	if g.TokenFile == "" {
		if token := os.Getenv(tokenVariable); token != "" {
			return token, nil
		}
		return "", usageError("a token is needed: set --token-file or %s", tokenVariable)
	}
	data, err := os.ReadFile(g.TokenFile)
	if err != nil {
		return "", usageError("--token-file: %v", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// call sends one request and decodes the reply into result. It returns an apiError
// if the API reports an error, and an error marked with errNoReply if the VM may
// have executed the request without a complete reply.
func (g *globalOptions) call(method, path, contentType string, body []byte, result any) error {
	token, err := g.token()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(g.OperatorURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return usageError("--operator-url: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	client := http.Client{Transport: transportFor(request)}
	reply, err := client.Do(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return err // no connection, so nothing was sent
		}
		return errors.Mark(err, errNoReply)
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return errors.Mark(err, errNoReply)
	}
	return decodeReply(reply.StatusCode, data, result)
}

// transportFor returns a transport that rejects malformed replies, or, if the environment
// names a proxy for the request, the default one, which supports proxies.
func transportFor(request *http.Request) http.RoundTripper {
	if proxy, err := http.ProxyFromEnvironment(request); proxy != nil || err != nil {
		return http.DefaultTransport
	}
	transport := httpconn.NewTransport(&net.Dialer{})
	transport.DisableKeepAlives = true
	return transport
}

// decodeReply decodes the body of a reply into result or into an apiError. A body
// that can't be decoded, and a status that the API does not use, count as no reply.
func decodeReply(status int, data []byte, result any) error {
	if status < 200 || status > 599 {
		return errors.Mark(errors.Newf("HTTP status %03d", status), errNoReply)
	}
	if status < 300 {
		return errors.Mark(errors.Wrap(json.Unmarshal(data, result), "decoding the reply"), errNoReply)
	}
	var body operator.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return errors.Mark(errors.Newf("HTTP status %d without an error body", status), errNoReply)
	}
	return &apiError{status, body.Error}
}

// plan has the VM make a plan from an encoded intent.
func (g *globalOptions) plan(contentType string, body []byte) (configstore.StoredPlan, error) {
	var plan configstore.StoredPlan
	return plan, g.call(http.MethodPost, "/v1/plans", contentType, body, &plan)
}

func (g *globalOptions) planIntent(intent contract.Intent) (configstore.StoredPlan, error) {
	body, err := json.Marshal(intent)
	if err != nil {
		return configstore.StoredPlan{}, err
	}
	return g.plan("application/json", body)
}

// confirm confirms a plan. It returns an ExitError with ExitOutcomeUnknown if there
// is no complete reply, or if the API reports an internal error or an unknown
// outcome.
func (g *globalOptions) confirm(id string) (configstore.Outcome, error) {
	var outcome configstore.Outcome
	err := g.call(http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/confirm", "", nil, &outcome)
	var api *apiError
	outcomeUnknown := errors.Is(err, errNoReply) || errors.As(err, &api) &&
		(api.detail.Code == operator.CodeOutcomeUnknown || api.detail.Code == operator.CodeInternal)
	if outcomeUnknown {
		err = &ExitError{ExitOutcomeUnknown, errors.Wrapf(err, "outcome unknown, ask again with \"almondstile confirm %s\"", id)}
	}
	return outcome, err
}

func (g *globalOptions) status() (operator.Status, error) {
	var status operator.Status
	return status, g.call(http.MethodGet, "/v1/status", "", nil, &status)
}

// errorBody returns an error in the form of the API's error bodies, for output as
// JSON.
func errorBody(err error) operator.ErrorBody {
	var api *apiError
	if errors.As(err, &api) {
		return operator.ErrorBody{Error: api.detail}
	}
	detail := operator.ErrorDetail{Code: operator.CodeInternal, Message: err.Error()}
	var exit *ExitError
	if errors.As(err, &exit) && exit.Code == ExitOutcomeUnknown {
		detail.Code = operator.CodeOutcomeUnknown
	}
	return operator.ErrorBody{Error: detail}
}

// describeError returns the text of an error for the terminal. For an apiError it
// includes the code and at most maxLines faults.
func describeError(err error) string {
	var api *apiError
	if !errors.As(err, &api) {
		return err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s)", err.Error(), api.detail.Code)
	for i, fault := range api.detail.Faults {
		if i == maxLines {
			fmt.Fprintf(&b, "\n  and %d more faults; --json lists all", len(api.detail.Faults)-maxLines)
			break
		}
		fmt.Fprintf(&b, "\n  %s", fault)
	}
	return b.String()
}
