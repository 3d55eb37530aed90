package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/logging"
	"almondstile/operator"
	"almondstile/settings"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

// fakeVM answers like the operators' API. confirm chooses the reply to a
// confirm; a nil one closes the connection without a reply.
type fakeVM struct {
	intents []string
	confirm func(http.ResponseWriter)
}

func (v *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer secret-token":
		failWith(w, 401, operator.CodeUnauthorized)
	case r.URL.Path == "/v1/status":
		_ = json.NewEncoder(w).Encode(largeStatus())
	case r.URL.Path == "/v1/vms/discard":
		v.discard(w, r)
	case r.URL.Path == "/v1/plans":
		v.plan(w, r)
	case v.confirm == nil:
		panic(http.ErrAbortHandler)
	default:
		v.confirm(w)
	}
}

func (v *fakeVM) plan(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	v.intents = append(v.intents, string(body))
	if strings.Contains(string(body), "refuse") {
		failWith(w, 422, operator.CodeRefused)
		return
	}
	w.WriteHeader(201)
	_ = json.NewEncoder(w).Encode(configstore.StoredPlan{Plan: contract.Plan{ID: "p1", BaseVersion: 4,
		Effect: contract.Effect{Keys: []contract.KeyEffect{{ID: "k7", Team: "walkers", Kind: contract.Added}}}}})
}

func (v *fakeVM) discard(w http.ResponseWriter, r *http.Request) {
	var request operator.DiscardRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	if request.Confirm && (request.Base != 7 || v.confirm == nil) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(operator.DiscardReply{Base: 7, Removed: request.VMs, Assertion: operator.DiscardAssertion, Done: request.Confirm})
}

func failWith(w http.ResponseWriter, status int, code operator.ErrorCode) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(operator.ErrorBody{Error: operator.ErrorDetail{Code: code, Message: "text of " + string(code)}})
}

func accepted(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(configstore.Outcome{Kind: configstore.Accepted, Version: 5})
}

func respond(status int, code operator.ErrorCode) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { failWith(w, status, code) }
}

// largeStatus is the status of a fleet of the target scale in bad health.
func largeStatus() operator.Status {
	s := operator.Status{VM: "vm-1", Zone: "a", Reason: "no store and no majority"}
	for i := range 420 {
		s.Members = append(s.Members, operator.MemberStatus{ConfigurationVersion: uint64(i)})
	}
	for i := range 170 {
		service := operator.ServiceStatus{ID: contract.ServiceID(fmt.Sprint("service-", i))}
		for j := range 30 {
			service.Servers = append(service.Servers, operator.ServerStatus{
				ID: contract.ServerID(fmt.Sprint(i, "-", j)), State: operator.ServerEjected, Why: "30% errors"})
		}
		s.Services = append(s.Services, service)
		s.Teams = append(s.Teams, operator.TeamStatus{ID: contract.TeamID(fmt.Sprint("team-", i)), RejectedPerSecond: float64(i)})
	}
	return s
}

// runWith runs one command against the VM.
func runWith(t *testing.T, vm *fakeVM, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	t.Setenv(tokenVariable, "secret-token")
	server := httptest.NewServer(vm)
	defer server.Close()
	server.Config.ErrorLog = nil
	var out, errOut bytes.Buffer
	code = run(strings.NewReader("[[zones]]\nid = \"a\"\n"), &out, &errOut, append(args, "--operator-url", server.URL), nil)
	return code, out.String(), errOut.String()
}

