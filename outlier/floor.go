package outlier

import (
	"time"

	"almondstile/backend"
	"almondstile/contract"
)

// ServiceConfig is the part of a service's configuration that the detection uses.
type ServiceConfig struct {
	// ConfigVersion is the version of the whole configuration.
	ConfigVersion uint64
	// FloorShare is the minimum share of slots that must stay healthy, 0 to 1.
	FloorShare float64
	Servers    []ServerConfig
}

// ServerConfig is the part of a server's configuration that the detection uses.
type ServerConfig struct {
	ID    contract.ServerID
	Slots int
	// AcceptsNewRequests is false if the operator has taken the server's zone
	// out of service or marked the server as leaving.
	AcceptsNewRequests bool
}

// ServiceConfigOf returns the configuration of a service. It returns false if the
// service does not exist.
func ServiceConfigOf(x *contract.Index, id contract.ServiceID) (ServiceConfig, bool) {
	service := x.Service(id)
	if service == nil {
		return ServiceConfig{}, false
	}
	config := ServiceConfig{ConfigVersion: x.Version(), FloorShare: service.FloorShare}
	for i := range service.Servers {
		server := &service.Servers[i]
		config.Servers = append(config.Servers, ServerConfig{ID: server.ID, Slots: server.Slots, AcceptsNewRequests: x.AcceptsNewRequests(server)})
	}
	return config, true
}

func (c *ServiceConfig) find(id contract.ServerID) (ServerConfig, bool) {
	for _, s := range c.Servers {
		if s.ID == id {
			return s, true
		}
	}
	return ServerConfig{}, false
}

// floor tracks the healthy slots of a service during one decision.
type floor struct {
	// slotsByServer holds the slots of each healthy server.
	slotsByServer map[contract.ServerID]int
	// healthySlots is the sum of slotsByServer.
	healthySlots int
	// requiredSlots is the number of healthy slots that must remain.
	requiredSlots int
}

// floor counts the slots of the servers that are healthy according to a fresh
// report. A server without a fresh report does not count, so a new home ejects no
// server until enough owners have reported.
func (d *Detector) floor(now time.Time, config ServiceConfig) *floor {
	f := &floor{slotsByServer: make(map[contract.ServerID]int)}
	inService := 0
	for _, server := range config.Servers {
		if !server.AcceptsNewRequests {
			continue
		}
		inService += server.Slots
		s := d.subjects[server.ID]
		if s == nil || !s.fresh(now) || !s.hasHealthySlots() {
			continue
		}
		f.slotsByServer[server.ID] = server.Slots
		f.healthySlots += server.Slots
	}
	f.requiredSlots = contract.FloorSlots(config.FloorShare, inService)
	return f
}

// hasHealthySlots reports whether the server's slots count as healthy: the home's
// record and the owner's report both show it in service, and the report shows it
// warm and not draining.
func (s *subject) hasHealthySlots() bool {
	reported := s.report.healthState()
	return s.trusted() && s.report.Warm && s.report.DrainState == "" &&
		reported != backend.Ejected && reported != backend.Probing
}

func (f *floor) satisfied() bool { return f.healthySlots >= f.requiredSlots }

// tryRemove removes a server's slots from the healthy ones if the remaining slots
// satisfy the floor. It reports whether it did.
func (f *floor) tryRemove(s *subject) bool {
	rest := *f
	rest.healthySlots -= f.slotsByServer[s.id]
	if !rest.satisfied() {
		return false
	}
	f.healthySlots = rest.healthySlots
	delete(f.slotsByServer, s.id)
	return true
}
