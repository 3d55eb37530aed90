package netfault

import (
	"time"

	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// ErrNoLink says that the network has no link of the given name.
var ErrNoLink = errors.New("netfault: no such link")

// LinkName names a link.
type LinkName string

// Direction is one of the two ways of a link.
type Direction string

// Directions of a link, seen from the side that opens connections.
const (
	ToTarget Direction = "to-target"
	ToClient Direction = "to-client"
)

// Fault is what is wrong with one direction. The zero value is a good path.
type Fault struct {
	// Drop holds all bytes back.
	Drop bool `json:"drop"`
	// DelayMicros is added to the time that the bytes take.
	DelayMicros int64 `json:"delay_us"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMicros) * time.Microsecond }

// Network is a set of links. The zero value is ready to use.
type Network struct {
	links shard.Map[LinkName, *Link]
}

// Links returns the listening address of each link.
func (n *Network) Links() map[LinkName]string {
	out := make(map[LinkName]string)
	n.links.Range(func(name LinkName, l *Link) bool { out[name] = l.Address(); return true })
	return out
}

// Link returns the link of the given name.
func (n *Network) Link(name LinkName) (*Link, error) {
	l, ok := n.links.Load(name)
	if !ok {
		return nil, errors.Wrapf(ErrNoLink, "%s", name)
	}
	return l, nil
}

// Close ends all links and waits for their goroutines.
func (n *Network) Close() {
	var all []*Link
	n.links.Range(func(_ LinkName, l *Link) bool { all = append(all, l); return false })
	for _, l := range all {
		l.Close()
	}
}
