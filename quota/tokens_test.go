package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// testFleet runs the real entry and home sides of several VMs in simulated
// time. Messages take 0.05 to 1.5 ms each way.
type testFleet struct {
	list     vm.MemberList
	since    time.Time
	index    *contract.Index
	handlers map[vm.ID]map[string]link.Handler
	tokens   []*Tokens
	homes    []*Homes
	takes    atomic.Int64
	returns  atomic.Int64
	fault    atomic.Pointer[func() error] // runs before each call
}

type testNode struct {
	*testFleet
	id vm.ID
}

func (n testNode) List() vm.MemberList    { return n.list }
func (n testNode) Index() *contract.Index { return n.index }

func (n testNode) MayAct(_ time.Time, role vm.Role) (time.Time, bool) {
	holder, _ := n.list.Holder(role)
	return n.since, holder.ID == n.id
}

func (n testNode) Handle(method string, handler link.Handler) { n.handlers[n.id][method] = handler }

func (n testNode) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	if method == MethodTake {
		n.takes.Add(1)
	} else {
		n.returns.Add(1)
	}
	if fault := n.fault.Load(); fault != nil {
		if err := (*fault)(); err != nil {
			return err
		}
	}
	raw, _ := json.Marshal(params)
	travel()
	reply, err := n.handlers[to.ID][method](ctx, n.id, raw)
	if err != nil {
		return errors.Mark(err, link.ErrRejected)
	}
	travel()
	raw, _ = json.Marshal(reply)
	return json.Unmarshal(raw, result)
}

func (f *testFleet) setFault(fault func() error) { f.fault.Store(&fault) }

func travel() {
	time.Sleep(50*time.Microsecond + time.Duration(rand.Int64N(int64(1450*time.Microsecond))))
}

func newTestFleet(vms int, teams ...contract.Team) *testFleet {
	f := &testFleet{
		since:    time.Now(),
		index:    contract.NewIndex(&contract.Configuration{Teams: teams}),
		handlers: make(map[vm.ID]map[string]link.Handler),
	}
	f.list.Version = 1
	for i := range vms {
		f.list.VMs = append(f.list.VMs, vm.VM{ID: vm.ID(fmt.Sprint("vm", i))})
	}
	for _, v := range f.list.VMs {
		node := testNode{f, v.ID}
		f.handlers[v.ID] = make(map[string]link.Handler)
		homes := NewHomes(node, node, time.Now)
		homes.Register(node)
		f.homes = append(f.homes, homes)
		f.tokens = append(f.tokens, NewTokens(v, node, node, time.Now))
	}
	return f
}

// run starts the upkeep of all VMs and returns a function that ends it.
func (f *testFleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, tokens := range f.tokens {
		wg.Go(func() { tokens.Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

// smallTeams sends the traffic of small teams that stay inside rate 2, burst 3
// as seen by an ideal bucket, and counts the refused requests.
func smallTeams(t *testing.T, seed uint64, arrive func(r *rand.Rand) time.Duration, place func(r *rand.Rand, n int) int) {
	const teams, vms, length = 60, 48, 40 * time.Second
	var sent, refused atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		var bought []contract.Team
		for i := range teams {
			bought = append(bought, contract.Team{ID: contract.TeamID(fmt.Sprint("team", i)), RatePerSecond: 2, Burst: 3})
		}
		f := newTestFleet(vms, bought...)
		stop := f.run()
		time.Sleep(10 * time.Second)
		var callers conc.WaitGroup
		for i, team := range bought {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				level, at, end := 3.0, time.Now(), time.Now().Add(length)
				var requests conc.WaitGroup
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(arrive(random))
					level = min(3, level+2*time.Since(at).Seconds())
					at = time.Now()
					for ; level >= 1; n++ {
						level--
						from := f.tokens[(place(random, n)+i)%vms]
						requests.Go(func() {
							sent.Add(1)
							if _, err := from.Take(context.Background(), team.ID); err != nil {
								refused.Add(1)
							}
						})
						if random.IntN(3) > 0 {
							break
						}
					}
				}
				requests.Wait()
			})
		}
		callers.Wait()
		stop()
		t.Logf("seed %d: %d of %d requests inside the rate refused; %d takes, %d return messages",
			seed, refused.Load(), sent.Load(), f.takes.Load(), f.returns.Load())
	})
	if refused.Load()*1000 > sent.Load() {
		t.Fatalf("%d of %d requests inside the rate refused, the bound is 0.1%%", refused.Load(), sent.Load())
	}
}

