package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/operator"
)

// workflow is a fleet with the credentials that the tests issued. The steps of
// TestOperators share one.
type workflow struct {
	*testFleet
	credentials map[contract.TeamID]string // the newest credential of each team
	keyIDs      map[contract.TeamID]string // the ID of the key that was issued first
}

// TestOperators runs an operator's usual tasks in order against a fleet of three
// VM processes. The comment of each step names the failure that it guards
// against. Each step depends on the steps before it, so the test stops at the
// first failure.
func TestOperators(t *testing.T) {
	w := &workflow{startFleet(t), make(map[contract.TeamID]string), make(map[contract.TeamID]string)}
	for _, step := range []struct {
		name string
		run  func(*testing.T, *workflow)
	}{
		{"first configuration", firstConfiguration},
		{"key issue", keyIssue},
		{"callers", callersGetResponses},
		{"rejections", invalidCallersAreRejected},
		{"stale plan", stalePlan},
		{"plan and confirm as JSON", planAsJSON},
		{"viewer", viewerChangesNothing},
		{"invalid intents", invalidIntents},
		{"status", statusFitsOnScreen},
		{"key withdraw", keyWithdraw},
		{"key after a withdrawal", keyAfterWithdrawal},
		{"graceful shutdown", gracefulShutdown},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			t.FailNow()
		}
	}
}

// Guards against a plan that takes effect before it is confirmed. Also guards
// against a confirmed configuration that takes effect only at the VM that received
// the confirm, and against a second confirm with another result.
func firstConfiguration(t *testing.T, w *workflow) {
	id := w.planIntent(t, 0, w.initialIntent()).expectExit(t, 0, "Nothing has changed yet", "shelfview", "glencoe-hire").planID(t)
	if s := w.status(t, 0); s.ConfigurationVersion != 0 {
		t.Fatalf("version %d is in force before the confirm", s.ConfigurationVersion)
	}
	w.runAlmondstile(t, 1, "confirm", id).expectExit(t, 0, "Accepted at version 1.")
	w.awaitVersion(t, 1)
	w.runAlmondstile(t, 2, "confirm", id).expectExit(t, 0, "Accepted at version 1.")
}

// credentialLine matches the line with a new credential.
var credentialLine = regexp.MustCompile(`(?m)^Credential, shown only now: (\S+)$`)

// Guards against a secret that can be read after it was issued: the credential
// is printed once, and neither the log nor the stored plan contains the secret.
// The next steps check that the credentials work.
func keyIssue(t *testing.T, w *workflow) {
	for n, team := range []contract.TeamID{"glencoe-hire", "killin-library"} {
		r := w.runAlmondstile(t, n, "key", "issue", "--team", string(team), "--yes").expectSuccess(t)
		found := credentialLine.FindAllStringSubmatch(r.stdout, -1)
		if len(found) != 1 {
			t.Fatalf("the credential was not printed exactly once: %s", r.stdout)
		}
		credential := found[0][1]
		id, secret, _ := strings.Cut(credential, ".")
		w.credentials[team], w.keyIDs[team] = credential, id
		if log := logTail(w.vms[n].logPath); strings.Contains(log, secret) {
			t.Fatal("the log contains the secret")
		}
		plan := get("http://"+w.vms[n].operatorAddress+"/v1/plans/"+r.planID(t), operatorToken)
		if plan.status != http.StatusOK || strings.Contains(string(plan.body), secret) {
			t.Fatalf("the stored plan is missing or contains the secret: %s %s", plan, plan.body)
		}
	}
	w.awaitVersion(t, 3)
}

// url returns the URL of a path at the callers' address of the n-th VM.
func (w *workflow) url(n int, path string) string { return "http://" + w.vms[n].callersAddress + path }

// Guards against a VM that cannot reach the backend servers that other VMs own,
// and against incomplete responses.
func callersGetResponses(t *testing.T, w *workflow) {
	for n, v := range w.vms {
		for _, path := range []string{"/stock/hut-7", "/loans/1"} {
			await(t, "a caller gets a full response at "+v.id, func() (string, bool) {
				g := get(w.url(n, path), w.credentials["glencoe-hire"])
				return g.String(), g.gotFullResponse()
			})
		}
	}
}

