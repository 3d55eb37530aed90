package operator

import (
	"context"
	"strings"
	"testing"
	"time"

	"almondstile/membership"
	"almondstile/store"
	"almondstile/vm"

	"github.com/rcrowley/go-metrics"
)

// fakeMembers is a member list of four VMs as vm-1 sees it. vm-2 answered a
// heartbeat less than discardSilence ago; vm-3 and vm-4 never answered.
type fakeMembers struct {
	discarded []vm.ID
	err       error
}

func (m *fakeMembers) List() vm.MemberList {
	return vm.MemberList{Version: 7, VMs: []vm.VM{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}, {ID: "vm-4"}}}
}
func (m *fakeMembers) Self() vm.VM { return vm.VM{ID: "vm-1"} }
func (m *fakeMembers) LastAnsweredHeartbeat(id vm.ID) time.Time {
	if id == "vm-2" {
		return time.Now().Add(-discardSilence / 2)
	}
	return time.Time{}
}
func (m *fakeMembers) Discard(_ context.Context, lost []vm.ID) error {
	m.discarded = lost
	return m.err
}

// Guards against discarding VMs when the caller lacks the role operator, did not
// confirm, or saw another version of the member list, and against discarding VMs
// that still run. Also checks the status and code for each error of Discard.
func TestDiscard(t *testing.T) {
	const bothVMs = `{"vms":["vm-3","vm-4"]`
	for _, c := range []struct {
		token, body string
		err         error
		status      int
		code        ErrorCode
		contains    string
		discards    bool
	}{
		{"", bothVMs + `}`, nil, 401, CodeUnauthorized, "", false},
		{viewerToken, bothVMs + `,"confirm":true,"base":7}`, nil, 403, CodeForbidden, "", false},
		{operatorToken, bothVMs + `}`, nil, 200, "", `"remaining":["vm-1","vm-2"]`, false},
		{operatorToken, bothVMs + `}`, nil, 200, "", "you assert", false},
		{operatorToken, bothVMs + `,"confirm":true}`, nil, 409, CodeBaseChanged, "", false},
		{operatorToken, bothVMs + `,"confirm":true,"base":6}`, nil, 409, CodeBaseChanged, `"current":7`, false},
		{operatorToken, bothVMs + `,"confirm":true,"base":7}`, nil, 200, "", `"done":true`, true},
		{operatorToken, bothVMs + `,"confirm":true,"base":7}`, store.ErrUnknownOutcome, 504, CodeOutcomeUnknown, "", true},
		{operatorToken, bothVMs + `,"confirm":true,"base":7}`, store.ErrNotDone, 503, CodeUnavailable, "", true},
		{operatorToken, bothVMs + `,"confirm":true,"base":7}`, membership.ErrNotListed, 404, CodeNotFound, "", true},
		{operatorToken, `{"vms":["vm-1"],"confirm":true,"base":7}`, nil, 422, CodeRefused, "vm-1 runs", false},
		{operatorToken, `{"vms":["vm-2"],"confirm":true,"base":7}`, nil, 422, CodeRefused, "vm-2 runs", false},
		{operatorToken, `{"vms":["vm-9"]}`, nil, 404, CodeNotFound, "vm-9", false},
		{operatorToken, `{"vms":[]}`, nil, 400, CodeBadRequest, "", false},
		{operatorToken, `[`, nil, 400, CodeBadRequest, "", false},
	} {
		s, members := newTestServer(&fakePlanner{}, &fakeFleet{}, metrics.NewRegistry()), &fakeMembers{err: c.err}
		s.members = members
		status, code, body := do(t, s, "POST", "/v1/vms/discard", c.token, "application/json", c.body)
		if status != c.status || code != c.code || !strings.Contains(body, c.contains) || (members.discarded != nil) != c.discards {
			t.Errorf("token %q, request %s, Discard error %v: got status %d, body %s, discarded %v", c.token, c.body, c.err, status, body, members.discarded)
		}
	}
}
