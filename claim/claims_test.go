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

	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// fakeTable is a table in memory. With a random source, calls are slow, fail
// before or after their effect, or take effect seconds after their failure.
type fakeTable struct {
	mu           sync.Mutex
	random       *rand.Rand
	rows         map[string]store.Item
	transactions int
}

func (f *fakeTable) roll(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		return n - 1
	}
	return f.random.IntN(n)
}

func (f *fakeTable) Get(_ context.Context, key string) (store.Item, error) {
	time.Sleep(time.Duration(f.roll(50)) * time.Millisecond)
	if f.roll(10) == 0 {
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
	time.Sleep(time.Duration(f.roll(50)) * time.Millisecond)
	switch f.roll(10) {
	case 0:
		return store.ErrNotDone
	case 1:
		return store.ErrUnknownOutcome
	case 2:
		_ = f.apply(writes)
		return store.ErrUnknownOutcome
	case 3:
		time.AfterFunc(time.Duration(f.roll(6000))*time.Millisecond, func() { _ = f.apply(writes) })
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
			return errors.New("the transaction is not valid")
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

func loan(id, key string) *request.Request {
	return &request.Request{
		ID: id, Team: "team", Method: "POST", Target: "/loans", Body: []byte(key),
		IdempotencyKey: key, Deadline: time.Now().Add(time.Second),
	}
}

// schedule sends one request again and again through several VMs, some of which
// crash after the claim, and checks each dispatch.
type schedule struct {
	mu       sync.Mutex
	random   *rand.Rand
	runnable bool // every earlier dispatch certainly did not run
	body     string
	counts   map[string]int
}

func (s *schedule) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *schedule) attempt(t *rapid.T, c *Claims, id string) {
	r := loan(id, "key")
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	ticket, result, err := c.Begin(ctx, r)
	if err != nil {
		t.Errorf("begin: %v", err)
		return
	}
	s.mu.Lock()
	if result != nil {
		if result.Outcome == request.Answered && (s.body == "" || string(result.Body) != s.body) {
			t.Errorf("%s got the response %q instead of %q", id, result.Body, s.body)
		}
		s.mu.Unlock()
		s.count(string(result.Outcome) + " " + string(result.Reason))
		return
	}
	if !s.runnable {
		t.Errorf("%s was dispatched although an earlier request may have run", id)
	}
	s.runnable = false
	travel := time.Duration(s.random.IntN(400)) * time.Millisecond
	fate := s.random.IntN(6)
	s.mu.Unlock()
	time.Sleep(travel)
	final := request.Rejected(request.ReasonConnectFailed)
	switch fate {
	case 0:
		s.count("crash")
		return
	case 1:
		final = request.UnknownResult(request.ReasonLostResponse)
	case 2:
		final = request.Result{Outcome: request.Answered, Status: 201, Body: []byte(id)}
	}
	s.mu.Lock()
	s.runnable = final.Outcome == request.NotRun
	s.body = string(final.Body)
	s.mu.Unlock()
	if err := ticket.Finish(context.Background(), final); err != nil {
		s.count("not recorded")
	}
	s.count("dispatch")
}

func runSchedule(t *rapid.T, seed uint64, counts map[string]int) {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), runnable: true, counts: counts}
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

// Guards P10: a second dispatch of a request that may have run, with a store
// that fails before and after writes, delays them, and VMs that crash.
func TestRequestRunsAtMostOncePerKey(t *testing.T) {
	counts := make(map[string]int)
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		// rapid cannot run inside of a bubble, so each schedule gets its own.
		synctest.Test(outer, func(*testing.T) { runSchedule(t, seed, counts) })
	})
	t.Log(counts)
	if counts["dispatch"] == 0 || counts["crash"] == 0 || counts["answered "] == 0 {
		t.Fatal("the schedules exercised too little")
	}
}

// Guards the store's write budget, and the other claims of a transaction
// against one that fails its condition.
func TestClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(nil)
		c := New(vm.VM{ID: "a"}, table, time.Now)
		begin := func(id, key string) (granted bool) {
			ticket, _, err := c.Begin(context.Background(), loan(id, key))
			return err == nil && ticket != nil
		}
		all := func(round string) (granted int) {
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
		if n := all("first"); n != 50 || table.transactions > lanes {
			t.Fatalf("%d claims in %d transactions", n, table.transactions)
		}
		if !begin("x", "second7") {
			t.Fatal("no claim")
		}
		if n := all("second"); n != 49 {
			t.Fatalf("one duplicate among 50 claims: %d were granted", n)
		}
		c.Close()
	})
}

// Guards what a repeated request gets: the recorded response without cookies,
// a rejection for another request with the same key, "in progress" only until
// the deadline, and a new run only after the retention.
func TestRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		c := New(vm.VM{ID: "a"}, newTable(nil), time.Now)
		first, _, _ := c.Begin(ctx, loan("1", "key"))
		big, _, _ := c.Begin(ctx, loan("2", "big"))
		expect := func(r *request.Request, outcome request.Outcome, reason request.Reason) *request.Result {
			t.Helper()
			_, result, err := c.Begin(ctx, r)
			if err != nil || result == nil || result.Outcome != outcome || result.Reason != reason {
				t.Fatalf("got %+v, %v, want %s %s", result, err, outcome, reason)
			}
			return result
		}
		expect(loan("3", "key"), request.Unknown, request.ReasonInProgress)
		time.Sleep(2 * time.Second)
		expect(loan("4", "key"), request.Unknown, request.ReasonDuplicate)
		header := []request.HeaderField{{Name: "Set-Cookie", Value: "s"}, {Name: "Content-Type", Value: "text/plain"}}
		done := request.Result{Outcome: request.Answered, Status: 201, Header: header, Body: []byte("lent")}
		if err := first.Finish(ctx, done); err != nil {
			t.Fatal(err)
		}
		got := expect(loan("5", "key"), request.Answered, request.ReasonNone)
		if got.Status != 201 || string(got.Body) != "lent" || len(got.Header) != 1 || got.Header[0] != header[1] {
			t.Fatalf("replayed %+v", got)
		}
		other := loan("6", "key")
		other.Body = []byte("other")
		expect(other, request.NotRun, request.ReasonIdempotencyKeyReused)
		done.Body = make([]byte, MaxReplayBytes+1)
		if err := big.Finish(ctx, done); err != nil {
			t.Fatal(err)
		}
		expect(loan("7", "big"), request.Unknown, request.ReasonResponseTooLarge)

		ctx, cancel := context.WithCancel(ctx)
		var upkeep conc.WaitGroup
		upkeep.Go(func() { c.RunExpiry(ctx, always{}, func(err error) { t.Error(err) }) })
		time.Sleep(Retention - time.Minute)
		expect(loan("8", "key"), request.Answered, request.ReasonNone)
		time.Sleep(time.Hour)
		if ticket, _, _ := c.Begin(ctx, loan("9", "key")); ticket == nil {
			t.Fatal("the claim outlived the retention")
		}
		cancel()
		upkeep.Wait()
		c.Close()
	})
}

type always struct{}

func (always) HeldBySelf(time.Time) bool { return true }