// Guards against a request that is executed without a valid key or a permitted
// route, and against a rejection that does not say that the request was not
// executed.
func invalidCallersAreRejected(t *testing.T, w *workflow) {
	for n := range w.vms {
		for _, c := range []struct {
			path, credential string
			status           int
			reason           string
		}{
			{"/stock/hut-7", "", 401, "no-key"},
			{"/stock/hut-7", w.credentials["glencoe-hire"] + "0", 401, "bad-key"},
			{"/loans/1", w.credentials["killin-library"], 403, "wrong-team"},
			{"/nowhere", w.credentials["glencoe-hire"], 404, "no-route"},
		} {
			if g := get(w.url(n, c.path), c.credential); !g.rejectedWith(c.status, c.reason) {
				t.Errorf("%s at VM %d: got %s, want status %d, outcome \"not-run\", reason %q", c.path, n, g, c.status, c.reason)
			}
		}
	}
}

// teamIntent is a format of an intent document. Its argument is the team's rate in
// requests per second.
const teamIntent = `[[teams]]
id = "nevis-outfitters"
rate_per_second = %d.0
burst = 40
weight = 1
`

// Guards against lost updates: if two operators plan changes of the same version,
// only the first confirm may succeed, because the effect shown to the second
// operator is outdated by then.
func stalePlan(t *testing.T, w *workflow) {
	first := w.planIntent(t, 0, fmt.Sprintf(teamIntent, 10)).planID(t)
	second := w.planIntent(t, 1, fmt.Sprintf(teamIntent, 20)).planID(t)
	w.runAlmondstile(t, 0, "confirm", first).expectExit(t, 0, "Accepted at version 4.")
	w.runAlmondstile(t, 1, "confirm", second).expectExit(t, 1, "base-changed", "make the plan again")
	w.runAlmondstile(t, 2, "confirm", first).expectExit(t, 0, "Accepted at version 4.")
	var rejection operator.ErrorBody
	w.runAlmondstile(t, 2, "confirm", second, "--json").expectExit(t, 1).decodeJSON(t, &rejection)
	if rejection.Error.Code != operator.CodeBaseChanged || rejection.Error.Current != 4 {
		t.Fatalf("got the error %+v, want base-changed at version 4", rejection.Error)
	}
	w.awaitVersion(t, 4)
}

// Guards against JSON output that lacks what a program needs to plan and confirm,
// and against a repeated confirm with another result.
func planAsJSON(t *testing.T, w *workflow) {
	var planned struct {
		Plan configstore.StoredPlan `json:"plan"`
	}
	writeFile(t, w.folder+"/team.toml", fmt.Sprintf(teamIntent, 30))
	w.runAlmondstile(t, 0, "plan", "-f", "team.toml", "--json").expectSuccess(t).decodeJSON(t, &planned)
	if planned.Plan.ID == "" || planned.Plan.BaseVersion != 4 {
		t.Fatalf("got the plan %+v, want an ID and base version 4", planned.Plan)
	}
	for range 2 {
		var outcome configstore.Outcome
		w.runAlmondstile(t, 1, "confirm", "--json", planned.Plan.ID).expectSuccess(t).decodeJSON(t, &outcome)
		if outcome.Kind != configstore.Accepted || outcome.Version != 5 {
			t.Fatalf("got the outcome %+v, want accepted at version 5", outcome)
		}
	}
	w.awaitVersion(t, 5)
}

// Guards against a viewer who changes the configuration or discards a VM. A
// viewer may make plans. Also guards against an operator who discards a running
// VM.
func viewerChangesNothing(t *testing.T, w *workflow) {
	environment := w.operatorEnvironment(0, "viewer.token")
	plan := runCommand(t, w.folder, environment, binary, "zone", "out", "scot-central-a").planID(t)
	runCommand(t, w.folder, environment, binary, "confirm", plan).expectExit(t, 1, "forbidden")
	runCommand(t, w.folder, environment, binary, "vm", "discard", w.vms[1].id).expectExit(t, 1, "forbidden")
	for n := range w.vms { // Even an operator cannot discard a running VM.
		w.runAlmondstile(t, 0, "vm", "discard", w.vms[n].id, "--yes").expectExit(t, 1, "runs", "refused")
	}
	if s := w.status(t, 0); s.ConfigurationVersion != 5 {
		t.Fatalf("got version %d in force, want 5", s.ConfigurationVersion)
	}
}

// Guards against an error that does not say where the invalid input is: the line
// and key of the intent, the file, the team or the plan.
func invalidIntents(t *testing.T, w *workflow) {
	w.planIntent(t, 0, "[[teams]\nid = 1\n").expectExit(t, 1, "invalid-intent", "line 1")
	w.planIntent(t, 0, "[[teams]]\nid = \"a\"\nrate = 3\n").expectExit(t, 1, "invalid-intent", "line 3", "teams.rate", "unknown key")
	w.planIntent(t, 0, "[[routes]]\nid = \"r\"\npath_prefix = \"/r\"\nservice = \"nosuch\"\nopen_to_all = true\ntimeout_ms = 100\n").
		expectExit(t, 1, "invalid-intent", `routes["r"].service`, "nosuch")
	w.runAlmondstile(t, 0, "plan", "-f", "missing.toml").expectExit(t, 2, "missing.toml")
	w.runAlmondstile(t, 0, "key", "issue", "--team", "nosuch").expectExit(t, 1, "invalid-intent", "nosuch")
	w.runAlmondstile(t, 0, "confirm", "00000000-0000-0000-0000-000000000000").expectExit(t, 1, "unknown-plan")
}

