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
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/logging"
	"almondstile/memory"
	"almondstile/operator"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

// fakeVM is a stand-in for the operators' API of a VM. writeConfirmReply writes the
// reply to a confirm; if it is nil, the connection is closed without a reply.
type fakeVM struct {
	intents           []string
	writeConfirmReply func(http.ResponseWriter)
}

func (v *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer secret-token":
		writeError(w, 401, operator.CodeUnauthorized)
	case r.URL.Path == "/v1/status":
		_ = json.NewEncoder(w).Encode(largeStatus())
	case r.URL.Path == "/v1/vms/discard":
		v.discard(w, r)
	case r.URL.Path == "/v1/plans":
		v.plan(w, r)
	case v.writeConfirmReply == nil:
		panic(http.ErrAbortHandler)
	default:
		v.writeConfirmReply(w)
	}
}

func (v *fakeVM) plan(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	v.intents = append(v.intents, string(body))
	if strings.Contains(string(body), "refuse") {
		writeError(w, 422, operator.CodeRefused)
		return
	}
	w.WriteHeader(201)
	_ = json.NewEncoder(w).Encode(configstore.StoredPlan{Plan: contract.Plan{ID: "p1", BaseVersion: 4,
		Effect: contract.Effect{Keys: []contract.KeyEffect{{ID: "k7", Team: "walkers", Kind: contract.Added}}}}})
}

func (v *fakeVM) discard(w http.ResponseWriter, r *http.Request) {
	var request operator.DiscardRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	if request.Confirm && (request.Base != 7 || v.writeConfirmReply == nil) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(operator.DiscardReply{Base: 7, Removed: request.VMs, Assertion: operator.DiscardAssertion, Done: request.Confirm})
}

func writeError(w http.ResponseWriter, status int, code operator.ErrorCode) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(operator.ErrorBody{Error: operator.ErrorDetail{Code: code, Message: "text of " + string(code)}})
}

func writeAccepted(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(configstore.Outcome{Kind: configstore.Accepted, Version: 5})
}

func errorReply(status int, code operator.ErrorCode) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { writeError(w, status, code) }
}

