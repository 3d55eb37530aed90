package contract

import (
	"fmt"

	"almondstile/zone"
)

// Change is one typed change that an operator wants. Its fields are its JSON
// form, so that plans and deltas carry it unchanged.
type Change interface {
	fmt.Stringer
	// apply edits the draft or records why it cannot.
	apply(d *draft)
}

// The changes that an intent may consist of.
type (
	// SetZone adds a zone or replaces its region. An existing zone stays in or
	// out, so that a document that repeats all zones does not return one.
	SetZone struct {
		ID     zone.ID `json:"id"`
		Region string  `json:"region"`
	}
	// SetZoneOut takes a zone out or returns it.
	SetZoneOut struct {
		ID  zone.ID `json:"id"`
		Out bool    `json:"out"`
	}
	// RemoveZone removes a zone that no server is in.
	RemoveZone struct {
		ID zone.ID `json:"id"`
	}
	// SetService adds a service or replaces its terms; its servers stay.
	SetService struct {
		ID         ServiceID `json:"id"`
		FloorShare float64   `json:"floor_share"`
	}
	// RemoveService removes a service with its servers.
	RemoveService struct {
		ID ServiceID `json:"id"`
	}
	// SetServer adds a backend server or replaces its terms. An existing server
	// stays leaving or not.
	SetServer struct {
		Service ServiceID `json:"service"`
		Server  Server    `json:"server"`
	}
	// SetServerLeaving makes a backend server leave or return.
	SetServerLeaving struct {
		ID      ServerID `json:"id"`
		Leaving bool     `json:"leaving"`
	}
	// RemoveServer removes a backend server.
	RemoveServer struct {
		ID ServerID `json:"id"`
	}
	// SetTeam adds a team or replaces its terms.
	SetTeam struct {
		Team Team `json:"team"`
	}
	// RemoveTeam removes a team whose keys are removed too.
	RemoveTeam struct {
		ID TeamID `json:"id"`
	}
	// IssueKey adds a key. A key never changes its team or its secret, and a
	// withdrawn key does not become valid again: a new key is issued instead.
	IssueKey struct {
		ID         KeyID  `json:"id"`
		Team       TeamID `json:"team"`
		SecretHash string `json:"secret_hash"`
	}
	// WithdrawKey makes a key invalid for good.
	WithdrawKey struct {
		ID KeyID `json:"id"`
	}
	// RemoveKey removes a key from the list.
	RemoveKey struct {
		ID KeyID `json:"id"`
	}
	// SetRoute adds or replaces a route.
	SetRoute struct {
		Route Route `json:"route"`
	}
	// RemoveRoute removes a route.
	RemoveRoute struct {
		ID RouteID `json:"id"`
	}
)

func (c SetZone) String() string    { return fmt.Sprintf("set zone %s", c.ID) }
func (c RemoveZone) String() string { return fmt.Sprintf("remove zone %s", c.ID) }
func (c SetZoneOut) String() string {
	if c.Out {
		return fmt.Sprintf("take zone %s out", c.ID)
	}
	return fmt.Sprintf("return zone %s", c.ID)
}
func (c SetService) String() string    { return fmt.Sprintf("set service %s", c.ID) }
func (c RemoveService) String() string { return fmt.Sprintf("remove service %s", c.ID) }
func (c SetServer) String() string {
	return fmt.Sprintf("set server %s of service %s", c.Server.ID, c.Service)
}
func (c SetServerLeaving) String() string {
	if c.Leaving {
		return fmt.Sprintf("let server %s leave", c.ID)
	}
	return fmt.Sprintf("return server %s", c.ID)
}
func (c RemoveServer) String() string { return fmt.Sprintf("remove server %s", c.ID) }
func (c SetTeam) String() string      { return fmt.Sprintf("set team %s", c.Team.ID) }
func (c RemoveTeam) String() string   { return fmt.Sprintf("remove team %s", c.ID) }
func (c IssueKey) String() string     { return fmt.Sprintf("issue key %s for team %s", c.ID, c.Team) }
func (c WithdrawKey) String() string  { return fmt.Sprintf("withdraw key %s", c.ID) }
func (c RemoveKey) String() string    { return fmt.Sprintf("remove key %s", c.ID) }
func (c SetRoute) String() string     { return fmt.Sprintf("set route %s", c.Route.ID) }
func (c RemoveRoute) String() string  { return fmt.Sprintf("remove route %s", c.ID) }

