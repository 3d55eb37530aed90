package outlier

import (
	"slices"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"
)

const (
	// QuarantineDuration is how long a request that crashed servers is rejected.
	QuarantineDuration = 10 * time.Minute
	// quarantineCrashes is the number of crashes that condemn a request: one
	// may be the server's own fault.
	quarantineCrashes = 2
	// maxCrashesPerRequest bounds a record; more crashes change nothing.
	maxCrashesPerRequest = 8
)

// Quarantine remembers the requests that servers crashed on. It is safe for
// concurrent use.
type Quarantine struct {
	// Observer counts the entries, if set.
	Observer Observer

	suspects shard.Map[request.Fingerprint, *suspectRequest]
	// recent holds each service's crashes of the last minute, whatever ran.
	recent shard.Map[contract.ServiceID, []serverCrash]
	// size lets the common case, no crash at all, skip hashing each request.
	size atomic.Int64
}

type suspectRequest struct {
	crashes []knownCrash
}

// serverCrash is one crash of a server, on which several requests may have run.
type serverCrash struct {
	server contract.ServerID
	at     time.Time
}

const (
	// sameCrash is the time within which requests lost on one server were lost
	// in the same crash.
	sameCrash = 500 * time.Millisecond
	// together is the time within which crashes of several servers are related.
	together = 2 * time.Second
	// unrelatedCrashes is the number of servers that crash at about the same
	// time without a request from which on the request is not the cause: they
	// restart together, or fall over cold under the load that is left.
	unrelatedCrashes = 2
	recentTime       = time.Minute
)

type knownCrash struct {
	crash Crash
	at    time.Time
}

// Add records a crash and reports whether it is new.
func (q *Quarantine) AddCrash(now time.Time, c Crash) (added bool) {
	at := now.Add(-duration(c.AgeMillis))
	if now.Sub(at) >= QuarantineDuration {
		return false
	}
	q.note(now, c, at)
	q.suspects.Update(c.Fingerprint, func(s *suspectRequest, exists bool) (*suspectRequest, bool) {
		if !exists {
			s = &suspectRequest{}
			q.size.Add(1)
		}
		added = s.add(knownCrash{c, at})
		if added && len(s.crashes) == quarantineCrashes && q.Observer != nil {
			q.Observer.RequestQuarantined()
		}
		return s, true
	})
	return added
}

func (s *suspectRequest) add(k knownCrash) bool {
	known := slices.ContainsFunc(s.crashes, func(o knownCrash) bool { return o.crash.RequestID == k.crash.RequestID })
	if known || len(s.crashes) >= maxCrashesPerRequest {
		return false
	}
	s.crashes = append(s.crashes, k)
	return true
}

// last returns the time of the newest crash.
func (s *suspectRequest) last() time.Time {
	var last time.Time
	for _, k := range s.crashes {
		if k.at.After(last) {
			last = k.at
		}
	}
	return last
}

// Rejects reports whether a request must be rejected as not run because two
// servers crashed on its like.
func (q *Quarantine) Rejects(now time.Time, r *request.Request) bool {
	if q.size.Load() == 0 {
		return false
	}
	var crashes []knownCrash
	q.suspects.DoExisting(request.FingerprintOf(r), func(s *suspectRequest) {
		if len(s.crashes) >= quarantineCrashes && now.Sub(s.last()) < QuarantineDuration {
			crashes = slices.Clone(s.crashes)
		}
	})
	if len(crashes) == 0 {
		return false
	}
	recent, _ := q.recent.Load(r.Service)
	return blamed(crashes, recent) >= quarantineCrashes
}

// note adds a crash to its service's recent ones, oldest first.
func (q *Quarantine) note(now time.Time, c Crash, at time.Time) {
	q.recent.Update(c.Service, func(list []serverCrash, _ bool) ([]serverCrash, bool) {
		// The list is replaced, not modified, because readers hold it unlocked.
		kept := make([]serverCrash, 0, len(list)+1)
		for _, s := range list {
			if s.server == c.Server && apart(s.at, at) <= sameCrash {
				return list, true
			}
			if now.Sub(s.at) < recentTime {
				kept = append(kept, s)
			}
		}
		return append(kept, serverCrash{c.Server, at}), true
	})
}

// blamed counts the crashes that a request may have caused.
func blamed(crashes []knownCrash, recent []serverCrash) int {
	count := 0
	for _, k := range crashes {
		if unrelated(k, crashes, recent) < unrelatedCrashes {
			count++
		}
	}
	return count
}

// unrelated counts the crashes at about the time of k on which the request did
// not run.
func unrelated(k knownCrash, crashes []knownCrash, recent []serverCrash) int {
	count := 0
	for _, s := range recent {
		ran := slices.ContainsFunc(crashes, func(own knownCrash) bool {
			return own.crash.Server == s.server && apart(own.at, s.at) <= sameCrash
		})
		if !ran && apart(s.at, k.at) <= together {
			count++
		}
	}
	return count
}

func apart(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

// Crashes returns the crashes on a service's requests that still count, and
// drops all that no longer do.
func (q *Quarantine) Crashes(now time.Time, service contract.ServiceID) []Crash {
	if q.size.Load() == 0 {
		return nil
	}
	var all []Crash
	q.suspects.Range(func(_ request.Fingerprint, s *suspectRequest) bool {
		if now.Sub(s.last()) >= QuarantineDuration {
			q.size.Add(-1)
			return false
		}
		for _, k := range s.crashes {
			if k.crash.Service == service {
				c := k.crash
				c.AgeMillis = millis(now.Sub(k.at))
				all = append(all, c)
			}
		}
		return true
	})
	return all
}
