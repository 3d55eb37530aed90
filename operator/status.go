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
	// Ready is true if this VM accepts callers' requests. Reason says why not.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// ConfigurationVersion is the configuration version in force at this VM.
	ConfigurationVersion uint64          `json:"configuration_version"`
	MemberListVersion    uint64          `json:"member_list_version"`
	Members              []MemberStatus  `json:"members"`
	Zones                []ZoneStatus    `json:"zones"`
	Services             []ServiceStatus `json:"services"`
	// Teams are the teams that were active at this VM in the last minute.
	// InactiveTeams is the number of the remaining teams.
	Teams         []TeamStatus `json:"teams"`
	InactiveTeams int          `json:"other_teams"`
}

// MemberStatus describes one VM of the member list.
type MemberStatus struct {
	VM   vm.ID   `json:"vm"`
	Zone zone.ID `json:"zone"`
	// Known is false if the VM did not report its configuration version recently.
	Known                bool   `json:"known"`
	ConfigurationVersion uint64 `json:"configuration_version"`
}

// ZoneStatus describes one availability zone. Out is true if operators took the
// zone out of service.
type ZoneStatus struct {
	ID  zone.ID `json:"id"`
	Out bool    `json:"out"`
}

// ServiceStatus describes one service and its backend servers.
type ServiceStatus struct {
	ID contract.ServiceID `json:"id"`
	// HealthySlots is the number of slots that count toward the floor: the slots of
	// servers for which ServerFacts.Healthy is true. Low-weight servers count.
	// FloorSlots is how many the floor requires, TotalSlots all slots.
	HealthySlots int            `json:"healthy_slots"`
	FloorSlots   int            `json:"floor_slots"`
	TotalSlots   int            `json:"total_slots"`
	Servers      []ServerStatus `json:"servers"`
}

// ServerStatus describes one backend server.
type ServerStatus struct {
	ID    contract.ServerID `json:"id"`
	Zone  zone.ID           `json:"zone"`
	Owner vm.ID             `json:"owner,omitempty"`
	State ServerState       `json:"state"`
	// Why is the reason, as text for people, if State is not ServerServing.
	Why   string `json:"why,omitempty"`
	Slots int    `json:"slots"`
	// InFlight and Queued are the numbers of requests that the server's owner has
	// in flight and queued. They are nil on VMs that do not own the server.
	InFlight *int `json:"in_flight,omitempty"`
	Queued   *int `json:"queued,omitempty"`
}

// TeamStatus describes one team that was active at this VM in the last minute.
// Homes are the VMs that hold the team's buckets.
type TeamStatus struct {
	ID            contract.TeamID `json:"id"`
	Homes         []vm.ID         `json:"homes,omitempty"`
	RatePerSecond float64         `json:"rate_per_second"`
	Burst         int             `json:"burst"`
	// AdmittedPerSecond and RejectedPerSecond are this VM's recent rates. A request
	// counts as rejected if it was not executed, for any reason.
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	RejectedPerSecond float64 `json:"rejected_per_second"`
}
