package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/httpconn"
	"almondstile/logging"
	"almondstile/tally"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// sendInterval is how often changes leave a VM or a relay.
	sendInterval = 80 * time.Millisecond
	// standbyIntervals is how many intervals a relay that is not its zone's
	// first waits: its messages only fill the gaps of the first one's.
	standbyIntervals = 3
	// heartbeatInterval is how often a message leaves without changes.
	heartbeatInterval = 200 * time.Millisecond
	// urgentGap is the least time between two urgent sends, urgentGapEach what
	// each VM of the zone adds to it at a relay, which sends to all of them.
	urgentGap     = 15 * time.Millisecond
	urgentGapEach = 1 * time.Millisecond
	// standbyDelay is how long a relay that is not its zone's first holds urgent
	// news back: usually the first one has told the zone by then.
	standbyDelay = 40 * time.Millisecond
	// introductions is the share of a relay's messages that introduce VMs.
	introductions = 0.1
	// pullTimeout bounds one pull of table copies.
	pullTimeout = 1 * time.Second
	// introductionInterval is how often a VM that hears no relay asks one of
	// the VMs that it knows of or was configured with.
	introductionInterval = 500 * time.Millisecond
	// mostPullers bounds the pulls that one VM makes at a time.
	mostPullers = 2

	copiesPath = "/copies"
)

// Parts are what a Node needs.
type Parts struct {
	Roster  *fleet.Roster
	Ledger  *tally.Ledger
	Catalog *catalog.Catalog
	// Seeds are addresses of VMs to ask when no other VM is known.
	Seeds []string
	Log   logging.Logger
	// Urgent gets a value when there is news that must not wait.
	Urgent <-chan struct{}
}

// Node sends and receives the messages of one VM.
type Node struct {
	parts    Parts
	origin   tally.Origin
	packets  net.PacketConn
	server   *fasthttp.Server
	listener net.Listener
	pool     *httpconn.Pool
	slots    chan struct{}
	// wasRelay, lastZone and lastRemote belong to the sending goroutine: whether
	// this VM relayed, and when it last sent to its zone and to others.
	wasRelay             bool
	lastZone, lastRemote time.Time
	// seeds may be replaced while the node runs.
	seeds atomic.Pointer[[]string]
}

// SetSeeds replaces the addresses to ask when no other VM is known.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Listen opens the VM's address for datagrams and pulls.
func Listen(parts Parts) (*Node, error) {
	address := parts.Roster.Self().ControlAddress
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for datagrams on %s", address)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		_ = packets.Close()
		return nil, errors.Wrapf(err, "listening for pulls on %s", address)
	}
	self := parts.Roster.Self()
	n := &Node{
		parts: parts, packets: packets, listener: listener,
		origin: tally.OriginOf(self.ID, self.Incarnation),
		pool:   httpconn.NewPool(httpconn.DefaultOptions()),
		slots:  make(chan struct{}, mostPullers),
	}
	n.SetSeeds(parts.Seeds)
	n.server = &fasthttp.Server{Handler: n.answerPull, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ReadTimeout: pullTimeout, IdleTimeout: time.Minute, Logger: discardLogger{}}
	return n, nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Run sends and receives until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := n.server.Serve(n.listener); err != nil && ctx.Err() == nil {
			n.parts.Log.WithError(err).Error("The listener for pulls ended.")
		}
	})
	wg.Go(func() { n.receive(ctx, &wg) })
	wg.Go(func() { n.send(ctx) })
	wg.Go(func() { n.introduce(ctx) })
	<-ctx.Done()
	_ = n.packets.Close()
	_ = n.listener.Close()
	n.pool.CloseIdle(true)
	wg.Wait()
}

// send sends changes and heartbeats at their intervals, and urgent changes at
// once.
func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var lastUrgent time.Time
	var due <-chan time.Time // when urgent news are sent, nil if there are none
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-n.parts.Urgent:
			if due == nil {
				due = time.After(n.urgentWait(time.Since(lastUrgent)))
			}
		case <-due:
			due, lastUrgent = nil, time.Now()
			n.sendNews(lastUrgent, tally.Urgent)
		case now := <-ticker.C:
			tick++
			if n.parts.Roster.Rank(now) == 0 || !n.isRelay(now) || tick%standbyIntervals == 0 {
				n.sendNews(now, tally.Changed)
			}
		}
	}
}

