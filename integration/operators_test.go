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

// work is the state that the steps of TestOperators hand on.
type work struct {
	*testFleet
	credentials map[contract.TeamID]string
	keys        map[contract.TeamID]string
}

// TestOperators goes through an operator's work with a fleet of three real
// processes. The steps build on each other, so the first failure ends it.
func TestOperators(t *testing.T) {
	w := &work{startFleet(t), make(map[contract.TeamID]string), make(map[contract.TeamID]string)}
	for _, step := range []struct {
		name string
		run  func(*testing.T, *work)
	}{
		{"first configuration", firstConfiguration},
		{"key issue", keyIssue},
		{"callers", callersAreAnswered},
		{"rejections", callersAreRejected},
		{"stale plan", stalePlan},
		{"plan and confirm as JSON", planAsJSON},
		{"viewer", viewerDoesNotConfirm},
		{"wrong intents", wrongIntents},
		{"status", statusOnOneScreen},
		{"key withdraw", keyWithdraw},
		{"key after a withdrawal", keyAfterWithdrawal},
		{"graceful shutdown", gracefulShutdown},
	} {
		if !t.Run(step.name, func(t *testing.T) { step.run(t, w) }) {
			t.FailNow()
		}
	}
}

// Guards against a plan that takes effect before it is confirmed, and against a
// confirm that reaches only the VM that was asked.
func firstConfiguration(t *testing.T, w *work) {
	id := w.planFile(t, 0, w.firstIntent()).exits(t, 0, "Nothing has changed yet", "shelfview", "glencoe-hire").planID(t)
	if s := w.status(t, 0); s.ConfigurationVersion != 0 {
		t.Fatalf("version %d in force before the confirm", s.ConfigurationVersion)
	}
	w.almondstile(t, 1, "confirm", id).exits(t, 0, "Accepted at version 1.")
	w.awaitVersion(t, 1)
	w.almondstile(t, 2, "confirm", id).exits(t, 0, "Accepted at version 1.")
}

var credentialLine = regexp.MustCompile(`(?m)^Credential, shown only now: (\S+)$`)

// Guards against credentials that do not work and against secrets that can be
// read again later.
func keyIssue(t *testing.T, w *work) {
	for n, team := range []contract.TeamID{"glencoe-hire", "killin-library"} {
		r := w.almondstile(t, n, "key", "issue", "--team", string(team), "--yes").succeed(t)
		found := credentialLine.FindAllStringSubmatch(r.stdout, -1)
		if len(found) != 1 {
			t.Fatalf("the credential is not shown once: %s", r.stdout)
		}
		credential := found[0][1]
		id, secret, _ := strings.Cut(credential, ".")
		w.credentials[team], w.keys[team] = credential, id
		if log := logTail(w.vms[n].log); strings.Contains(log, secret) {
			t.Fatal("the secret is in the log")
		}
		plan := get("http://"+w.vms[n].operators+"/v1/plans/"+r.planID(t), operatorToken)
		if plan.status != http.StatusOK || strings.Contains(string(plan.body), secret) {
			t.Fatalf("the stored plan: %s %s", plan, plan.body)
		}
	}
	w.awaitVersion(t, 3)
}

func (w *work) url(n int, path string) string { return "http://" + w.vms[n].callers + path }

// Guards against VMs that cannot reach the servers of other VMs, and against
// answers that are not whole.
func callersAreAnswered(t *testing.T, w *work) {
	for n, v := range w.vms {
		for _, path := range []string{"/stock/hut-7", "/loans/1"} {
			await(t, "a caller is answered at "+v.id, func() (string, bool) {
				g := get(w.url(n, path), w.credentials["glencoe-hire"])
				return g.String(), g.answered()
			})
		}
	}
}

// Guards against requests that run without the right key, and against
// rejections that do not say that the request did not run.
func callersAreRejected(t *testing.T, w *work) {
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
			if g := get(w.url(n, c.path), c.credential); !g.rejected(c.status, c.reason) {
				t.Errorf("%s at VM %d: %s instead of %d %s", c.path, n, g, c.status, c.reason)
			}
		}
	}
}

