package operator

import (
	"almondstile/contract"
	"almondstile/vm"
	"almondstile/zone"
)

// Status is the fleet as one VM sees it.
type Status struct {
	VM   vm.ID   `json:"vm"`
	Zone zone.ID `json:"zone"`
	// Ready says whether this VM takes callers' requests, Reason why not.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// ConfigurationVersion is the version in force at this VM.
	ConfigurationVersion uint64          `json:"configuration_version"`
	MemberListVersion    uint64          `json:"member_list_version"`
	Members              []MemberStatus  `json:"members"`
	Zones                []ZoneStatus    `json:"zones"`
	Services             []ServiceStatus `json:"services"`
	Teams                []TeamStatus    `json:"teams"`
}

// MemberStatus is one VM of the member list.
type MemberStatus struct {
	VM   vm.ID   `json:"vm"`
	Zone zone.ID `json:"zone"`
	// Known is false if the VM did not report its version lately.
	Known                bool   `json:"known"`
	ConfigurationVersion uint64 `json:"configuration_version"`
}

// ZoneStatus is one availability zone.
type ZoneStatus struct {
	ID  zone.ID `json:"id"`
	Out bool    `json:"out"`
}

// ServiceStatus is one service with its servers.
type ServiceStatus struct {
	ID contract.ServiceID `json:"id"`
	// HealthySlots are those of servers that take new work and are warm.
	HealthySlots int            `json:"healthy_slots"`
	FloorSlots   int            `json:"floor_slots"`
	TotalSlots   int            `json:"total_slots"`
	Servers      []ServerStatus `json:"servers"`
}

// ServerState says whether a backend server takes new work.
type ServerState string

// The states of a backend server.
const (
	ServerServing     ServerState = "serving"
	ServerCold        ServerState = "cold"
	ServerProbing     ServerState = "probing"
	ServerEjected     ServerState = "ejected"
	ServerLeaving     ServerState = "leaving"
	ServerZoneOut     ServerState = "zone-out"
	ServerUnreachable ServerState = "unreachable"
	ServerUnknown     ServerState = "unknown"
)

// ServerStatus is one backend server.
type ServerStatus struct {
	ID    contract.ServerID `json:"id"`
	Zone  zone.ID           `json:"zone"`
	Owner vm.ID             `json:"owner,omitempty"`
	State ServerState       `json:"state"`
	// Why says in words why the server is not serving.
	Why      string `json:"why,omitempty"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
}

// TeamStatus is one team that was active lately.
type TeamStatus struct {
	ID            contract.TeamID `json:"id"`
	Homes         []vm.ID         `json:"homes,omitempty"`
	RatePerSecond float64         `json:"rate_per_second"`
	Burst         int             `json:"burst"`
	// AdmittedPerSecond and RejectedPerSecond are this VM's recent rates.
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	RejectedPerSecond float64 `json:"rejected_per_second"`
}
