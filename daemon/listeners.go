package daemon

import (
	"net"

	"almondstile/settings"

	"github.com/cockroachdb/errors"
)

// ErrListen marks the error of an address that cannot be bound.
var ErrListen = errors.New("daemon: cannot listen")

// listeners holds the TCP listeners of one VM. They are bound before any other
// component starts: a port that is in use is then reported at once, and no
// component has to be stopped again.
type listeners struct {
	callers, forward, control, operator net.Listener
}

// listen binds all addresses. If one fails, it closes the others and returns an
// error marked ErrListen that names the setting and the address.
func listen(addresses *settings.Listen) (_ *listeners, err error) {
	l := &listeners{}
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	for _, each := range []struct {
		key, address string
		to           *net.Listener
	}{
		{"listen.callers", addresses.Callers, &l.callers},
		{"listen.forward", addresses.Forward, &l.forward},
		{"listen.control", addresses.Control, &l.control},
		{"listen.operator", addresses.Operator, &l.operator},
	} {
		*each.to, err = net.Listen("tcp", each.address)
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "%s = %q", each.key, each.address), ErrListen)
		}
	}
	return l, nil
}

// close closes the listeners that are bound.
func (l *listeners) close() {
	for _, each := range []net.Listener{l.callers, l.forward, l.control, l.operator} {
		if each != nil {
			_ = each.Close()
		}
	}
}
