package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range that Linux uses for the local ports of outgoing
// connections (32768 and up). No outgoing connection can therefore occupy the
// port of a server that restarts.
const (
	lowestPort  = 12000
	highestPort = 32000
	// blockPorts is enough for 48 VMs with links and their environment.
	blockPorts = 1000
)

// Ports allocates addresses on the loopback interface. All fleets of a process
// share one block of ports. The process keeps listening on the block's first
// port, so that no other bench process takes the same block.
type Ports struct {
	mu    sync.Mutex
	guard net.Listener // listens on the block's first port
	first int          // the block's first port
	next  int          // offset in the block of the address taken last
}

var processPorts Ports

// NewPorts returns the Ports that all fleets of this process share.
func NewPorts() *Ports { return &processPorts }

// Take returns an address that it has not returned before. When all addresses of
// the block have been returned, it starts again with the first. Take does not
// test an address by listening on it: a child process that is started at that
// moment inherits the socket until it executes its program, and the address
// would be in use for that time.
func (p *Ports) Take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.guard == nil {
		if err := p.reserve(); err != nil {
			return "", err
		}
	}
	p.next = p.next%(blockPorts-1) + 1
	return loopback(p.first + p.next), nil
}

// reserve claims a block that no other process has reserved by listening on its
// first port.
func (p *Ports) reserve() error {
	const blocks = (highestPort - lowestPort) / blockPorts
	start := rand.IntN(blocks)
	for i := range blocks {
		first := lowestPort + (start+i)%blocks*blockPorts
		guard, err := net.Listen("tcp", loopback(first))
		if err == nil {
			p.guard, p.first, p.next = guard, first, 0
			return nil
		}
	}
	return errors.New("fleet: no free block of ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
