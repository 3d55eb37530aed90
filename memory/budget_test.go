package memory

import (
	"bytes"
	"io"
	"slices"
	"testing"
	"time"

	_ "almondstile/standin/seeded"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

const testTotal = 1 << 20

// testBudget is a budget whose clock the test moves.
type testBudget struct {
	*Budget
	now time.Time
}

func newTestBudget() *testBudget {
	b := &testBudget{now: time.Unix(0, 0)}
	b.Budget = NewBudget(testTotal, func() time.Time { return b.now }, nil)
	return b
}

// Guards against an order in which callers get on at the cost of those that don't: each
// case names who is turned away first, in order.
func TestOrderOfThoseTurnedAway(t *testing.T) {
	const kb = 1 << 10
	sound := holder{address: "a", held: 100 * kb, moved: 100 * kb, missing: 100 * kb, age: time.Second, idle: time.Millisecond}
	with := func(change func(*holder)) holder {
		h := sound
		change(&h)
		return h
	}
	stalled := with(func(h *holder) { h.idle, h.missing = 2*time.Second, 1 })
	longer := with(func(h *holder) { h.idle, h.missing = 5*time.Second, 1 })
	slow := with(func(h *holder) { h.moved, h.missing = 10*kb, 190*kb })
	smallOne := with(func(h *holder) { h.held, h.missing, h.age = 48*kb, 0, time.Second })
	largeOne := with(func(h *holder) { h.held, h.missing, h.age = 140*kb, 0, time.Millisecond })
	begun := with(func(h *holder) { h.held, h.moved, h.age, h.idle = 48*kb, 1, time.Millisecond, 0 })
	serving := with(func(h *holder) { h.stage = Serving })
	unread := with(func(h *holder) { h.stage, h.idle = Answering, 3*time.Second })
	read := with(func(h *holder) { h.stage = Answering })
	other := with(func(h *holder) { h.address = "b" })
	cases := map[string]struct {
		holders   []holder
		need      int64
		fairShare int64
		want      []int
	}{
		"nothing needed":                      {[]holder{sound, stalled}, 0, testTotal, nil},
		"stalled, though nearly complete":     {[]holder{sound, stalled}, 1, testTotal, []int{1}},
		"longest stalled first":               {[]holder{stalled, longer, sound}, 150 * kb, testTotal, []int{1, 0}},
		"least complete and slowest":          {[]holder{sound, slow}, 1, testTotal, []int{1}},
		"the larger of two that are complete": {[]holder{smallOne, largeOne}, 1, testTotal, []int{1}},
		"not a small one that has just begun": {[]holder{begun, smallOne}, 1, testTotal, []int{1}},
		"as many as needed":                   {[]holder{sound, slow, stalled}, 201 * kb, testTotal, []int{2, 1, 0}},
		"never one that may be running":       {[]holder{serving, serving}, 1, testTotal, nil},
		"never an answer that is being read":  {[]holder{read, serving}, 1, testTotal, nil},
		"an answer that nobody reads":         {[]holder{read, unread}, 1, testTotal, []int{1}},
		"requests before answers":             {[]holder{unread, stalled}, 1, testTotal, []int{1}},
		"the address with more than its part": {[]holder{other, sound, sound, sound}, 1, 200 * kb, []int{1}},
	}
	for name, c := range cases {
		if got := victims(c.holders, c.need, c.fairShare); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards against kept connections of ordinary callers that pay for a crowd, against new
// connections that are closed before their callers could send, and against a crowd that keeps
// out others whatever it does with its connections: each case names the connections in the
// order in which they give way.
func TestOrderOfConnectionsThatGiveWay(t *testing.T) {
	conn := holder{address: "a", connected: true, stage: Waiting}
	with := func(change func(*holder)) holder {
		h := conn
		change(&h)
		return h
	}
	waiting := func(requests int64, idle time.Duration) holder {
		return with(func(h *holder) { h.requests, h.idle, h.age = requests, idle, idle })
	}
	message := func(stage Stage, idle time.Duration) holder {
		return with(func(h *holder) { h.stage, h.idle, h.age, h.moved, h.missing = stage, idle, 3*time.Second, 10, 1000 })
	}
	faster := with(func(h *holder) { h.stage, h.age, h.moved, h.missing = Receiving, 3*time.Second, 1000, 10 })
	arrived := with(func(h *holder) { h.stage, h.age, h.missing = Receiving, time.Millisecond, 1000 })
	other := with(func(h *holder) { h.address, h.requests, h.idle = "b", 1, time.Hour })
	cases := map[string]struct {
		holders []holder
		want    []int
	}{
		"answered for the last time, then stalled": {[]holder{message(Receiving, 2*time.Second), message(Closing, 2*time.Second)}, []int{1, 0}},
		"a request before an unread answer":        {[]holder{message(Answering, 3*time.Second), message(Receiving, 2*time.Second)}, []int{1, 0}},
		"one request each, the longest idle first": {[]holder{waiting(1, 2*time.Second), waiting(1, 5*time.Second)}, []int{1, 0}},
		"few requests before many":                 {[]holder{waiting(20, 6*time.Second), waiting(1, 2*time.Second)}, []int{1, 0}},
		"abandoned, then slow, then kept":          {[]holder{waiting(20, time.Second), message(Receiving, 0), waiting(1, 2*time.Second)}, []int{2, 1, 0}},
		"the slowest request first":                {[]holder{faster, message(Receiving, 0)}, []int{1, 0}},
		"unused for long, then kept, then new":     {[]holder{waiting(0, time.Second), waiting(20, time.Second), waiting(0, time.Minute)}, []int{2, 1, 0}},
		"the newest of the new ones first":         {[]holder{waiting(0, 2*time.Second), waiting(0, time.Second)}, []int{1, 0}},
		"none that has just begun":                 {[]holder{waiting(0, time.Millisecond), arrived, message(Closing, 0)}, nil},
		"none that may be running or is read":      {[]holder{message(Serving, time.Hour), message(Answering, 0)}, nil},
		"the address with most connections":        {[]holder{other, waiting(20, 0), waiting(20, 0), waiting(20, 0), waiting(20, time.Millisecond)}, []int{4, 0, 1, 2, 3}},
	}
	for name, c := range cases {
		var left, got []int
		for i := range c.holders {
			if c.holders[i].mayGiveWay() {
				left = append(left, i)
			}
		}
		for len(left) > 0 {
			var holders []holder
			for _, i := range left {
				holders = append(holders, c.holders[i])
			}
			first := firstVictim(holders)
			got = append(got, left[first])
			left = slices.Delete(left, first, first+1)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a connection that is turned away while its request may be running, or
// twice, and against connections whose end leaves something behind.
func TestConnectionsGiveWayOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget()
		listeners := []Group{"callers", "operators"}
		turnedAway := make(map[int]int)
		var leases []*Lease
		for i := range rapid.IntRange(1, 20).Draw(t, "connections") {
			l := b.Open(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"), func() { turnedAway[i]++ })
			l.Connect(listeners[rapid.IntRange(0, 1).Draw(t, "listener")], 10)
			leases = append(leases, l)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "connection")
			l, before := leases[i], turnedAway[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				l.Begin(Receiving, 100)
			case 1:
				if err := l.Serve(1); (err == nil) == l.TurnedAway() {
					t.Fatalf("connection %d, turned away %v, got %v", i, l.TurnedAway(), err)
				} else if err == nil {
					l.GiveBack(1)
				}
			case 2:
				l.Wait()
			case 3:
				b.TurnOneAway(l.group, l)
				if turnedAway[i] != before {
					t.Fatal("the connection that was excepted was turned away")
				}
			case 4:
				serving := Stage(l.stage.Load()) == Serving
				group := listeners[rapid.IntRange(0, 1).Draw(t, "full listener")]
				b.TurnOneAway(group, nil)
				if turnedAway[i] != before && (serving || l.group != group) {
					t.Fatalf("connection %d of %v was turned away for one of %v; serving: %v", i, l.group, group, serving)
				}
			case 5:
				if err := l.TakeForConnection(10, 0); (err == nil) == l.TurnedAway() {
					t.Fatalf("connection %d, turned away %v, got %v", i, l.TurnedAway(), err)
				}
			case 6:
				l.Disconnect()
				if err := l.TakeForConnection(10, 0); !errors.Is(err, ErrTurnedAway) {
					t.Fatalf("a closed connection got %v", err)
				}
				l.Connect(l.group, 10)
			}
		}
		for i, l := range leases {
			if turnedAway[i] > 1 {
				t.Fatalf("connection %d was turned away %d times", i, turnedAway[i])
			}
			l.Disconnect()
		}
		if b.Used() != 0 || b.Holders() != 0 || b.leaving != 0 {
			t.Fatalf("%d bytes, %d holders and %d leaving bytes are left", b.Used(), b.Holders(), b.leaving)
		}
	})
}

// Guards against a budget that is exceeded, against bytes that are not given back whatever
// the order in which leases end, and against the refusal of a request that is alone.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget()
		type conn struct {
			lease *Lease
			held  int64
			gone  bool
		}
		var conns []*conn
		for range rapid.IntRange(1, 20).Draw(t, "connections") {
			c := &conn{}
			c.lease = b.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), func() { c.gone = true })
			c.lease.Begin(Receiving, testTotal/2)
			conns = append(conns, c)
		}
		giveBack := func(c *conn) {
			c.lease.GiveBack(c.held)
			c.held = 0
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			n := int64(rapid.SampledFrom([]int{smallPieceBytes, largePieceBytes}).Draw(t, "bytes"))
			b.mu.Lock()
			small := c.lease.held+n <= smallBytes
			fits, alone := b.room(n, small) && !c.lease.leaving.Load(), len(b.holding) == 0
			b.mu.Unlock()
			switch {
			case rapid.IntRange(0, 9).Draw(t, "end") == 0:
				giveBack(c)
			case fits:
				if err := c.lease.Take(n); err != nil {
					t.Fatalf("%v though there is room", err)
				}
				c.held += n
				c.lease.Move(b.now, int(n))
			case alone && !c.gone:
				t.Fatal("no room for the only lease")
			default:
				b.mu.Lock()
				chosen, _ := b.relieve(c.lease, n, small)
				b.mu.Unlock()
				for _, l := range chosen {
					l.turnAway()
				}
				for _, other := range conns {
					if other.gone {
						giveBack(other)
					}
				}
			}
			if used := b.Used(); used > testTotal || used < 0 {
				t.Fatalf("%d bytes are used of %d", used, testTotal)
			}
		}
		rapid.Permutation(conns).Draw(t, "order")
		for _, c := range conns {
			giveBack(c)
		}
		if b.Used() != 0 || b.Holders() != 0 || b.leaving != 0 {
			t.Fatalf("%d bytes, %d holders and %d leaving bytes are left", b.Used(), b.Holders(), b.leaving)
		}
	})
}

