package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/guard"
	"almondstile/httpconn"
	"almondstile/inbound"
	"almondstile/logging"
	"almondstile/retry"
	"almondstile/tally"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// sendInterval is the interval at which a VM or a relay sends changes.
	sendInterval = 80 * time.Millisecond
	// standbyIntervals is the number of send intervals between messages of a relay
	// that is not its zone's first. Its messages only cover for lost messages of
	// the first relay.
	standbyIntervals = 3
	// repeatInterval is the interval at which a VM that is not a relay repeats its
	// changes, so that the loss of one message delays them little.
	repeatInterval = 200 * time.Millisecond
	// heartbeatInterval is the interval at which messages are sent without changes.
	heartbeatInterval = 200 * time.Millisecond
	// minUrgentInterval is the minimum time between two sends of urgent changes,
	// which don't wait for the next sendInterval. A relay sends to all VMs of its
	// zone, so its minimum is longer by urgentIntervalPerVM for each of them.
	minUrgentInterval   = 15 * time.Millisecond
	urgentIntervalPerVM = 1 * time.Millisecond
	// standbyDelay is the time for which a relay that is not its zone's first holds
	// back urgent changes. Typically the first relay has sent them by then.
	standbyDelay = 40 * time.Millisecond
	// introductionShare is the share of a relay's messages that introduce VMs.
	introductionShare = 0.1
	// pullTimeout bounds the duration of one pull of table copies.
	pullTimeout = 1 * time.Second
	// bootstrapInterval is the interval at which a VM without a live relay contacts
	// one of the known VMs or of the configured seeds.
	bootstrapInterval = 500 * time.Millisecond
	// receiveErrorPause is the pause after an error of the socket for datagrams, which may
	// last.
	receiveErrorPause = 10 * time.Millisecond
	// maxConcurrentPulls bounds the number of pulls in flight.
	maxConcurrentPulls = 2

	// shareLogStep is the least change of the connected share that is logged.
	shareLogStep = 0.1

	// copiesPath is the HTTP path at which a VM answers pulls of its table copies.
	copiesPath = "/copies"
)

// AttemptWindows holds the attempts of the last window. A VM that has just started
// adopts them from another one.
type AttemptWindows interface {
	// NeedsWindowsOf reports whether a VM whose process has run for the uptime knows of
	// attempts that this VM needs and does not know of.
	NeedsWindowsOf(now time.Time, uptime time.Duration) bool
	Windows(now time.Time) retry.Windows
	Adopt(now time.Time, w retry.Windows)
}

// Dependencies are the parts of the VM that a Node uses.
type Dependencies struct {
	Roster  *fleet.Roster
	Ledger  *tally.Ledger
	Catalog *catalog.Catalog
	// Attempts holds the attempts that the retry budgets count.
	Attempts AttemptWindows
	// Seeds are the host:port addresses of VMs to contact while no other VM is a live
	// relay of this VM's zone.
	Seeds []string
	Log   logging.Logger
	// Guard recovers from panics while messages are handled and sent. It may be nil.
	Guard *guard.Guard
	// LinkBytesPerSecond is the bandwidth of the VM's link, 0 if it is not known.
	LinkBytesPerSecond float64
	// Observer receives what the node sends. It may be nil.
	Observer Observer
	// UrgentSignal receives a value when the ledger has urgent changes to send.
	UrgentSignal <-chan struct{}
}

// Node sends and receives the gossip messages of one VM.
type Node struct {
	deps      Dependencies
	started   time.Time
	origin    tally.Origin
	conn      *net.UDPConn
	server    *fasthttp.Server
	listener  net.Listener
	pool      *httpconn.Pool
	pullSlots chan struct{}
	pullPace  pullPace
	// unreadable bounds the log lines about datagrams that cannot be read.
	unreadable logging.Throttle
	// pulled holds a value if a pull brought rows that changed a table's copy.
	pulled  chan struct{}
	traffic traffic
	// Only the goroutine that runs send uses the fields from here to lastRepeat.

	// pace bounds the records that this VM sends.
	pace sendPace
	// wasRelay is true if this VM was a relay at the last check.
	wasRelay bool
	// sentBefore is what this VM had sent when wasRelay changed last.
	sentBefore trafficTotals
	// loggedShare is the connected share that was logged last.
	loggedShare float64
	// lastZoneSend and lastRemoteSend are the times of the last messages to VMs of
	// this zone and of other zones.
	lastZoneSend, lastRemoteSend time.Time
	// lastRepeat is the time at which changes were last sent for a second time.
	lastRepeat time.Time
	// seeds holds Dependencies.Seeds or their replacement by SetSeeds.
	seeds atomic.Pointer[[]string]
}

// SetSeeds replaces the seeds. It may be called while the node runs.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Listen opens the VM's control address for datagrams (UDP) and pulls (TCP), and
// returns a Node for it. Run starts the exchange of messages.
func Listen(deps Dependencies) (*Node, error) {
	address := deps.Roster.Self().ControlAddress
	datagrams, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "the control address %s", address)
	}
	conn, err := net.ListenUDP("udp4", datagrams)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for datagrams on %s", address)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "listening for pulls on %s", address)
	}
	self := deps.Roster.Self()
	n := &Node{
		deps: deps, started: time.Now(), conn: conn, listener: inbound.NewListener(listener, deps.Log),
		origin:    tally.OriginOf(self.ID, self.Incarnation),
		pool:      httpconn.NewPool(httpconn.DefaultOptions()),
		pullSlots: make(chan struct{}, maxConcurrentPulls),
		pulled:    make(chan struct{}, 1),
		traffic:   traffic{observer: deps.Observer}, pace: newSendPace(deps.LinkBytesPerSecond),
	}
	n.SetSeeds(deps.Seeds)
	n.server = &fasthttp.Server{Handler: n.handlePullGuarded, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ReadTimeout: pullTimeout, IdleTimeout: time.Minute, Logger: logging.DiscardPrintf{}}
	return n, nil
}

// Run sends and receives messages until the context is canceled. Then it closes the
// sockets and returns after all of its goroutines have ended.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := n.server.Serve(n.listener); err != nil && ctx.Err() == nil {
			n.deps.Log.WithError(err).Error("The listener for pulls of table copies stopped unexpectedly.")
		}
	})
	wg.Go(func() { n.receive(ctx, &wg) })
	wg.Go(func() { n.send(ctx) })
	wg.Go(func() { n.bootstrap(ctx) })
	<-ctx.Done()
	_ = n.conn.Close()
	_ = n.listener.Close()
	n.pool.CloseIdle(true)
	wg.Wait()
}
