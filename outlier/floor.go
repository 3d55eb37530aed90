package outlier

import (
	"time"

	"almondstile/backend"
	"almondstile/contract"
)

// Terms is what the configuration says about a service.
type ServiceConfig struct {
	// Version is that of the configuration.
	ConfigVersion uint64
	FloorShare    float64
	Servers       []ServerConfig
}

// ServerConfig is what the configuration says about a server of a service.
type ServerConfig struct {
	ID    contract.ServerID
	Slots int
	// AcceptsNewRequests says that the server's zone is in and it is not leaving.
	AcceptsNewRequests bool
}

// ServiceConfigOf reads the terms of a service.
func ServiceConfigOf(x *contract.Index, id contract.ServiceID) (ServiceConfig, bool) {
	service := x.Service(id)
	if service == nil {
		return ServiceConfig{}, false
	}
	terms := ServiceConfig{ConfigVersion: x.Version(), FloorShare: service.FloorShare}
	for i := range service.Servers {
		v := &service.Servers[i]
		terms.Servers = append(terms.Servers, ServerConfig{ID: v.ID, Slots: v.Slots, AcceptsNewRequests: x.AcceptsNewRequests(v)})
	}
	return terms, true
}

func (t *ServiceConfig) find(id contract.ServerID) (ServerConfig, bool) {
	for _, s := range t.Servers {
		if s.ID == id {
			return s, true
		}
	}
	return ServerConfig{}, false
}

// floor is the account of healthy slots during one decision.
type floor struct {
	// healthy maps the servers that count to their slots.
	healthy map[contract.ServerID]int
	slots   int
	needed  int
}

// floor counts the slots of servers that a fresh report shows to be warm and
// in service. What is not known does not count, so a new home ejects nobody
// until enough owners have reported.
func (d *Detector) floor(now time.Time, terms ServiceConfig) *floor {
	f := &floor{healthy: make(map[contract.ServerID]int)}
	inService := 0
	for _, t := range terms.Servers {
		if !t.AcceptsNewRequests {
			continue
		}
		inService += t.Slots
		s := d.subjects[t.ID]
		if s == nil || !s.fresh(now) || !s.healthy() {
			continue
		}
		f.healthy[t.ID] = t.Slots
		f.slots += t.Slots
	}
	f.needed = contract.FloorSlots(terms.FloorShare, inService)
	return f
}

// healthy reports whether both the home and the owner see the server in full
// service.
func (s *subject) healthy() bool {
	reported := s.report.standing()
	return s.trusted() && s.report.Warm && s.report.DrainState == "" &&
		reported != backend.Ejected && reported != backend.Probing
}

func (f *floor) holds() bool { return f.slots >= f.needed }

// eject takes a server out of the account if the rest stays at or above the
// floor, and reports whether it did.
func (f *floor) eject(s *subject) bool {
	rest := *f
	rest.slots -= f.healthy[s.id]
	if !rest.holds() {
		return false
	}
	f.slots = rest.slots
	delete(f.healthy, s.id)
	return true
}