// urgentWait returns how long urgent news wait, given the time since the last.
func (n *Node) urgentWait(since time.Duration) time.Duration {
	gap, now := urgentGap, time.Now()
	least := time.Duration(0)
	if n.isRelay(now) {
		gap += urgentGapEach * time.Duration(len(n.parts.Roster.InZone(n.parts.Roster.Self().Zone)))
		if n.parts.Roster.Rank(now) > 0 {
			least = standbyDelay
		}
	}
	return max(gap-since, least)
}

// isRelay reports whether this VM relays, and logs changes of that.
func (n *Node) isRelay(now time.Time) bool {
	relay := n.parts.Roster.IsRelay(now)
	if relay != n.wasRelay {
		n.wasRelay = relay
		n.parts.Log.WithField("relay", relay).WithField("rank", n.parts.Roster.Rank(now)).
			WithField("fleet", n.parts.Roster.Size()).Info("This VM's part as a relay changed.")
	}
	return relay
}

// sendNews sends a relay's news to the VMs of its zone and to the other zones,
// and another VM's to the relays.
func (n *Node) sendNews(now time.Time, scope tally.Scope) {
	roster, ledger, self := n.parts.Roster, n.parts.Ledger, n.parts.Roster.Self()
	zoneBeat := now.Sub(n.lastZone) >= heartbeatInterval
	if !n.isRelay(now) {
		if n.sendRecords(now, ledger.Own(scope), roster.Relays(now, self.Zone), zoneBeat) {
			n.lastZone = now
		}
		return
	}
	if n.sendRecords(now, ledger.ForZone(scope), roster.InZone(self.Zone), zoneBeat) {
		n.lastZone = now
	}
	remoteBeat := now.Sub(n.lastRemote) >= heartbeatInterval
	records := ledger.ForOtherZones(scope)
	for _, z := range roster.Zones()[1:] {
		if n.sendRecords(now, records, roster.Contact(now, z), remoteBeat) {
			n.lastRemote = now
		}
	}
}

func (n *Node) sendRecords(now time.Time, records []tally.Record, to []vm.VM, heartbeat bool) bool {
	if len(to) == 0 || len(records) == 0 && !heartbeat {
		return false
	}
	for first := true; first || len(records) > 0; first = false {
		count := min(len(records), maxRecords)
		n.sendMessage(n.message(now, records[:count]), to)
		records = records[count:]
	}
	return true
}

func (n *Node) message(now time.Time, records []tally.Record) message {
	roster := n.parts.Roster
	m := message{Sender: toMember(roster.Self()), Relay: roster.IsRelay(now), Groups: toGroups(records)}
	if store, known := n.parts.Catalog.Clock.At(boottime.Now()); known {
		m.StoreMillis = millis(store)
	}
	for _, t := range catalog.Tables {
		version, asOf := n.parts.Catalog.Mark(t)
		m.Tables = append(m.Tables, tableMark{Version: version, AsOfMillis: millis(asOf)})
	}
	if m.Relay {
		m.Zones = toZones(roster.HeardZones(now))
		if rand.Float64() < introductions {
			m.Members = someMembers(roster.All(), maxMembers)
		}
	}
	return m
}

// someMembers picks VMs at random, so that over time all are introduced.
func someMembers(all []vm.VM, most int) []member {
	var out []member
	for _, i := range rand.Perm(len(all)) {
		if len(out) == most {
			break
		}
		if all[i].Incarnation != "" {
			out = append(out, toMember(all[i]))
		}
	}
	return out
}

func (n *Node) sendMessage(m message, to []vm.VM) {
	b, err := encode(m)
	if err != nil {
		n.parts.Log.WithError(err).Error("A message cannot be encoded.")
		return
	}
	for _, v := range to {
		n.sendTo(b, v.ControlAddress)
	}
}