// Guards against exit codes that a script would take for another outcome.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		args    string
		confirm func(http.ResponseWriter)
		code    int
		output  string
	}{
		{"confirm p1", accepted, ExitOK, "Accepted at version 5."},
		{"confirm p1", respond(409, operator.CodeBaseChanged), ExitFailed, "text of base-changed"},
		{"confirm p1", respond(503, operator.CodeUnavailable), ExitFailed, "text of unavailable"},
		{"confirm p1", respond(504, operator.CodeOutcomeUnknown), ExitOutcomeUnknown, "confirm p1"},
		{"confirm p1", nil, ExitOutcomeUnknown, "confirm p1"},
		{"zone out a --yes", nil, ExitOutcomeUnknown, "confirm p1"},
		{"zone out a --yes", accepted, ExitOK, "Accepted at version 5."},
		{"server leave refuse-1", accepted, ExitFailed, "text of refused"},
		{"key withdraw k1 -y --json", respond(504, operator.CodeOutcomeUnknown), ExitOutcomeUnknown, `"code": "outcome-unknown"`},
		{"vm discard vm-8 vm-9", nil, ExitOK, "Nothing has changed yet"},
		{"vm discard vm-8 vm-9", nil, ExitOK, "you assert that the processes"},
		{"vm discard vm-8 vm-9 --yes", accepted, ExitOK, "Discarded: vm-8, vm-9"},
		{"vm discard vm-8 --yes", nil, ExitOutcomeUnknown, "outcome unknown"},
		{"vm discard", nil, ExitUsage, "required"},
		{"plan -f -", nil, ExitOK, "almondstile confirm p1"},
		{"plan -f /nonexistent", nil, ExitUsage, "no such file"},
		{"plan", nil, ExitUsage, "required"},
		{"confirm", nil, ExitUsage, "required"},
		{"zone", nil, ExitUsage, "command"},
		{"zone out a b", nil, ExitUsage, `"b"`},
		{"status --unknown", nil, ExitUsage, "unknown flag"},
		{"status --token-file /nonexistent", nil, ExitUsage, "token-file"},
		{"key issue --help", nil, ExitOK, "Exit codes: 0 done"},
		{"check --settings /nonexistent", nil, ExitUsage, "faults in /nonexistent: 1"},
		{"check --settings /nonexistent --json", nil, ExitUsage, `"faults"`},
	}
	for _, c := range cases {
		code, stdout, stderr := runWith(t, &fakeVM{confirm: c.confirm}, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(stdout+stderr, c.output) {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", c.args, code, c.code, c.output, stdout, stderr)
		}
		if strings.Contains(c.args, "--json") && !json.Valid([]byte(stdout)) {
			t.Errorf("%s: the output is not one JSON value: %s", c.args, stdout)
		}
	}
	t.Setenv(tokenVariable, "secret-token")
	if code := run(nil, io.Discard, io.Discard, []string{"confirm", "p1", "--operator-url", "http://127.0.0.1:1"}, nil); code != ExitFailed {
		t.Errorf("a refused connection gives exit code %d, want %d: nothing was sent", code, ExitFailed)
	}
}

// Guards against a key whose secret leaves the client, and against a credential
// that is lost or does not fit the hash.
func TestKeyIssueSendsOnlyTheHash(t *testing.T) {
	vm := &fakeVM{} // no reply to the confirm: the credential must be shown all the same
	code, stdout, _ := runWith(t, vm, "key", "issue", "--team", "walkers", "--id", "k7", "--yes")
	_, after, _ := strings.Cut(stdout, "shown only now: ")
	credential, _, _ := strings.Cut(after, "\n")
	id, secret, ok := contract.SplitCredential(credential)
	if code != ExitOutcomeUnknown || !ok || id != "k7" || len(secret) != 2*secretBytes {
		t.Fatalf("exit code %d, credential %q", code, credential)
	}
	sent := strings.Join(vm.intents, "\n")
	if strings.Contains(sent, secret) || !strings.Contains(sent, contract.HashSecret(secret)) {
		t.Fatalf("sent: %s", sent)
	}
}

// Guards against a status that does not fit on a screen.
func TestStatusFitsOnOneScreen(t *testing.T) {
	code, stdout, stderr := runWith(t, &fakeVM{}, "status")
	const screenLines = 50
	if lines := strings.Count(stdout, "\n"); code != ExitOK || lines > screenLines || !strings.Contains(stdout, "team-169") {
		t.Fatalf("exit code %d, %d lines\n%s%s", code, lines, stdout, stderr)
	}
}