// Guards against a small request that is refused because large bodies use the whole
// budget, and against a large one that is refused while it is alone.
func TestReserveIsForSmallRequests(t *testing.T) {
	b := newTestBudget()
	large := b.Open("a", func() { t.Error("turned away") })
	large.Begin(Serving, testTotal)
	main := int64(testTotal - testTotal/8)
	if err := large.Take(main); err != nil {
		t.Fatalf("a large request alone: %v", err)
	}
	small := b.Open("a", func() {})
	small.Begin(Receiving, smallPieceBytes)
	if err := small.Take(smallPieceBytes); err != nil {
		t.Errorf("a small request beside it: %v", err)
	}
	second := b.Open("a", func() {})
	second.Begin(Receiving, testTotal)
	if err := second.Take(2 * smallBytes); !errors.Is(err, ErrTurnedAway) && !errors.Is(err, ErrShort) {
		t.Errorf("a second large request: %v", err)
	}
}

// Guards against a request that waits for bytes that were given back.
func TestTakeWaitsForThoseTurnedAway(t *testing.T) {
	b := newTestBudget()
	b.clock = time.Now
	var wg conc.WaitGroup
	defer wg.Wait()
	crowd := make([]*Lease, 7)
	for i := range crowd {
		gone := make(chan struct{})
		crowd[i] = b.Open("a", func() { close(gone) })
		crowd[i].Begin(Receiving, testTotal)
		if err := crowd[i].Take(testTotal / 8); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			<-gone
			crowd[i].GiveBack(testTotal / 8)
		})
	}
	l := b.Open("b", func() {})
	l.Begin(Receiving, testTotal/4)
	l.Move(time.Now(), testTotal/4-1)
	if err := l.Take(testTotal / 2); err != nil {
		t.Errorf("got %v", err)
	}
	answer := b.Open("c", func() {})
	answer.Begin(Answering, 2*testTotal)
	answer.Charge(2 * testTotal) // turns the rest of the crowd away
	answer.GiveBack(2 * testTotal)
}

