package link

import (
	"net"
	"time"

	"almondstile/shard"
)

// refusalLogPause is the least time between two log lines about refused
// connections from one address. A VM with another secret tries each second.
const refusalLogPause = time.Minute

// refusals limits the log lines about refused connections. The zero value is
// ready to use.
type refusals struct {
	logged shard.Map[string, time.Time]
}

// due reports whether a refusal of the address may be logged now. It forgets
// the addresses whose pause is over.
func (r *refusals) due(now time.Time, address string) bool {
	due := false
	r.logged.Update(address, func(last time.Time, exists bool) (time.Time, bool) {
		if due = !exists || now.Sub(last) >= refusalLogPause; due {
			last = now
		}
		return last, true
	})
	if due {
		r.logged.Range(func(_ string, last time.Time) bool { return now.Sub(last) < refusalLogPause })
	}
	return due
}

// logRefusal logs a connection that ended before the other side proved the
// secret. A dialer with another secret hangs up by itself, since this VM's
// proof does not convince it, so the end of the connection is what shows it.
func (s *Server) logRefusal(c *session, now time.Time) {
	c.mu.Lock()
	refused, from := c.peer == "" && (c.expect != "" || c.unproven), c.hello.From
	c.mu.Unlock()
	remote := c.conn.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if refused && s.refusals.due(now, host) {
		s.log.WithField("remote", remote).WithField("from", from).
			Warn("Refused a control connection: the other side did not prove the peer secret.")
	}
}
