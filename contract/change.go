package contract

import (
	"fmt"

	"almondstile/zone"
)

// Change is one configuration change that an operator requests. Its fields are
// encoded in JSON as they are, so plans and deltas contain exactly the change that
// the operator sent.
type Change interface {
	fmt.Stringer
	// apply applies the change to the draft. If that is not possible, it records
	// a fault in the draft.
	apply(d *draft)
}

// The kinds of changes in an Intent.
type (
	// SetZone adds a zone or replaces the region of an existing zone. An existing
	// zone that is out stays out, so that a document that lists all zones does
	// not return such a zone to service.
	SetZone struct {
		ID     zone.ID `json:"id"`
		Region string  `json:"region"`
	}
	// SetZoneOut takes a zone out of service (Out is true) or returns it.
	SetZoneOut struct {
		ID  zone.ID `json:"id"`
		Out bool    `json:"out"`
	}
	// RemoveZone removes a zone. The zone must not contain any server.
	RemoveZone struct {
		ID zone.ID `json:"id"`
	}
	// SetService adds a service or replaces the configuration of an existing
	// one. The servers of an existing service stay.
	SetService struct {
		ID         ServiceID `json:"id"`
		FloorShare float64   `json:"floor_share"`
	}
	// RemoveService removes a service together with its servers.
	RemoveService struct {
		ID ServiceID `json:"id"`
	}
	// SetServer adds a backend server or replaces the configuration of an
	// existing one. The Leaving field of Server is ignored: a new server is not
	// leaving, and an existing server keeps its state.
	SetServer struct {
		Service ServiceID `json:"service"`
		Server  Server    `json:"server"`
	}
	// SetServerLeaving marks a backend server as leaving, or returns it to
	// service (Leaving is false).
	SetServerLeaving struct {
		ID      ServerID `json:"id"`
		Leaving bool     `json:"leaving"`
	}
	// RemoveServer removes a backend server.
	RemoveServer struct {
		ID ServerID `json:"id"`
	}
	// SetTeam adds a team or replaces the configuration of an existing one. The
	// home count of an existing team cannot change; 0 keeps it.
	SetTeam struct {
		Team Team `json:"team"`
	}
	// RemoveTeam removes a team. The same intent must remove the team's keys.
	RemoveTeam struct {
		ID TeamID `json:"id"`
	}
	// IssueKey adds an API key. The team and the secret of an existing key cannot
	// change, and a withdrawn key cannot become valid again as long as the
	// configuration lists it, nor by an intent that also removes it. Operators issue a
	// key with a new ID instead.
	IssueKey struct {
		ID         KeyID  `json:"id"`
		Team       TeamID `json:"team"`
		SecretHash string `json:"secret_hash"`
	}
	// WithdrawKey makes a key permanently invalid.
	WithdrawKey struct {
		ID KeyID `json:"id"`
	}
	// RemoveKey removes a key from the configuration.
	RemoveKey struct {
		ID KeyID `json:"id"`
	}
	// SetRoute adds a route or replaces an existing one.
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
	if z := d.zones.getRequired(&d.faultList, string(c.ID)); z != nil {
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
			d.add(pathOf("servers", string(c.Server.ID), "service"), c.Service,
				fmt.Sprintf("the server belongs to service %q; remove it there first", old.service))
		}
		placed.Leaving = old.Leaving
	}
	d.require(d.services.get(string(c.Service)) != nil, pathOf("servers", string(c.Server.ID), "service"), c.Service,
		"must name a service of the configuration")
	d.servers.put(placed)
}

func (c SetServerLeaving) apply(d *draft) {
	if s := d.servers.getRequired(&d.faultList, string(c.ID)); s != nil {
		s.Leaving = c.Leaving
	}
}

func (c RemoveServer) apply(d *draft) { d.servers.remove(&d.faultList, string(c.ID)) }

func (c SetTeam) apply(d *draft) {
	t := c.Team
	old := d.teams.getOrRemoved(string(t.ID))
	switch {
	case t.HomeCount == 0 && old != nil:
		t.HomeCount = old.HomeCount
	case t.HomeCount == 0:
		t.HomeCount = defaultHomeCount(t.Burst)
	case old != nil && t.HomeCount != old.HomeCount:
		d.add(pathOf("teams", string(t.ID), "homes"), t.HomeCount,
			fmt.Sprintf("must stay %d as long as the team exists", old.HomeCount))
		return
	}
	d.teams.put(t)
}

// Limits of a team's home count.
const (
	maxHomeCount = 16
	// maxDefaultHomeCount is the home count of large teams. If one of 4 homes
	// fails, a team keeps three quarters of its rate, which is more than the share
	// of their rates that teams use.
	maxDefaultHomeCount = 4
	// minBurstPerHome is the smallest burst (in tokens) of a home's bucket. With
	// smaller buckets a team loses part of its burst: a bucket that is full stops
	// refilling while the team's other buckets are not full.
	minBurstPerHome = 10
)

// defaultHomeCount returns the home count of a new team whose operator has not
// chosen one. Teams with a small burst get one home: if a burst of 3 were split
// among several homes, requests within the team's rate would be rejected.
func defaultHomeCount(burst int) int {
	return min(max(burst/minBurstPerHome, 1), maxDefaultHomeCount)
}

func (c RemoveTeam) apply(d *draft) { d.teams.remove(&d.faultList, string(c.ID)) }

func (c IssueKey) apply(d *draft) {
	key := Key{ID: c.ID, Team: c.Team, SecretHash: c.SecretHash}
	if old := d.keys.getOrRemoved(string(c.ID)); old != nil && *old != key {
		d.add(pathOf("keys", string(c.ID), "id"), c.ID,
			"a key of this ID exists with another team or secret, or was withdrawn; use a new ID")
		return
	}
	d.keys.put(key)
}

func (c WithdrawKey) apply(d *draft) {
	if k := d.keys.getRequired(&d.faultList, string(c.ID)); k != nil {
		k.Withdrawn = true
	}
}

func (c RemoveKey) apply(d *draft) { d.keys.remove(&d.faultList, string(c.ID)) }

// apply copies the lists of teams and methods. It stores an empty list as nil, as
// JSON decoding does, so that VMs that received the change in different encodings
// hold equal configurations.
func (c SetRoute) apply(d *draft) {
	r := c.Route
	r.Teams = append([]TeamID(nil), r.Teams...)
	r.IdempotentMethods = append([]string(nil), r.IdempotentMethods...)
	d.routes.put(r)
}

func (c RemoveRoute) apply(d *draft) { d.routes.remove(&d.faultList, string(c.ID)) }