// Guards against problems that stand below what is well, and against planned
// states that hide faults.
func TestStatusShowsProblemsFirst(t *testing.T) {
	servers := []operator.ServerStatus{{ID: "s1", State: operator.ServerLeaving}, {ID: "s2", State: operator.ServerServing},
		{ID: "s3", State: operator.ServerLowWeight, Why: "the floor"}, {ID: "s4", State: operator.ServerUnreachable}}
	var out bytes.Buffer
	printStatus(&out, operator.Status{Ready: true, OtherTeams: 7, Zones: []operator.ZoneStatus{{ID: "a"}},
		Services: []operator.ServiceStatus{{ID: "loandesk", Servers: servers}}})
	rest := out.String()
	for _, want := range []string{"Servers: 1 unreachable, 1 low-weight, 1 leaving\n",
		"s4", "s3\tlow-weight", "the floor", "s1", "Services", "Zones", "in the last minute: 7\n"} {
		_, after, found := strings.Cut(rest, want)
		if !found {
			t.Fatalf("no %q in its place:\n%s", want, out.String())
		}
		rest = after
	}
}

type extraRunner struct {
	Wait time.Duration `long:"wait" required:"true"`
	ran  time.Duration
}

func (r *extraRunner) Execute([]string) error { r.ran = r.Wait; return nil }

// Guards against commands of other packages that cannot be added.
func TestExtraCommand(t *testing.T) {
	runner := &extraRunner{}
	if code := Run([]string{"serve", "--wait", "3s"}, Command{Name: "serve", Short: "Serve", Runner: runner}); code != ExitOK || runner.ran != 3*time.Second {
		t.Fatalf("exit code %d, ran %v", code, runner.ran)
	}
}

// memoryPlanner keeps one configuration without a store.
type memoryPlanner struct {
	base contract.Configuration
	plan contract.Plan
}

func (p *memoryPlanner) Plan(_ context.Context, intent contract.Intent) (contract.Plan, error) {
	plan, err := contract.NewPlan("p1", &p.base, intent, time.Time{})
	p.plan = plan
	return plan, err
}

func (p *memoryPlanner) Get(context.Context, string) (configstore.StoredPlan, error) {
	return configstore.StoredPlan{Plan: p.plan}, nil
}

func (p *memoryPlanner) Confirm(_ context.Context, id string) (configstore.Outcome, error) {
	if id != p.plan.ID {
		return configstore.Outcome{Kind: configstore.UnknownPlan}, nil
	}
	return configstore.Outcome{Kind: configstore.Accepted, Version: 1}, nil
}

type readyFleet struct{}

func (readyFleet) Ready() (bool, string)                  { return true, "" }
func (readyFleet) Status(context.Context) operator.Status { return largeStatus() }

// Guards against a client and a server that do not understand each other, and
// against a listener that does not stop.
func TestAgainstRealServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	planner := &memoryPlanner{}
	server := operator.NewServer(planner, readyFleet{}, nil, metrics.NewRegistry(), []settings.Operator{
		{Name: "ann", Role: settings.RoleOperator, TokenSHA256: contract.HashSecret("secret-token")},
	}, logging.Discard().Part("operator"))
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	})
	t.Setenv(tokenVariable, "secret-token")
	url := "http://" + listener.Addr().String()
	for _, args := range [][]string{{"plan", "-f", "-", "--yes"}, {"status"}, {"status", "--json"}, {"confirm", "p1"}} {
		var out bytes.Buffer
		if code := run(strings.NewReader("[[zones]]\nid = \"a\"\n"), &out, &out, append(args, "--operator-url", url), nil); code != ExitOK {
			t.Errorf("%v: exit code %d\n%s", args, code, out.String())
		}
	}
	if planner.plan.Intent.Author != "ann" {
		t.Errorf("author %q, want ann", planner.plan.Intent.Author)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
}