func (c SetZone) apply(d *draft) {
	z := zone.AvailabilityZone{ID: c.ID}
	if old := d.zones.get(string(c.ID)); old != nil {
		z = *old
	}
	z.Region = c.Region
	d.zones.put(z)
}

func (c SetZoneOut) apply(d *draft) {
	if z := d.zones.find(&d.faultList, string(c.ID)); z != nil {
		z.Out = c.Out
	}
}

func (c RemoveZone) apply(d *draft) { d.zones.remove(&d.faultList, string(c.ID)) }

func (c SetService) apply(d *draft) {
	s := Service{ID: c.ID}
	if old := d.services.get(string(c.ID)); old != nil {
		s = *old
	}
	s.FloorShare = c.FloorShare
	d.services.put(s)
}

func (c RemoveService) apply(d *draft) {
	d.services.remove(&d.faultList, string(c.ID))
	d.removeServersOf(c.ID)
}

func (c SetServer) apply(d *draft) {
	placed := placedServer{Server: c.Server, service: c.Service}
	placed.Leaving = false
	if old := d.servers.get(string(c.Server.ID)); old != nil {
		if old.service != c.Service {
			d.add(at("servers", string(c.Server.ID), "service"), c.Service,
				fmt.Sprintf("the server belongs to service %q; remove it there first", old.service))
		}
		placed.Leaving = old.Leaving
	}
	d.require(d.services.get(string(c.Service)) != nil, at("servers", string(c.Server.ID), "service"), c.Service,
		"must name a service of the configuration")
	d.servers.put(placed)
}

func (c SetServerLeaving) apply(d *draft) {
	if s := d.servers.find(&d.faultList, string(c.ID)); s != nil {
		s.Leaving = c.Leaving
	}
}

func (c RemoveServer) apply(d *draft) { d.servers.remove(&d.faultList, string(c.ID)) }

func (c SetTeam) apply(d *draft) {
	t := c.Team
	old := d.teams.get(string(t.ID))
	switch {
	case t.HomeCount == 0 && old != nil:
		t.HomeCount = old.HomeCount
	case t.HomeCount == 0:
		t.HomeCount = homesFor(t.Burst)
	case old != nil && t.HomeCount != old.HomeCount:
		d.add(at("teams", string(t.ID), "homes"), t.HomeCount,
			fmt.Sprintf("must stay %d as long as the team exists", old.HomeCount))
		return
	}
	d.teams.put(t)
}

const (
	maxHomes = 16
	// usualHomes keeps three quarters of a team's rate when one home is lost,
	// which is above the share of their rates that teams use.
	usualHomes = 4
	// minBurstPerHome keeps the split from costing a team its burst: a bucket
	// that is full while the others are not refills no more.
	minBurstPerHome = 10
)

// homesFor chooses the number of homes of a new team. Small teams have one: a
// burst of 3 split over several homes would refuse requests inside the rate.
func homesFor(burst int) int {
	return min(max(burst/minBurstPerHome, 1), usualHomes)
}

func (c RemoveTeam) apply(d *draft) { d.teams.remove(&d.faultList, string(c.ID)) }

func (c IssueKey) apply(d *draft) {
	key := Key{ID: c.ID, Team: c.Team, SecretHash: c.SecretHash}
	if old := d.keys.get(string(c.ID)); old != nil && *old != key {
		d.add(at("keys", string(c.ID), "id"), c.ID,
			"a key of this ID exists with another team or secret, or was withdrawn; use a new ID")
		return
	}
	d.keys.put(key)
}

func (c WithdrawKey) apply(d *draft) {
	if k := d.keys.find(&d.faultList, string(c.ID)); k != nil {
		k.Withdrawn = true
	}
}

func (c RemoveKey) apply(d *draft) { d.keys.remove(&d.faultList, string(c.ID)) }

// apply copies the lists, and stores an empty list as nil as JSON decoding
// does, so that VMs that got the change in different ways hold equal values.
func (c SetRoute) apply(d *draft) {
	r := c.Route
	r.Teams = append([]TeamID(nil), r.Teams...)
	r.IdempotentMethods = append([]string(nil), r.IdempotentMethods...)
	d.routes.put(r)
}

func (c RemoveRoute) apply(d *draft) { d.routes.remove(&d.faultList, string(c.ID)) }
