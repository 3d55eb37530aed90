package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondstile/memory"
	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// fakeTable is an in-memory store.Table. With a random source, Get and Transact
// take up to 50 ms and inject faults: a call fails before it takes effect, fails
// after it took effect, or takes effect up to 6 s after it failed.
type fakeTable struct {
	mu           sync.Mutex
	random       *rand.Rand
	rows         map[string]store.Item
	transactions int
}

// randomIntN returns a random number from 0 to n-1, or n-1 without random source.
// The value n-1 never injects a fault.
func (f *fakeTable) randomIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		return n - 1
	}
	return f.random.IntN(n)
}

func (f *fakeTable) Get(_ context.Context, key string) (store.Item, error) {
	time.Sleep(time.Duration(f.randomIntN(50)) * time.Millisecond)
	if f.randomIntN(10) == 0 {
		return store.Item{}, store.ErrNotDone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.rows[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (f *fakeTable) Query(_ context.Context, prefix string) (found []store.Item, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, item := range f.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

func (f *fakeTable) Transact(_ context.Context, writes []store.Write) error {
	time.Sleep(time.Duration(f.randomIntN(50)) * time.Millisecond)
	switch f.randomIntN(10) {
	case 0:
		return store.ErrNotDone
	case 1:
		return store.ErrUnknownOutcome
	case 2:
		_ = f.apply(writes)
		return store.ErrUnknownOutcome
	case 3:
		time.AfterFunc(time.Duration(f.randomIntN(6000))*time.Millisecond, func() { _ = f.apply(writes) })
		return store.ErrUnknownOutcome
	}
	return f.apply(writes)
}

func (f *fakeTable) apply(writes []store.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transactions++
	seen := make(map[string]bool)
	for _, w := range writes {
		item, exists := f.rows[w.Key]
		if seen[w.Key] || len(writes) > store.MaxTransactionWrites {
			return errors.New("the transaction writes a row twice or has too many writes")
		}
		seen[w.Key] = true
		if w.Condition.Kind == store.Absent && exists ||
			w.Condition.Kind == store.VersionIs && (!exists || item.Version != w.Condition.Version) {
			return store.ErrConditionFailed
		}
	}
	for _, w := range writes {
		if w.Kind == store.Delete {
			delete(f.rows, w.Key)
		} else {
			f.rows[w.Key] = store.Item{Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
		}
	}
	return nil
}

func newTable(random *rand.Rand) *fakeTable {
	return &fakeTable{random: random, rows: make(map[string]store.Item)}
}

// newRequest returns a request to be claimed. Its body is the idempotency key and
// its deadline is in one second.
func newRequest(id, key string) *request.Request {
	return &request.Request{
		ID: id, Team: "team", Method: "POST", Target: "/loans", Body: memory.BodyOf([]byte(key)),
		IdempotencyKey: key, Deadline: time.Now().Add(time.Second),
	}
}

// schedule sends requests with the same idempotency key through several VMs, some
// of which crash while they hold the claim. It checks that a request is dispatched
// only if no earlier one may have been executed.
type schedule struct {
	mu           sync.Mutex
	random       *rand.Rand
	mayDispatch  bool   // all earlier dispatches were certainly not executed
	recordedBody string // of the response of the last dispatch, if it got one
	counts       map[string]int
}

func (s *schedule) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// attempt sends one request through c. If the request gets the claim, attempt checks
// that it may be dispatched, waits up to 400 ms and finishes the claim in a random way.
func (s *schedule) attempt(t *rapid.T, c *Claims, id string) {
	r := newRequest(id, "key")
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	held, result, err := c.Begin(ctx, r)
	if err != nil {
		t.Errorf("begin of the claim: %v", err)
		return
	}
	s.mu.Lock()
	if result != nil {
		if result.Outcome == request.Answered && (s.recordedBody == "" || string(result.Body) != s.recordedBody) {
			t.Errorf("%s got the response %q, want the recorded %q", id, result.Body, s.recordedBody)
		}
		s.mu.Unlock()
		s.count(string(result.Outcome) + " " + string(result.Reason))
		return
	}
	if !s.mayDispatch {
		t.Errorf("%s was dispatched although an earlier request may have been executed", id)
	}
	s.mayDispatch = false
	exchangeTime := time.Duration(s.random.IntN(400)) * time.Millisecond
	ending := s.random.IntN(6) // 0: crash, 1: lost response, 2: response, others: not executed
	s.mu.Unlock()
	time.Sleep(exchangeTime)
	final := request.Rejected(request.ReasonConnectFailed)
	switch ending {
	case 0:
		s.count("crash")
		return
	case 1:
		final = request.UnknownResult(request.ReasonLostResponse)
	case 2:
		final = request.Result{Outcome: request.Answered, Status: 201, Body: []byte(id)}
	}
	s.mu.Lock()
	s.mayDispatch = final.Outcome == request.NotRun
	s.recordedBody = string(final.Body)
	s.mu.Unlock()
	if err := held.Finish(context.Background(), final); err != nil {
		s.count("not recorded")
	}
	s.count("dispatch")
}

// runSchedule sends 40 requests with the same key through 3 VMs within 20 s, at times
// that follow from the seed. It adds the number of each kind of result to counts.
func runSchedule(t *rapid.T, seed uint64, counts map[string]int) {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), mayDispatch: true, counts: counts}
	table := newTable(rand.New(rand.NewPCG(seed, 2)))
	var callers conc.WaitGroup
	var fleet []*Claims
	for i := range 3 {
		fleet = append(fleet, New(vm.VM{ID: vm.ID(fmt.Sprint(i))}, table, time.Now))
	}
	type start struct{ after, vm int }
	starts := make([]start, 40)
	for i := range starts {
		starts[i] = start{s.random.IntN(20_000), s.random.IntN(len(fleet))}
	}
	for i, start := range starts {
		callers.Go(func() {
			time.Sleep(time.Duration(start.after) * time.Millisecond)
			s.attempt(t, fleet[start.vm], fmt.Sprint("request", i))
		})
	}
	callers.Wait()
	for _, c := range fleet {
		c.Close()
	}
}

// Guards against dispatching a request again that may have been executed (rule
// P10). The store loses requests and replies and delays writes, and VMs crash
// between the claim and its end, so a VM may misjudge who holds the claim.
func TestRequestRunsAtMostOncePerKey(t *testing.T) {
	counts := make(map[string]int)
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		// rapid cannot run inside a synctest bubble, so each schedule has its own.
		synctest.Test(outer, func(*testing.T) { runSchedule(t, seed, counts) })
	})
	t.Log(counts)
	if counts["dispatch"] == 0 || counts["crash"] == 0 || counts["answered "] == 0 {
		t.Fatal("the schedules did not produce a dispatch, a crash and a replayed response each")
	}
}

// Guards against claims that use a transaction each, which would exceed the
// store's write rate, and against a duplicate claim that makes the other claims of
// its transaction fail.
func TestClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(nil)
		c := New(vm.VM{ID: "a"}, table, time.Now)
		begin := func(id, key string) (granted bool) {
			held, _, err := c.Begin(context.Background(), newRequest(id, key))
			return err == nil && held != nil
		}
		beginAll := func(round string) (granted int) {
			var mu sync.Mutex
			var wg conc.WaitGroup
			for i := range 50 {
				wg.Go(func() {
					if begin(fmt.Sprint(round, i), fmt.Sprint(round, i)) {
						mu.Lock()
						granted++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			return granted
		}
		if n := beginAll("first"); n != 50 || table.transactions > batchGroups {
			t.Fatalf("%d of 50 claims were granted, in %d transactions", n, table.transactions)
		}
		if !begin("x", "second7") {
			t.Fatal("the first claim of the key second7 was not granted")
		}
		if n := beginAll("second"); n != 49 {
			t.Fatalf("%d of 50 claims with one duplicate were granted, want 49", n)
		}
		c.Close()
	})
}

// Guards against wrong results for a repeated request. It must get the recorded
// response without cookies, a rejection if it differs from the first one, "in
// progress" only until the first one's deadline, and a new claim only after
// Retention.
func TestRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		c := New(vm.VM{ID: "a"}, newTable(nil), time.Now)
		first, _, _ := c.Begin(ctx, newRequest("1", "key"))
		big, _, _ := c.Begin(ctx, newRequest("2", "big"))
		expect := func(r *request.Request, outcome request.Outcome, reason request.Reason) *request.Result {
			t.Helper()
			_, result, err := c.Begin(ctx, r)
			if err != nil || result == nil || result.Outcome != outcome || result.Reason != reason {
				t.Fatalf("got result %+v, error %v, want outcome %s, reason %q", result, err, outcome, reason)
			}
			return result
		}
		expect(newRequest("3", "key"), request.Unknown, request.ReasonInProgress)
		time.Sleep(2 * time.Second)
		expect(newRequest("4", "key"), request.Unknown, request.ReasonDuplicate)
		header := []request.HeaderField{{Name: "Set-Cookie", Value: "s"}, {Name: "Content-Type", Value: "text/plain"}}
		done := request.Result{Outcome: request.Answered, Status: 201, Header: header, Body: []byte("lent")}
		if err := first.Finish(ctx, done); err != nil {
			t.Fatal(err)
		}
		got := expect(newRequest("5", "key"), request.Answered, request.ReasonNone)
		if got.Status != 201 || string(got.Body) != "lent" || len(got.Header) != 1 || got.Header[0] != header[1] {
			t.Fatalf("the replayed response is %+v", got)
		}
		other := newRequest("6", "key")
		other.Body = memory.BodyOf([]byte("other"))
		expect(other, request.NotRun, request.ReasonIdempotencyKeyReused)
		done.Body = make([]byte, MaxReplayBytes+1)
		if err := big.Finish(ctx, done); err != nil {
			t.Fatal(err)
		}
		expect(newRequest("7", "big"), request.Unknown, request.ReasonResponseTooLarge)

		ctx, cancel := context.WithCancel(ctx)
		var expiry conc.WaitGroup
		expiry.Go(func() { c.RunExpiry(ctx, alwaysHeld{}, func(err error) { t.Error(err) }) })
		time.Sleep(Retention - time.Minute)
		expect(newRequest("8", "key"), request.Answered, request.ReasonNone)
		time.Sleep(time.Hour)
		if held, _, _ := c.Begin(ctx, newRequest("9", "key")); held == nil {
			t.Fatal("the claim still exists after the retention")
		}
		cancel()
		expiry.Wait()
		c.Close()
	})
}

// alwaysHeld is an ExpiryRole that this VM always holds.
type alwaysHeld struct{}

func (alwaysHeld) HeldBySelf(time.Time) bool { return true }