const teamIntent = `[[teams]]
id = "nevis-outfitters"
rate_per_second = %d.0
burst = 40
weight = 1
`

// Guards against two operators who both succeed although each saw the effect of
// their plan on the same version.
func stalePlan(t *testing.T, w *work) {
	first := w.planFile(t, 0, fmt.Sprintf(teamIntent, 10)).planID(t)
	second := w.planFile(t, 1, fmt.Sprintf(teamIntent, 20)).planID(t)
	w.almondstile(t, 0, "confirm", first).exits(t, 0, "Accepted at version 4.")
	w.almondstile(t, 1, "confirm", second).exits(t, 1, "base-changed", "make the plan again")
	w.almondstile(t, 2, "confirm", first).exits(t, 0, "Accepted at version 4.")
	var refused operator.ErrorBody
	w.almondstile(t, 2, "confirm", second, "--json").exits(t, 1).decode(t, &refused)
	if refused.Error.Code != operator.CodeBaseChanged || refused.Error.Current != 4 {
		t.Fatalf("refused with %+v", refused.Error)
	}
	w.awaitVersion(t, 4)
}

// Guards against JSON output that programs cannot use for the same work.
func planAsJSON(t *testing.T, w *work) {
	var made struct {
		Plan configstore.StoredPlan `json:"plan"`
	}
	writeFile(t, w.folder+"/team.toml", fmt.Sprintf(teamIntent, 30))
	w.almondstile(t, 0, "plan", "-f", "team.toml", "--json").succeed(t).decode(t, &made)
	if made.Plan.ID == "" || made.Plan.BaseVersion != 4 {
		t.Fatalf("plan %+v", made.Plan)
	}
	for range 2 {
		var outcome configstore.Outcome
		w.almondstile(t, 1, "confirm", "--json", made.Plan.ID).succeed(t).decode(t, &outcome)
		if outcome.Kind != configstore.Accepted || outcome.Version != 5 {
			t.Fatalf("outcome %+v", outcome)
		}
	}
	w.awaitVersion(t, 5)
}

// Guards against a viewer who changes the configuration.
func viewerDoesNotConfirm(t *testing.T, w *work) {
	environment := w.environmentOf(0, "viewer.token")
	plan := run(t, w.folder, environment, binary, "zone", "out", "scot-central-a").planID(t)
	run(t, w.folder, environment, binary, "confirm", plan).exits(t, 1, "forbidden")
	run(t, w.folder, environment, binary, "vm", "discard", w.vms[1].id).exits(t, 1, "forbidden")
	for n := range w.vms { // A running VM is not discarded.
		w.almondstile(t, 0, "vm", "discard", w.vms[n].id, "--yes").exits(t, 1, "runs", "refused")
	}
	if s := w.status(t, 0); s.ConfigurationVersion != 5 {
		t.Fatalf("version %d", s.ConfigurationVersion)
	}
}

// Guards against intents that are refused without the place of the fault.
func wrongIntents(t *testing.T, w *work) {
	w.planFile(t, 0, "[[teams]\nid = 1\n").exits(t, 1, "invalid-intent", "line 1")
	w.planFile(t, 0, "[[teams]]\nid = \"a\"\nrate = 3\n").exits(t, 1, "invalid-intent", "line 3", "teams.rate", "unknown key")
	w.planFile(t, 0, "[[routes]]\nid = \"r\"\npath_prefix = \"/r\"\nservice = \"nosuch\"\nopen_to_all = true\ntimeout_ms = 100\n").
		exits(t, 1, "invalid-intent", `routes["r"].service`, "nosuch")
	w.almondstile(t, 0, "plan", "-f", "missing.toml").exits(t, 2, "missing.toml")
	w.almondstile(t, 0, "key", "issue", "--team", "nosuch").exits(t, 1, "invalid-intent", "nosuch")
	w.almondstile(t, 0, "confirm", "00000000-0000-0000-0000-000000000000").exits(t, 1, "unknown-plan")
}

