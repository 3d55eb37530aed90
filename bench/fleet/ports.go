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

// Take returns an address on which nothing listens and that was not handed out
// before, as long as the block has such addresses.
func (p *Ports) Take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.guard == nil {
		if err := p.reserve(); err != nil {
			return "", err
		}
	}
	for range blockPorts {
		p.next = p.next%(blockPorts-1) + 1
		address := loopback(p.first + p.next)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", errors.New("fleet: no free port")
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