// Guards against a body that is changed on its way through the pieces, that takes bytes
// beyond its size, or that does not give them back.
func TestBodyKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget()
		sent := bytes.Repeat([]byte("0123456789abc"), rapid.IntRange(0, 20_000).Draw(t, "parts"))
		size := len(sent)
		if rapid.Bool().Draw(t, "chunked") {
			size = -1
		}
		limit := max(0, len(sent)+rapid.IntRange(-1, 1).Draw(t, "limit"))
		lease := b.Open("a", func() {})
		r := &partReader{rest: sent, most: rapid.IntRange(1, 50_000).Draw(t, "part")}
		body, err := Receive(r, size, limit, lease, b.clock)
		if tooLarge := len(sent) > limit; tooLarge != errors.Is(err, ErrTooLarge) || !tooLarge && err != nil {
			t.Fatalf("%d bytes, limit %d: %v", len(sent), limit, err)
		}
		if err == nil {
			read, _ := io.ReadAll(body.NewReader())
			var written bytes.Buffer
			_, _ = body.WriteTo(&written)
			if !bytes.Equal(read, sent) || !bytes.Equal(written.Bytes(), sent) || !bytes.Equal(body.Bytes(), sent) || body.Len() != len(sent) {
				t.Fatal("the body has changed")
			}
			if used := b.Used(); used > int64(len(sent)+smallPieceBytes+largePieceBytes) {
				t.Fatalf("%d bytes take %d", len(sent), used)
			}
			retained := body.Retain()
			body.Release()
			if !retained || len(sent) > 0 && b.Used() == 0 {
				t.Fatal("the pieces were given back while they are in use")
			}
			body.Release()
			if len(sent) > 0 && body.Retain() {
				t.Fatal("a released body can be read")
			}
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes were not given back", b.Used())
		}
	})
}

