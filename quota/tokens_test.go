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
	tokens   []*TokenClient
	homes    []*Homes
	count    map[string]*atomic.Int64
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
	n.count[method].Add(1)
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
		count:    map[string]*atomic.Int64{MethodTake: {}, MethodReturn: {}, MethodRecall: {}},
	}
	f.list.Version = 1
	for i := range vms {
		f.list.VMs = append(f.list.VMs, vm.VM{ID: vm.ID(fmt.Sprint("vm", i))})
	}
	for _, v := range f.list.VMs {
		node := testNode{f, v.ID}
		f.handlers[v.ID] = make(map[string]link.Handler)
		homes := NewHomes(node, node, node, time.Now)
		homes.Register(node)
		f.homes = append(f.homes, homes)
		tokens := NewTokenClient(v, node, node, time.Now)
		tokens.Register(node)
		f.tokens = append(f.tokens, tokens)
	}
	return f
}

// run starts the upkeep of all VMs and returns a function that ends it.
func (f *testFleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for i := range f.tokens {
		wg.Go(func() { f.tokens[i].Run(ctx) })
		wg.Go(func() { f.homes[i].Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

// traffic describes teams that stay inside their rate and burst, as seen by an
// ideal bucket.
type traffic struct {
	teams  int
	rate   float64
	burst  int
	length time.Duration
	batch  float64 // mean number of requests that arrive together
	arrive func(r *rand.Rand) time.Duration
	place  func(r *rand.Rand, n int) int
}

// send sends the traffic over 48 VMs and counts the refused requests.
func (load traffic) send(t *testing.T, seed uint64) {
	const vms = 48
	var sent, refused, local atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		var bought []contract.Team
		for i := range load.teams {
			bought = append(bought, contract.Team{ID: contract.TeamID(fmt.Sprint("team", i)), RatePerSecond: load.rate, Burst: load.burst})
		}
		f := newTestFleet(vms, bought...)
		stop := f.run()
		time.Sleep(10 * time.Second)
		var callers conc.WaitGroup
		for i, team := range bought {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				level, at, end := float64(load.burst), time.Now(), time.Now().Add(load.length)
				var requests conc.WaitGroup
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(load.arrive(random))
					level = min(float64(load.burst), level+load.rate*time.Since(at).Seconds())
					at = time.Now()
					for ; level >= 1; n++ {
						level--
						from := f.tokens[(load.place(random, n)+i)%vms]
						requests.Go(func() {
							sent.Add(1)
							grant, err := from.Take(context.Background(), &team)
							if err != nil {
								refused.Add(1)
							}
							if grant.Local {
								local.Add(1)
							}
						})
						if random.Float64()*load.batch < 1 {
							break
						}
					}
				}
				requests.Wait()
			})
		}
		callers.Wait()
		stop()
		t.Logf("seed %d: %d of %d requests inside the rate refused, %d local; %d takes, %d return and %d recall messages",
			seed, refused.Load(), sent.Load(), local.Load(), f.count[MethodTake].Load(), f.count[MethodReturn].Load(), f.count[MethodRecall].Load())
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
			t.Run(when+"/"+where, func(t *testing.T) {
				traffic{30, 2, 3, 40 * time.Second, 1.5, arrivals[i], places[j]}.send(t, uint64(3*i+j))
			})
		}
	}
}

// Guards the same bound for a few large teams, whose tokens are taken ahead.
func TestLargeTeamsInsideTheirRateAreServed(t *testing.T) {
	place := func(r *rand.Rand, _ int) int { return r.IntN(48) }
	seed := uint64(10)
	for _, rate := range []float64{50, 400, 3000} {
		for _, burst := range []float64{rate / 20, rate / 5} {
			for _, batch := range []float64{1.5, burst / 2} {
				arrive := func(r *rand.Rand) time.Duration {
					return time.Duration(r.ExpFloat64() * float64(time.Second) / rate * batch / 0.7)
				}
				t.Run(fmt.Sprint(rate, "/", burst, "/", batch), func(t *testing.T) {
					traffic{1, rate, int(burst), 3 * time.Second, batch, arrive, place}.send(t, seed)
				})
				seed++
			}
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
				_, err := f.tokens[0].Take(context.Background(), &contract.Team{ID: "a"})
				var over *RejectedError
				if err == nil {
					granted.Add(1)
				} else if errors.As(err, &over) && over.RetryAfter > 0 {
					rejected.Add(1)
				}
			})
		}
		wg.Wait()
		if granted.Load() != 20 || rejected.Load() != 30 || f.count[MethodTake].Load() > 3 {
			t.Fatalf("%d granted, %d rejected, %d calls", granted.Load(), rejected.Load(), f.count[MethodTake].Load())
		}
	})
}

// Guards the typed errors and the tries: an unreachable home, a home that moves,
// a home that answers on the second call, a caller that gives up, a team without a home.
func TestTakeReportsWhyThereIsNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, contract.Team{ID: "a", RatePerSecond: 10, Burst: 5})
		stop := f.run()
		defer stop()
		time.Sleep(10 * time.Second)
		f.setFault(func() error { return link.ErrUnreachable })
		// Two calls for each try, one try in each movePause until maxMoveWait.
		const tries = int64(maxMoveWait/movePause) + 1
		if _, err := f.tokens[0].Take(context.Background(), &contract.Team{ID: "a"}); !errors.Is(err, ErrHomeUnreachable) || f.count[MethodTake].Load() != 2*tries {
			t.Fatalf("unreachable home: %v after %d calls", err, f.count[MethodTake].Load())
		}
		moved := time.Now().Add(time.Second)
		f.setFault(func() error {
			if time.Now().Before(moved) {
				return link.ErrUnreachable
			}
			return nil
		})
		if _, err := f.tokens[0].Take(context.Background(), &contract.Team{ID: "a"}); err != nil || time.Now().After(moved.Add(movePause)) {
			t.Fatalf("home that moves: %v", err)
		}
		var calls atomic.Int64
		f.setFault(func() error {
			if calls.Add(1) == 1 {
				return link.ErrNoReply
			}
			return nil
		})
		if _, err := f.tokens[0].Take(context.Background(), &contract.Team{ID: "a"}); err != nil {
			t.Fatalf("second try: %v", err)
		}
		if _, err := f.tokens[0].Take(context.Background(), &contract.Team{ID: "b"}); !errors.Is(err, ErrUnknownTeam) {
			t.Fatalf("unknown team: %v", err)
		}
		f.setFault(func() error { time.Sleep(time.Second); return link.ErrNoReply })
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		begin := time.Now()
		if _, err := f.tokens[1].Take(ctx, &contract.Team{ID: "a"}); !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) > 30*time.Millisecond {
			t.Fatalf("deadline: %v after %v", err, time.Since(begin))
		}
	})
}