// Guards the bound on wrongful rejections without faults: tokens of small teams
// that lie idle on other VMs, or loans that stay open after their use.
func TestSmallTeamsInsideTheirRateAreServed(t *testing.T) {
	arrivals := []func(r *rand.Rand) time.Duration{
		func(*rand.Rand) time.Duration { return 100 * time.Millisecond },
		func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(450*time.Millisecond)) },
		func(r *rand.Rand) time.Duration { return time.Duration(r.IntN(3000)) * time.Millisecond },
	}
	places := []func(r *rand.Rand, n int) int{
		func(r *rand.Rand, _ int) int { return r.IntN(48) },
		func(*rand.Rand, int) int { return 0 },
		func(_ *rand.Rand, n int) int { return n / 10 },
	}
	for i, when := range []string{"even", "random", "bursts"} {
		for j, where := range []string{"spread", "one VM", "moving"} {
			t.Run(when+"/"+where, func(t *testing.T) { smallTeams(t, uint64(3*i+j), arrivals[i], places[j]) })
		}
	}
}

// Guards against a call per request and against starving waiters: concurrent
// requests of a team share one call, and a rejection names the next token.
func TestConcurrentTakesShareOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(3, contract.Team{ID: "a", RatePerSecond: 1, Burst: 20})
		stop := f.run()
		defer stop()
		time.Sleep(time.Minute)
		var granted, rejected atomic.Int64
		var wg conc.WaitGroup
		for range 50 {
			wg.Go(func() {
				_, err := f.tokens[0].Take(context.Background(), "a")
				var over *RejectedError
				if err == nil {
					granted.Add(1)
				} else if errors.As(err, &over) && over.RetryAfter > 0 {
					rejected.Add(1)
				}
			})
		}
		wg.Wait()
		if granted.Load() != 20 || rejected.Load() != 30 || f.takes.Load() > 3 {
			t.Fatalf("%d granted, %d rejected, %d calls", granted.Load(), rejected.Load(), f.takes.Load())
		}
	})
}

// Guards the typed errors and the second try: an unreachable home, a home that
// answers on the second call, a caller that gives up, a team without a home.
func TestTakeReportsWhyThereIsNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, contract.Team{ID: "a", RatePerSecond: 10, Burst: 5})
		stop := f.run()
		defer stop()
		time.Sleep(10 * time.Second)
		f.setFault(func() error { return link.ErrUnreachable })
		if _, err := f.tokens[0].Take(context.Background(), "a"); !errors.Is(err, ErrHomeUnreachable) || f.takes.Load() != 2 {
			t.Fatalf("unreachable home: %v after %d calls", err, f.takes.Load())
		}
		var calls atomic.Int64
		f.setFault(func() error {
			if calls.Add(1) == 1 {
				return link.ErrNoReply
			}
			return nil
		})
		if _, err := f.tokens[0].Take(context.Background(), "a"); err != nil {
			t.Fatalf("second try: %v", err)
		}
		if _, err := f.tokens[0].Take(context.Background(), "b"); !errors.Is(err, ErrUnknownTeam) {
			t.Fatalf("unknown team: %v", err)
		}
		f.setFault(func() error { time.Sleep(time.Second); return link.ErrNoReply })
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		begin := time.Now()
		if _, err := f.tokens[1].Take(ctx, "a"); !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) > 30*time.Millisecond {
			t.Fatalf("deadline: %v after %v", err, time.Since(begin))
		}
	})
}