// Guards against a status that does not show the version in force or the servers
// that get no new requests, and against one that does not fit on a screen of 24
// lines and 120 columns.
func statusFitsOnScreen(t *testing.T, w *workflow) {
	const screenLines, screenColumns = 24, 120
	w.runAlmondstile(t, 0, "server", "leave", "loandesk-1", "--yes").expectExit(t, 0, "Accepted at version 6.")
	w.awaitVersion(t, 6)
	r := w.runAlmondstile(t, 1, "status").expectExit(t, 0, "Version 6 in force", "with 3 VMs", "loandesk-1", "leaving")
	lines := 0
	for s := bufio.NewScanner(strings.NewReader(r.stdout)); s.Scan(); lines++ {
		if len(s.Text()) > screenColumns {
			t.Errorf("a line has %d columns, more than fit on the screen: %s", len(s.Text()), s.Text())
		}
	}
	if lines > screenLines {
		t.Errorf("the status has %d lines, more than fit on the screen: %s", lines, r.stdout)
	}
	await(t, "the status shows the rates of active teams only", func() (string, bool) {
		get(w.url(1, "/stock/hut-7"), w.credentials["glencoe-hire"])
		s := w.status(t, 1)
		return fmt.Sprintf("%+v, %d others", s.Teams, s.InactiveTeams), len(s.Teams) > 0 && s.InactiveTeams > 0 &&
			s.Teams[0].ID == "glencoe-hire" && s.Teams[0].AdmittedPerSecond > 0
	})
	await(t, "the status shows the current version at each VM", func() (string, bool) {
		s := w.status(t, 1)
		current := 0
		for _, m := range s.Members {
			if m.Known && m.ConfigurationVersion == 6 {
				current++
			}
		}
		return fmt.Sprintf("%+v", s.Members), current == vmCount
	})
	w.runAlmondstile(t, 0, "server", "return", "loandesk-1", "--yes").expectExit(t, 0, "Accepted at version 7.")
	w.awaitVersion(t, 7)
}

// Guards against a withdrawn key that still works: on a connection that was open
// at the time of the withdrawal, or at a VM that did not process the confirm. Keys
// of other teams must go on working.
func keyWithdraw(t *testing.T, w *workflow) {
	const team = "killin-library"
	callers, locals := make([]caller, len(w.vms)), make([]string, len(w.vms))
	for n := range w.vms {
		callers[n] = newCaller()
		defer callers[n].close()
		await(t, "the key works", func() (string, bool) {
			g := callers[n].send(http.MethodGet, w.url(n, "/stock/hut-7"), w.credentials[team])
			locals[n] = g.localAddr
			return g.String(), g.gotFullResponse()
		})
	}
	w.runAlmondstile(t, 0, "key", "withdraw", w.keyIDs[team], "--yes").expectExit(t, 0, "Accepted at version 8.")
	for n, v := range w.vms {
		await(t, "the key is rejected at "+v.id, func() (string, bool) {
			g := callers[n].send(http.MethodGet, w.url(n, "/stock/hut-7"), w.credentials[team])
			if g.localAddr != locals[n] {
				t.Fatalf("%s closed the connection, so the test cannot check it: %s", v.id, g)
			}
			return g.String(), g.rejectedWith(401, "bad-key")
		})
		if g := get(w.url(n, "/stock/hut-7"), w.credentials["glencoe-hire"]); !g.gotFullResponse() {
			t.Errorf("another team's key does not work at %s: %s", v.id, g)
		}
	}
}

// Guards against a team that cannot get a new key after its key was withdrawn,
// and against a second key with the ID of a withdrawn one.
func keyAfterWithdrawal(t *testing.T, w *workflow) {
	const team = "killin-library"
	w.runAlmondstile(t, 0, "key", "issue", "--team", team, "--id", w.keyIDs[team]).expectExit(t, 1, "use a new ID")
	r := w.runAlmondstile(t, 0, "key", "issue", "--team", team, "--yes").expectExit(t, 0, "Accepted at version 9.")
	w.credentials[team] = credentialLine.FindStringSubmatch(r.stdout)[1]
	w.awaitVersion(t, 9)
}
