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
	// Teams are those that were active at this VM lately, OtherTeams counts the
	// rest.
	Teams      []TeamStatus `json:"teams"`
	OtherTeams int          `json:"other_teams"`
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
	// HealthySlots are those that count for the floor: of servers that take new
	// work, are warm and not ejected. Low-weight servers count.
	HealthySlots int            `json:"healthy_slots"`
	FloorSlots   int            `json:"floor_slots"`
	TotalSlots   int            `json:"total_slots"`
	Servers      []ServerStatus `json:"servers"`
}

// ServerStatus is one backend server.
type ServerStatus struct {
	ID    contract.ServerID `json:"id"`
	Zone  zone.ID           `json:"zone"`
	Owner vm.ID             `json:"owner,omitempty"`
	State ServerState       `json:"state"`
	// Why says in words why the server is not serving.
	Why   string `json:"why,omitempty"`
	Slots int    `json:"slots"`
	// InFlight and Queued are known only at the owner and missing elsewhere.
	InFlight *int `json:"in_flight,omitempty"`
	Queued   *int `json:"queued,omitempty"`
}

// TeamStatus is one team that was active at this VM in the last minute.
type TeamStatus struct {
	ID            contract.TeamID `json:"id"`
	Homes         []vm.ID         `json:"homes,omitempty"`
	RatePerSecond float64         `json:"rate_per_second"`
	Burst         int             `json:"burst"`
	// AdmittedPerSecond and RejectedPerSecond are this VM's recent rates. A request is
	// rejected if it was not run, for any reason.
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	RejectedPerSecond float64 `json:"rejected_per_second"`
}
