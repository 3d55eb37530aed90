package entry

import (
	"math/rand/v2"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/link"
	"almondstile/shard"
	"almondstile/vm"
	"almondstile/zone"
)

// maxReportAge bounds the age of the server states that owners reported. Older
// reports are ignored, because a server that was ejected then may serve again.
const maxReportAge = 3 * time.Second

// selector selects backend servers by the states that owners reported and by this
// VM's own requests in flight.
type selector struct {
	membership Membership
	links      *link.Links
	owners     vm.Holders
	reports    shard.Map[contract.ServerID, stateReport]
	inFlight   shard.Map[contract.ServerID, int] // this VM's requests per server
}

// stateReport is the last state of a server that an owner reported.
type stateReport struct {
	backend.ServerState
	receivedAt time.Time
}

// candidate is a backend server that a request may be sent to.
type candidate struct {
	server *contract.Server
	owner  vm.VM
	// relay is the VM that forwards the request to the owner, nil if the request
	// is sent to the owner directly.
	relay *vm.VM
	// load is the server's reported load, (in flight + queued) / slots, plus the
	// number of this VM's own requests in flight.
	load float64
}

func newSelector(membership Membership, links *link.Links) *selector {
	return &selector{membership: membership, links: links}
}

// choose selects an untried server of the service: the less loaded of two random
// candidates. Candidates in this VM's zone come first while one of them has a load
// below 1. Servers with low weight and servers whose owner cannot be reached
// directly are used only if no other server is left.
func (s *selector) choose(index *contract.Index, service contract.ServiceID, tried map[contract.ServerID]bool, now time.Time) (candidate, bool) {
	serviceConfig := index.Service(service)
	if serviceConfig == nil {
		return candidate{}, false
	}
	list := s.membership.List()
	var preferred, fallback []candidate
	for i := range serviceConfig.Servers {
		server := &serviceConfig.Servers[i]
		if tried[server.ID] || !index.AcceptsNewRequests(server) {
			continue
		}
		owner, ok := s.owners.Find(list, server.OwnerRole())
		state := s.state(server.ID, now)
		if !ok || state.Ejected {
			continue
		}
		c := candidate{server: server, owner: owner, load: state.Load}
		if state.LowWeight || !s.links.Usable(owner.ID, now) {
			fallback = append(fallback, c)
		} else {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) > 0 {
		return lessLoadedOfTwo(preferZone(preferred, s.membership.Self().Zone)), true
	}
	if len(fallback) == 0 {
		return candidate{}, false
	}
	c := lessLoadedOfTwo(fallback)
	c.relay = s.findRelay(list, c.owner, now)
	return c, true
}

// preferZone returns the candidates in the zone that have a load below 1, or all
// candidates if there are none.
func preferZone(candidates []candidate, zoneID zone.ID) []candidate {
	var local []candidate
	for _, c := range candidates {
		if c.server.Zone == zoneID && c.load < 1 {
			local = append(local, c)
		}
	}
	if len(local) > 0 {
		return local
	}
	return candidates
}

// lessLoadedOfTwo returns the less loaded of two random candidates.
func lessLoadedOfTwo(candidates []candidate) candidate {
	a := rand.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[a]
	}
	b := rand.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	if candidates[b].load < candidates[a].load {
		return candidates[b]
	}
	return candidates[a]
}

// findRelay returns a VM through which to reach the owner. It returns nil if the
// owner can be reached directly or no other VM is usable.
func (s *selector) findRelay(list vm.MemberList, owner vm.VM, now time.Time) *vm.VM {
	if s.links.Usable(owner.ID, now) {
		return nil
	}
	self := s.membership.Self().ID
	start := rand.IntN(len(list.VMs))
	for i := range list.VMs {
		v := list.VMs[(start+i)%len(list.VMs)]
		if v.ID != self && v.ID != owner.ID && s.links.Usable(v.ID, now) {
			return &v
		}
	}
	return nil
}

// state returns the last reported state of the server if it is recent enough, and
// an empty state otherwise. In both cases this VM's own requests add to the load.
func (s *selector) state(id contract.ServerID, now time.Time) backend.ServerState {
	report, ok := s.reports.Load(id)
	if !ok || now.Sub(report.receivedAt) > maxReportAge {
		report = stateReport{}
	}
	if n, ok := s.inFlight.Load(id); ok {
		// The report may not include this VM's own requests yet.
		report.Load += float64(n)
	}
	return report.ServerState
}

// recordStates stores the states of a service's servers that an owner reported.
func (s *selector) recordStates(encoded []byte, now time.Time) {
	states, err := backend.DecodeStates(encoded)
	if err != nil {
		return // encoded by an owner of another version; keep the earlier reports
	}
	for _, state := range states {
		s.reports.Store(state.Server, stateReport{ServerState: state, receivedAt: now})
	}
}

func (s *selector) requestStarted(id contract.ServerID) {
	s.inFlight.Update(id, func(n int, _ bool) (int, bool) { return n + 1, true })
}

func (s *selector) requestFinished(id contract.ServerID) {
	s.inFlight.Update(id, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
