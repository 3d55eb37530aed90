package netfault

import (
	"time"

	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// ErrNoLink is the error for a link name that the network does not have.
var ErrNoLink = errors.New("netfault: no such link")

// LinkName identifies a link within its network.
type LinkName string

// Direction is one of the two directions in which a link carries bytes.
type Direction string

// The directions of a link. The client is the side that opens connections.
const (
	ToTarget Direction = "to-target"
	ToClient Direction = "to-client"
)

// Fault is the fault that a link injects into one direction. The zero value is
// no fault.
type Fault struct {
	// Drop buffers all bytes until the fault is replaced.
	Drop bool `json:"drop"`
	// DelayMicros is the delay added to the delivery of all bytes, in
	// microseconds.
	DelayMicros int64 `json:"delay_us"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMicros) * time.Microsecond }

// Network is a set of links with distinct names. The zero value is an empty
// network that is ready to use.
type Network struct {
	links shard.Map[LinkName, *Link]
}

// Links returns the listening address (IP:port) of each link.
func (n *Network) Links() map[LinkName]string {
	out := make(map[LinkName]string)
	n.links.Range(func(name LinkName, l *Link) bool { out[name] = l.Address(); return true })
	return out
}

// Link returns the link with the given name, or an error that wraps ErrNoLink.
func (n *Network) Link(name LinkName) (*Link, error) {
	l, ok := n.links.Load(name)
	if !ok {
		return nil, errors.Wrapf(ErrNoLink, "%s", name)
	}
	return l, nil
}

// Close removes all links from the network, closes them and waits for their
// goroutines.
func (n *Network) Close() {
	var all []*Link
	n.links.Range(func(_ LinkName, l *Link) bool { all = append(all, l); return false })
	for _, l := range all {
		l.Close()
	}
}