// rawReply returns a reply of an accepted plan with a head that HTTP does not allow.
func rawReply(head string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		body, _ := json.Marshal(configstore.Outcome{Kind: configstore.Accepted, Version: 5})
		_, _ = fmt.Fprintf(nc, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// largeStatus returns the status of a fleet at the target scale (420 VMs, 170
// services with 30 servers each) in which no server and no VM is healthy.
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

// runWith runs one command against vm, with a small intent on standard input.
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

// Guards against wrong exit codes. A script would then take a refused plan for an
// accepted one, or a confirm with an unknown outcome for one that failed.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		args    string
		confirm func(http.ResponseWriter)
		code    int
		output  string
	}{
		{"confirm p1", writeAccepted, ExitOK, "Accepted at version 5."},
		{"confirm p1", errorReply(409, operator.CodeBaseChanged), ExitFailed, "text of base-changed"},
		{"confirm p1", errorReply(503, operator.CodeUnavailable), ExitFailed, "text of unavailable"},
		{"confirm p1", errorReply(504, operator.CodeOutcomeUnknown), ExitOutcomeUnknown, "confirm p1"},
		{"confirm p1", nil, ExitOutcomeUnknown, "confirm p1"},
		{"confirm p1", rawReply("HTTP/1.1 000 OK"), ExitOutcomeUnknown, "confirm p1"},
		{"confirm p1", rawReply("HTTP/1.1 200 OK\r\nX-No te: a"), ExitOutcomeUnknown, "confirm p1"},
		{"zone out a --yes", nil, ExitOutcomeUnknown, "confirm p1"},
		{"zone out a --yes", writeAccepted, ExitOK, "Accepted at version 5."},
		{"server leave refuse-1", writeAccepted, ExitFailed, "text of refused"},
		{"key withdraw k1 -y --json", errorReply(504, operator.CodeOutcomeUnknown), ExitOutcomeUnknown, `"code": "outcome-unknown"`},
		{"vm discard vm-8 vm-9", nil, ExitOK, "Nothing has changed yet"},
		{"vm discard vm-8 vm-9", nil, ExitOK, "you assert that the processes"},
		{"vm discard vm-8 vm-9 --yes", writeAccepted, ExitOK, "Discarded: vm-8, vm-9"},
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
		{"check", nil, ExitUsage, "required"},
		{"check --settings a --configuration b", nil, ExitUsage, "required"},
		{"check --settings a --in-force b", nil, ExitUsage, "goes with --configuration"},
		{"check --configuration /nonexistent", nil, ExitUsage, "no such file"},
	}
	for _, c := range cases {
		code, stdout, stderr := runWith(t, &fakeVM{writeConfirmReply: c.confirm}, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(stdout+stderr, c.output) {
			t.Errorf("%s: exit code %d, want %d and output with %q\n%s%s", c.args, code, c.code, c.output, stdout, stderr)
		}
		if strings.Contains(c.args, "--json") && !json.Valid([]byte(stdout)) {
			t.Errorf("%s: the output is not one JSON value: %s", c.args, stdout)
		}
	}
	t.Setenv(tokenVariable, "secret-token")
	if code := run(nil, io.Discard, io.Discard, []string{"confirm", "p1", "--operator-url", "http://127.0.0.1:1"}, nil); code != ExitFailed {
		t.Errorf("confirm with connection refused: exit code %d, want %d because nothing was sent", code, ExitFailed)
	}
}

// Guards against a status that no API sends and that counts as success or as a definite
// failure, where the reply comes through a proxy.
func TestUnknownStatusIsNoReply(t *testing.T) {
	accepted, _ := json.Marshal(configstore.Outcome{Kind: configstore.Accepted, Version: 5})
	refused, _ := json.Marshal(operator.ErrorBody{Error: operator.ErrorDetail{Code: operator.CodeRefused}})
	for _, status := range []int{0, 99, 100, 199, 600, 999} {
		for _, body := range [][]byte{accepted, refused} {
			if err := decodeReply(status, body, new(configstore.Outcome)); !errors.Is(err, errNoReply) {
				t.Errorf("status %d, body %s: got error %v, want errNoReply", status, body, err)
			}
		}
	}
}

// Guards against a client that sends the secret of a new key instead of only its
// hash. Also guards against a credential that is not shown when the confirm gets no
// reply, or that doesn't match the hash.
func TestKeyIssueSendsOnlyTheHash(t *testing.T) {
	vm := &fakeVM{} // no reply to the confirm; the credential must be shown nevertheless
	code, stdout, _ := runWith(t, vm, "key", "issue", "--team", "walkers", "--id", "k7", "--yes")
	_, after, _ := strings.Cut(stdout, "shown only now: ")
	credential, _, _ := strings.Cut(after, "\n")
	id, secret, ok := contract.SplitCredential(credential)
	if code != ExitOutcomeUnknown || !ok || id != "k7" || len(secret) != 2*secretBytes {
		t.Fatalf("exit code %d, want 3; credential %q, want key ID k7 and a secret of 64 hex digits", code, credential)
	}
	sent := strings.Join(vm.intents, "\n")
	if strings.Contains(sent, secret) || !strings.Contains(sent, contract.HashSecret(secret)) {
		t.Fatalf("the intents must contain the hash and not the secret: %s", sent)
	}
}

// Guards against a status that doesn't fit on a screen of 50 lines, which happens
// when a section lists all servers, VMs or teams of a large fleet.
func TestStatusFitsOnOneScreen(t *testing.T) {
	code, stdout, stderr := runWith(t, &fakeVM{}, "status")
	const screenLines = 50
	if lines := strings.Count(stdout, "\n"); code != ExitOK || lines > screenLines || !strings.Contains(stdout, "team-169") {
		t.Fatalf("exit code %d, %d lines\n%s%s", code, lines, stdout, stderr)
	}
}

// Guards against a status that lists healthy services above servers with problems,
// and against servers that leave on an operator's request above faulty ones.
func TestStatusShowsProblemsFirst(t *testing.T) {
	servers := []operator.ServerStatus{{ID: "s1", State: operator.ServerLeaving}, {ID: "s2", State: operator.ServerServing},
		{ID: "s3", State: operator.ServerLowWeight, Why: "the floor"}, {ID: "s4", State: operator.ServerUnreachable}}
	var out bytes.Buffer
	printStatus(&out, operator.Status{Ready: true, InactiveTeams: 7, Zones: []operator.ZoneStatus{{ID: "a"}},
		Services: []operator.ServiceStatus{{ID: "loandesk", Servers: servers}}})
	remaining := out.String()
	for _, want := range []string{"Servers: 1 unreachable, 1 low-weight, 1 leaving\n",
		"s4", "s3\tlow-weight", "the floor", "s1", "Services", "Zones", "in the last minute: 7\n"} {
		_, after, found := strings.Cut(remaining, want)
		if !found {
			t.Fatalf("%q is missing or out of order:\n%s", want, out.String())
		}
		remaining = after
	}
}

type extraRunner struct {
	Wait     time.Duration `long:"wait" required:"true"`
	waitSeen time.Duration
}

func (r *extraRunner) Execute([]string) error { r.waitSeen = r.Wait; return nil }

// Guards against a Run that doesn't add, parse or execute the commands of its
// caller, such as the daemon's.
func TestExtraCommand(t *testing.T) {
	runner := &extraRunner{}
	if code := Run([]string{"serve", "--wait", "3s"}, Command{Name: "serve", Short: "Serve", Runner: runner}); code != ExitOK || runner.waitSeen != 3*time.Second {
		t.Fatalf("exit code %d, executed with --wait %v, want 3s", code, runner.waitSeen)
	}
}

// memoryPlanner makes and confirms plans in memory, without a store.
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

type alwaysReadyFleet struct{}

func (alwaysReadyFleet) Ready() (bool, string)                  { return true, "" }
func (alwaysReadyFleet) Status(context.Context) operator.Status { return largeStatus() }

// Guards against a client and an operators' API that disagree on paths, formats or
// authorization, which the fakeVM of the other tests can't show. Also guards against
// a server whose Serve doesn't return after Shutdown.
func TestAgainstRealServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	planner := &memoryPlanner{}
	server := operator.NewServer(planner, alwaysReadyFleet{}, nil, metrics.NewRegistry(), []settings.Operator{
		{Name: "ann", Role: settings.RoleOperator, TokenSHA256: contract.HashSecret("secret-token")},
	}, memory.NewBudget(64<<20, time.Now, nil), logging.Discard().Part("operator"))
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

// Guards against a configuration with errors that a script sends because the check exits
// with 0, and against changes to the version in force that are not shown.
func TestCheckOfAConfiguration(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const document = `{"version":%d,"services":[{"name":"s"}],"virtual-hosts":[{"host":"h","paths":[` +
		`{"name":"r","prefix":"/a/","route-type":"safe","timeout-s":%d,"service":"%s"}]}]}`
	inForce := write("old.json", fmt.Sprintf(document, 3, 2, "s"))
	sound := write("new.json", fmt.Sprintf(document, 4, 1, "s"))
	faulty := write("faulty.json", fmt.Sprintf(document, 5, 1, "gone"))
	broken := write("broken.json", "{")
	for args, want := range map[string]struct {
		code   int
		output string
	}{
		"--configuration " + sound:                                 {ExitOK, "Version 4: 0 errors, 0 warnings"},
		"--configuration " + sound + " --in-force " + inForce:      {ExitOK, "timeout_ms"},
		"--configuration " + inForce + " --in-force " + sound:      {ExitFailed, "not above 4"},
		"--configuration " + faulty:                                {ExitFailed, `there is no service "gone"`},
		"--configuration " + faulty + " --json":                    {ExitFailed, `"severity": "error"`},
		"--configuration " + broken:                                {ExitUsage, "decoding the configuration"},
		"--configuration " + sound + " --in-force " + broken:       {ExitUsage, "decoding the configuration"},
		"--configuration " + sound + " --json --in-force " + sound: {ExitFailed, `"in_force": 4`},
	} {
		code, stdout, stderr := runWith(t, &fakeVM{}, append([]string{"check"}, strings.Fields(args)...)...)
		if code != want.code || !strings.Contains(stdout+stderr, want.output) {
			t.Errorf("%s: exit code %d, want %d and output with %q\n%s%s", args, code, want.code, want.output, stdout, stderr)
		}
		if strings.Contains(args, "--json") && !json.Valid([]byte(stdout)) {
			t.Errorf("%s: the output is not one JSON value: %s", args, stdout)
		}
	}
}
