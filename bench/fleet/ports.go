package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which Linux takes the local ports of
// outgoing connections (32768 and up), so that a server can come back on its
// port.
const (
	lowestPort  = 12000
	highestPort = 32000
	// blockPorts is enough for 48 VMs with links and their environment.
	blockPorts = 1000
)

// Ports hands out addresses on the loopback interface. All fleets of a process
// share one block of ports, which no other process uses: the process keeps
// listening on the block's first port.
type Ports struct {
	mu    sync.Mutex
	guard net.Listener
	first int
	next  int
}

var processPorts Ports

// NewPorts returns the ports of this process.
func NewPorts() *Ports { return &processPorts }

// Take returns an address that was not handed out before, as long as the block
// has such addresses. It does not try to listen there: a process that is being
// started at that moment would inherit the socket until it runs its program,
// and the address would be in use for that time.
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

// reserve finds a block that no other process has.
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
