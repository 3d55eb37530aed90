package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/httpconn"
	"almondstile/logging"
	"almondstile/tally"

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

	// reachStep is the change of a VM's reach that is worth a log line.
	reachStep = 0.1

	copiesPath = "/copies"
)

// Parts are what a Node needs.
type Dependencies struct {
	Roster  *fleet.Roster
	Ledger  *tally.Ledger
	Catalog *catalog.Catalog
	// Seeds are addresses of VMs to ask when no other VM is known.
	Seeds []string
	Log   logging.Logger
	// Urgent gets a value when there is news that must not wait.
	UrgentSignal <-chan struct{}
}

// Node sends and receives the messages of one VM.
type Node struct {
	parts    Dependencies
	started  time.Time
	origin   tally.Origin
	packets  net.PacketConn
	server   *fasthttp.Server
	listener net.Listener
	pool     *httpconn.Pool
	slots    chan struct{}
	// wasRelay, lastReach, lastZone and lastRemote belong to the sending goroutine:
	// whether this VM relayed, the reach that was logged last, and when it last
	// sent to its zone and to others.
	wasRelay             bool
	lastReach            float64
	lastZone, lastRemote time.Time
	// seeds may be replaced while the node runs.
	seeds atomic.Pointer[[]string]
}

// SetSeeds replaces the addresses to ask when no other VM is known.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Listen opens the VM's address for datagrams and pulls.
func Listen(parts Dependencies) (*Node, error) {
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
		parts: parts, started: time.Now(), packets: packets, listener: listener,
		origin: tally.OriginOf(self.ID, self.Incarnation),
		pool:   httpconn.NewPool(httpconn.DefaultOptions()),
		slots:  make(chan struct{}, mostPullers),
	}
	n.SetSeeds(parts.Seeds)
	n.server = &fasthttp.Server{Handler: n.answerPull, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ReadTimeout: pullTimeout, IdleTimeout: time.Minute, Logger: logging.NoPrintf{}}
	return n, nil
}

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