func (n *Node) sendTo(b []byte, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = n.packets.WriteTo(b, to)
	}
	if err != nil {
		// The next heartbeat replaces a lost datagram.
		n.parts.Log.WithError(err).WithField("to", address).Debug("A datagram was not sent.")
	}
}

// receive takes in datagrams until the socket is closed.
func (n *Node) receive(ctx context.Context, wg *conc.WaitGroup) {
	buf := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				n.parts.Log.WithError(err).Debug("A datagram was not received.")
			}
			continue
		}
		var m message
		if err := decode(buf[:size], &m); err != nil {
			n.parts.Log.WithError(err).Debug("A datagram is ignored.")
			continue
		}
		n.take(ctx, wg, m)
	}
}

func (n *Node) take(ctx context.Context, wg *conc.WaitGroup, m message) {
	now, local := time.Now(), boottime.Now()
	roster, self := n.parts.Roster, n.parts.Roster.Self()
	sender := m.Sender.vm()
	if sender.ID == self.ID {
		return
	}
	if roster.Heard(now, sender, m.Relay) {
		n.parts.Log.WithField("vm", sender.ID).WithField("zone", sender.Zone).
			WithField("incarnation", sender.Incarnation).Info("A VM is heard for the first time since its start.")
	}
	n.parts.Ledger.Heard(now, tally.OriginOf(sender.ID, sender.Incarnation))
	for _, known := range m.Members {
		roster.Learn(known.vm())
	}
	inZone := sender.Zone == self.Zone
	if inZone && m.Relay {
		roster.Connected(now, fromZones(m.Zones))
	}
	relay := roster.IsRelay(now)
	n.parts.Ledger.Merge(now, fromGroups(m.Groups), tally.Onward{
		Zone: relay && !(inZone && m.Relay), OtherZones: relay && inZone && !m.Relay, Told: inZone && m.Relay,
	})
	n.compare(ctx, wg, sender, m, local)
}

// compare takes the age of the sender's copies and pulls them if they are newer.
func (n *Node) compare(ctx context.Context, wg *conc.WaitGroup, sender vm.VM, m message, local time.Duration) {
	if m.StoreMillis > 0 {
		n.parts.Catalog.Clock.Observe(local, fromMillis(m.StoreMillis))
	}
	behind := false
	for i, mark := range m.Tables {
		if i < len(catalog.Tables) && n.parts.Catalog.Confirm(catalog.Tables[i], mark.Version, fromMillis(mark.AsOfMillis)) {
			behind = true
		}
	}
	if !behind {
		return
	}
	select {
	case n.slots <- struct{}{}:
	default:
		return // two pulls are under way; the next heartbeat asks again
	}
	wg.Go(func() {
		defer func() { <-n.slots }()
		if err := n.pull(ctx, sender.ControlAddress); err != nil {
			n.parts.Log.WithError(err).WithField("vm", sender.ID).Warn("A VM's newer copies cannot be pulled.")
		}
	})
}

// introduce asks other VMs for their knowledge while no relay is heard.
func (n *Node) introduce(ctx context.Context) {
	ticker := time.NewTicker(introductionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.introduceOnce(ctx, now)
		}
	}
}

func (n *Node) introduceOnce(ctx context.Context, now time.Time) {
	self := n.parts.Roster.Self()
	for _, relay := range n.parts.Roster.Relays(now, self.Zone) {
		if relay.ID != self.ID {
			return
		}
	}
	addresses := append([]string(nil), *n.seeds.Load()...)
	for _, v := range n.parts.Roster.All() {
		addresses = append(addresses, v.ControlAddress)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	if b, err := encode(n.message(now, nil)); err == nil && address != self.ControlAddress {
		n.sendTo(b, address)
	}
	if len(n.parts.Roster.All()) == 0 && address != self.ControlAddress {
		if err := n.pull(ctx, address); err != nil {
			n.parts.Log.WithError(err).WithField("seed", address).Info("A seed does not answer.")
		}
	}
}
