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

// stateMaxAge bounds the age of what owners said about their servers. Older
// reports are ignored: a server that was ejected then may have returned.
const stateMaxAge = 3 * time.Second

// selector picks backend servers from what owners reported and from this VM's
// own running requests.
type selector struct {
	members Membership
	links   *link.Links
	owners  vm.Holders
	known   shard.Map[contract.ServerID, knownState]
	running shard.Map[contract.ServerID, int]
}

type knownState struct {
	backend.ServerState
	at time.Time
}

// choice is a server and the way to it.
type choice struct {
	server *contract.Server
	owner  vm.VM
	// relay is set if the owner cannot be reached directly.
	relay *vm.VM
	load  float64
}

func newSelector(members Membership, links *link.Links) *selector {
	return &selector{members: members, links: links}
}

// choose picks the less loaded of two random candidates. Servers whose owner
// cannot be reached directly and servers with low weight are used only if no
// others are left, nearest zone first while it has room.
func (s *selector) choose(index *contract.Index, service contract.ServiceID, tried map[contract.ServerID]bool, now time.Time) (choice, bool) {
	terms := index.Service(service)
	if terms == nil {
		return choice{}, false
	}
	list := s.members.List()
	var good, spare []choice
	for i := range terms.Servers {
		server := &terms.Servers[i]
		if tried[server.ID] || !index.AcceptsNewRequests(server) {
			continue
		}
		owner, ok := s.owners.Find(list, server.OwnerRole())
		state := s.state(server.ID, now)
		if !ok || state.Ejected {
			continue
		}
		c := choice{server: server, owner: owner, load: state.Load}
		if state.LowWeight || !s.links.Usable(owner.ID, now) {
			spare = append(spare, c)
		} else {
			good = append(good, c)
		}
	}
	if len(good) > 0 {
		return better(near(good, s.members.Self().Zone)), true
	}
	if len(spare) == 0 {
		return choice{}, false
	}
	c := better(spare)
	c.relay = s.relayTo(list, c.owner, now)
	return c, true
}

// near keeps the candidates in the zone if any of them has room.
func near(candidates []choice, own zone.ID) []choice {
	var local []choice
	for _, c := range candidates {
		if c.server.Zone == own && c.load < 1 {
			local = append(local, c)
		}
	}
	if len(local) > 0 {
		return local
	}
	return candidates
}

// better returns the less loaded of two random candidates.
func better(candidates []choice) choice {
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

// relayTo finds a VM through which to reach the owner, or nil if the owner can
// be reached directly or no other VM can.
func (s *selector) relayTo(list vm.MemberList, owner vm.VM, now time.Time) *vm.VM {
	if s.links.Usable(owner.ID, now) {
		return nil
	}
	self := s.members.Self().ID
	start := rand.IntN(len(list.VMs))
	for i := range list.VMs {
		v := list.VMs[(start+i)%len(list.VMs)]
		if v.ID != self && v.ID != owner.ID && s.links.Usable(v.ID, now) {
			return &v
		}
	}
	return nil
}

func (s *selector) state(id contract.ServerID, now time.Time) backend.ServerState {
	k, ok := s.known.Load(id)
	if !ok || now.Sub(k.at) > stateMaxAge {
		k = knownState{}
	}
	if n, ok := s.running.Load(id); ok {
		// This VM's own requests may not be in the report yet.
		k.Load += float64(n)
	}
	return k.ServerState
}

// learn keeps what an owner said about a service's servers.
func (s *selector) learn(encoded []byte, now time.Time) {
	states, err := backend.DecodeStates(encoded)
	if err != nil {
		return // an owner of another version; the servers count as unknown
	}
	for _, state := range states {
		s.known.Store(state.Server, knownState{ServerState: state, at: now})
	}
}

func (s *selector) started(id contract.ServerID) {
	s.running.Update(id, func(n int, _ bool) (int, bool) { return n + 1, true })
}

func (s *selector) finished(id contract.ServerID) {
	s.running.Update(id, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
