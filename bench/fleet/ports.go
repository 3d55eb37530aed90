package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which Linux takes the local ports of
// outgoing connections (32768 and up), so that a server can come back on its
// port.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// Ports hands out addresses on the loopback interface.
type Ports struct{ next int }

// NewPorts starts at a random place, so that two runs at a time seldom meet.
func NewPorts() *Ports {
	return &Ports{next: lowestPort + rand.IntN(highestPort-lowestPort)}
}

// Take returns an address on which nothing listens.
func (p *Ports) Take() (string, error) {
	for range highestPort - lowestPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next >= highestPort {
			p.next = lowestPort
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", errors.New("fleet: no free port")
}
