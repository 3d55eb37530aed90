package daemon

import (
	"net"

	"almondstile/settings"

	"github.com/cockroachdb/errors"
)

// ErrListen says that an address cannot be listened on.
var ErrListen = errors.New("daemon: cannot listen")

// listeners are the sockets of one VM, bound before anything else starts, so
// that a port in use is reported at once and nothing has to be undone.
type listeners struct {
	callers, forward, control, operator net.Listener
}

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

func (l *listeners) close() {
	for _, each := range []net.Listener{l.callers, l.forward, l.control, l.operator} {
		if each != nil {
			_ = each.Close()
		}
	}
}
