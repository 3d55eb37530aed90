package link

import (
	"net"
	"time"

	"almondstile/shard"
)

// refusalLogInterval is the minimum time between two log lines about refused
// connections from one IP address. A VM with another secret retries every second.
const refusalLogInterval = time.Minute

// refusalLog limits how often refused connections are logged. lastLogged is the
// time of the last log line for each IP address. The zero value is ready to use.
type refusalLog struct {
	lastLogged shard.Map[string, time.Time]
}

// shouldLog reports whether to log a refusal of the address, and if so records
// now as the time of its last log line and deletes the addresses whose interval
// has passed.
func (r *refusalLog) shouldLog(now time.Time, address string) bool {
	allowed := false
	r.lastLogged.Update(address, func(last time.Time, exists bool) (time.Time, bool) {
		if allowed = !exists || now.Sub(last) >= refusalLogInterval; allowed {
			last = now
		}
		return last, true
	})
	if allowed {
		r.lastLogged.Range(func(_ string, last time.Time) bool { return now.Sub(last) < refusalLogInterval })
	}
	return allowed
}

// logRefusal logs a connection that ended before the dialer proved that it knows
// the secret. It is called when the connection ends, because a dialer with
// another secret rejects this VM's proof and closes the connection itself.
// A connection on which neither a valid link.hello nor a call of another method
// arrived is not logged.
func (s *Server) logRefusal(c *session, now time.Time) {
	c.mu.Lock()
	refused, from := c.peer == "" && (c.expectedProof != "" || c.calledBeforeProof), c.hello.From
	c.mu.Unlock()
	remote := c.conn.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if refused && s.refusalLog.shouldLog(now, host) {
		s.log.WithField("remote", remote).WithField("from", from).
			Warn("Refused a control connection: the other side did not prove the peer secret.")
	}
}