// Guards against a status that hides which version is in force or which servers
// get no work, and against one that scrolls off a screen.
func statusOnOneScreen(t *testing.T, w *work) {
	const screenLines, screenColumns = 24, 120
	w.almondstile(t, 0, "server", "leave", "loandesk-1", "--yes").exits(t, 0, "Accepted at version 6.")
	w.awaitVersion(t, 6)
	r := w.almondstile(t, 1, "status").exits(t, 0, "Version 6 in force", "with 3 VMs", "loandesk-1", "leaving")
	lines := 0
	for s := bufio.NewScanner(strings.NewReader(r.stdout)); s.Scan(); lines++ {
		if len(s.Text()) > screenColumns {
			t.Errorf("a line of %d columns: %s", len(s.Text()), s.Text())
		}
	}
	if lines > screenLines {
		t.Errorf("%d lines: %s", lines, r.stdout)
	}
	await(t, "the status shows the rates of active teams only", func() (string, bool) {
		get(w.url(1, "/stock/hut-7"), w.credentials["glencoe-hire"])
		s := w.status(t, 1)
		return fmt.Sprintf("%+v, %d others", s.Teams, s.OtherTeams), len(s.Teams) > 0 && s.OtherTeams > 0 &&
			s.Teams[0].ID == "glencoe-hire" && s.Teams[0].AdmittedPerSecond > 0
	})
	await(t, "the status names the version of each VM", func() (string, bool) {
		s := w.status(t, 1)
		current := 0
		for _, m := range s.Members {
			if m.Known && m.ConfigurationVersion == 6 {
				current++
			}
		}
		return fmt.Sprintf("%+v", s.Members), current == vmCount
	})
	w.almondstile(t, 0, "server", "return", "loandesk-1", "--yes").exits(t, 0, "Accepted at version 7.")
	w.awaitVersion(t, 7)
}

// Guards against a key that still works on a connection that was open when it
// was withdrawn, or at a VM that did not take part in the confirm.
func keyWithdraw(t *testing.T, w *work) {
	const team = "killin-library"
	callers, locals := make([]caller, len(w.vms)), make([]string, len(w.vms))
	for n := range w.vms {
		callers[n] = newCaller()
		defer callers[n].close()
		await(t, "the key works", func() (string, bool) {
			g := callers[n].send(http.MethodGet, w.url(n, "/stock/hut-7"), w.credentials[team])
			locals[n] = g.local
			return g.String(), g.answered()
		})
	}
	w.almondstile(t, 0, "key", "withdraw", w.keys[team], "--yes").exits(t, 0, "Accepted at version 8.")
	for n, v := range w.vms {
		await(t, "the key fails at "+v.id, func() (string, bool) {
			g := callers[n].send(http.MethodGet, w.url(n, "/stock/hut-7"), w.credentials[team])
			if g.local != locals[n] {
				t.Fatalf("%s closed the connection: %s", v.id, g)
			}
			return g.String(), g.rejected(401, "bad-key")
		})
		if g := get(w.url(n, "/stock/hut-7"), w.credentials["glencoe-hire"]); !g.answered() {
			t.Errorf("another team's key at %s: %s", v.id, g)
		}
	}
}

// Guards against a team that cannot get a new key after it lost one, and against
// an ID of a withdrawn key that is issued again.
func keyAfterWithdrawal(t *testing.T, w *work) {
	const team = "killin-library"
	w.almondstile(t, 0, "key", "issue", "--team", team, "--id", w.keys[team]).exits(t, 1, "use a new ID")
	r := w.almondstile(t, 0, "key", "issue", "--team", team, "--yes").exits(t, 0, "Accepted at version 9.")
	w.credentials[team] = credentialLine.FindStringSubmatch(r.stdout)[1]
	w.awaitVersion(t, 9)
}