// Guards against a body that ends early and counts as complete.
func TestBodyThatEndsEarly(t *testing.T) {
	b := newTestBudget()
	body, err := Receive(bytes.NewReader(make([]byte, 99)), 100, 1000, b.Open("a", func() {}), b.clock)
	if !errors.Is(err, io.ErrUnexpectedEOF) || body != nil || b.Used() != 0 {
		t.Errorf("got %v, %v, %d bytes in use", body, err, b.Used())
	}
}

// partReader returns at most a number of bytes at a time.
type partReader struct {
	rest []byte
	most int
}

// Read implements io.Reader.
func (r *partReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[:min(r.most, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

// panickingReader panics after it has returned some bytes.
type panickingReader struct{ left int }

func (r *panickingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		panic("broken reader")
	}
	n := min(r.left, len(p))
	r.left -= n
	return n, nil
}

// Guards against bytes that are held for good because a body's reader has panicked.
func TestPanicWhileABodyArrivesGivesItsBytesBack(t *testing.T) {
	b := newTestBudget()
	l := b.Open("a", func() {})
	func() {
		defer func() { _ = recover() }()
		_, _ = Receive(&panickingReader{left: 100_000}, 200_000, testTotal, l, func() time.Time { return b.now })
	}()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes were not given back", used)
	}
}
