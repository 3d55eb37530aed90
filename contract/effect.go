package contract

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"almondstile/zone"
)

// ChangeKind is the kind of change that a plan makes to one item of the
// configuration.
type ChangeKind string

// The values of ChangeKind. Withdrawn is used for keys only.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Withdrawn ChangeKind = "withdrawn"
)

// Effect lists what a plan would change: the differences between the
// configurations before and after it.
type Effect struct {
	Services []ServiceEffect `json:"services,omitempty"`
	Zones    []ZoneEffect    `json:"zones,omitempty"`
	Teams    []TeamEffect    `json:"teams,omitempty"`
	Keys     []KeyEffect     `json:"keys,omitempty"`
	Routes   []RouteEffect   `json:"routes,omitempty"`
	// Warnings are shown to the operator, who may still confirm the plan. If there
	// are Refusals, the plan is not made.
	Warnings []string `json:"warnings,omitempty"`
	Refusals []string `json:"refusals,omitempty"`
}

// ServiceEffect is the change to a service and to its slots.
type ServiceEffect struct {
	ID   ServiceID  `json:"id"`
	Kind ChangeKind `json:"kind"`
	// SlotsBefore and SlotsAfter are the numbers of slots for new requests, as
	// Index.SlotsForNewRequests counts them: of servers that are not leaving and
	// whose zone is not out.
	SlotsBefore int `json:"slots_before"`
	SlotsAfter  int `json:"slots_after"`
	// FloorSlots is the number of SlotsAfter that must remain healthy when servers
	// are ejected.
	FloorSlots int `json:"floor_slots"`
	// Servers lists the servers that were added, removed or changed.
	Servers []ServerID `json:"servers,omitempty"`
}

// ZoneEffect is the change to an availability zone.
type ZoneEffect struct {
	ID        zone.ID    `json:"id"`
	Kind      ChangeKind `json:"kind"`
	OutBefore bool       `json:"out_before"`
	OutAfter  bool       `json:"out_after"`
}

// TeamEffect is the change to a team's configuration and to the routes that it
// may use.
type TeamEffect struct {
	ID           TeamID     `json:"id"`
	Kind         ChangeKind `json:"kind"`
	Before       Team       `json:"before"`
	After        Team       `json:"after"`
	RoutesGained []RouteID  `json:"routes_gained,omitempty"`
	RoutesLost   []RouteID  `json:"routes_lost,omitempty"`
}

// KeyEffect is the change to a key.
type KeyEffect struct {
	ID   KeyID      `json:"id"`
	Team TeamID     `json:"team"`
	Kind ChangeKind `json:"kind"`
}

// RouteEffect is the change to a route. Fields lists the JSON names of the fields
// that differ if Kind is Changed.
type RouteEffect struct {
	ID     RouteID    `json:"id"`
	Kind   ChangeKind `json:"kind"`
	Fields []string   `json:"fields,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (e *Effect) Empty() bool {
	return len(e.Services)+len(e.Zones)+len(e.Teams)+len(e.Keys)+len(e.Routes) == 0
}

// ComputeEffect compares the configurations before and after a change. It refuses
// a change that takes the last slots for new requests from a service that routes
// lead to. With allowNoSlots it only warns of such a change.
func ComputeEffect(before, after *Configuration, allowNoSlots bool) Effect {
	c := comparison{before: NewIndex(before), after: NewIndex(after), allowNoSlots: allowNoSlots}
	c.compareZones()
	c.compareServices()
	c.compareTeams()
	c.compareKeys()
	c.compareRoutes()
	if c.effect.Empty() {
		c.warn("the plan changes nothing")
	}
	return c.effect
}

// comparison collects the effect while two configurations are compared.
type comparison struct {
	before, after *Index
	allowNoSlots  bool
	effect        Effect
}

// warn adds a formatted warning to the effect.
func (c *comparison) warn(format string, args ...any) {
	c.effect.Warnings = append(c.effect.Warnings, fmt.Sprintf(format, args...))
}

// changeKindOf returns the kind of change between two versions of an item, either
// of which may be nil. It returns false if they do not differ.
func changeKindOf[T any](before, after *T) (ChangeKind, bool) {
	switch {
	case before == nil && after == nil:
		return "", false
	case before == nil:
		return Added, true
	case after == nil:
		return Removed, true
	}
	return Changed, !reflect.DeepEqual(before, after)
}

// unionIDs returns the sorted union of the keys of both maps.
func unionIDs[K ~string, V any](a, b map[K]V) []K {
	ids := make([]K, 0, len(b))
	for id := range b {
		ids = append(ids, id)
	}
	for id := range a {
		if _, ok := b[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// compareZones adds the zones that differ to the effect.
func (c *comparison) compareZones() {
	for _, id := range unionIDs(c.before.zones, c.after.zones) {
		b, a := c.before.zones[id], c.after.zones[id]
		if kind, ok := changeKindOf(b, a); ok {
			c.effect.Zones = append(c.effect.Zones, ZoneEffect{
				ID: id, Kind: kind, OutBefore: b != nil && b.Out, OutAfter: a != nil && a.Out})
		}
	}
}

// compareServices adds the services that differ to the effect. These include
// services whose number of slots changes only because a zone is taken out or
// returned.
func (c *comparison) compareServices() {
	routed := make(map[ServiceID]bool)
	for _, r := range c.after.routes {
		routed[r.Service] = true
	}
	for _, id := range unionIDs(c.before.services, c.after.services) {
		b, a := c.before.services[id], c.after.services[id]
		kind, differs := changeKindOf(b, a)
		effect := ServiceEffect{
			ID: id, Kind: kind,
			SlotsBefore: slotsForNewRequests(c.before, b), SlotsAfter: slotsForNewRequests(c.after, a), Servers: changedServers(b, a),
		}
		if a != nil {
			effect.FloorSlots = FloorSlots(a.FloorShare, effect.SlotsAfter)
		}
		if !differs && effect.SlotsBefore == effect.SlotsAfter {
			continue
		}
		c.effect.Services = append(c.effect.Services, effect)
		if a != nil {
			c.checkSlots(effect, a, routed[id])
		}
	}
}

// checkSlots adds a refusal or a warning if the changed service has no slots for
// new requests, or a warning if its floor prevents any ejection.
func (c *comparison) checkSlots(e ServiceEffect, after *Service, routed bool) {
	switch {
	case e.SlotsAfter == 0 && !routed:
		c.warn("service %s has no slots for new work; no route leads to it", e.ID)
	case e.SlotsAfter == 0 && (c.allowNoSlots || e.SlotsBefore == 0):
		c.warn("service %s has no slots for new work: all its requests will be rejected", e.ID)
	case e.SlotsAfter == 0:
		c.effect.Refusals = append(c.effect.Refusals, fmt.Sprintf(
			"service %s would go from %d slots to 0 while routes lead to it; set allow_no_slots if this is intended",
			e.ID, e.SlotsBefore))
	case !c.after.floorPermitsEjection(after):
		c.warn("service %s has a floor of %d of the %d slots of its servers that take new work: none of them can be ejected",
			e.ID, e.FloorSlots, e.SlotsAfter)
	}
}

// slotsForNewRequests returns the slots for new requests of the service, or 0 if the
// service is nil.
func slotsForNewRequests(x *Index, s *Service) int {
	if s == nil {
		return 0
	}
	return x.SlotsForNewRequests(s)
}

// changedServers returns the IDs of the servers that were added, removed or
// changed. Before and after may be nil.
func changedServers(before, after *Service) []ServerID {
	b, a := serversByID(before), serversByID(after)
	var changed []ServerID
	for _, id := range unionIDs(b, a) {
		if _, ok := changeKindOf(b[id], a[id]); ok {
			changed = append(changed, id)
		}
	}
	return changed
}

// serversByID returns the servers of the service by ID. The service may be nil.
func serversByID(s *Service) map[ServerID]*Server {
	if s == nil {
		return nil
	}
	m := make(map[ServerID]*Server, len(s.Servers))
	for i := range s.Servers {
		m[s.Servers[i].ID] = &s.Servers[i]
	}
	return m
}

// compareTeams adds the teams to the effect whose configuration or routes differ.
func (c *comparison) compareTeams() {
	before, after := routesByTeam(c.before), routesByTeam(c.after)
	for _, id := range unionIDs(c.before.teams, c.after.teams) {
		b, a := c.before.teams[id], c.after.teams[id]
		kind, differs := changeKindOf(b, a)
		gained := accessDifference(after[id], before[id], c.before)
		lost := accessDifference(before[id], after[id], c.after)
		if !differs && len(gained)+len(lost) == 0 {
			continue
		}
		effect := TeamEffect{ID: id, Kind: kind, RoutesGained: gained, RoutesLost: lost}
		if b != nil {
			effect.Before = *b
		}
		if a != nil {
			effect.After = *a
		}
		c.effect.Teams = append(c.effect.Teams, effect)
	}
}

// routesByTeam returns the routes that list each team. Routes open to all are left
// out.
func routesByTeam(x *Index) map[TeamID][]RouteID {
	m := make(map[TeamID][]RouteID)
	for i := range x.config.Routes {
		r := &x.config.Routes[i]
		if r.OpenToAll {
			continue
		}
		for _, t := range r.Teams {
			m[t] = append(m[t], r.ID)
		}
	}
	return m
}

// accessDifference returns the routes in a that are not accessible on the side of b:
// they are not in b, and the configuration of b (indexOfB) does not have them open
// to all.
func accessDifference(a, b []RouteID, indexOfB *Index) []RouteID {
	if len(a) == 0 {
		return nil
	}
	inB := make(map[RouteID]bool, len(b))
	for _, id := range b {
		inB[id] = true
	}
	var onlyInA []RouteID
	for _, id := range a {
		if r := indexOfB.routes[id]; !inB[id] && (r == nil || !r.OpenToAll) {
			onlyInA = append(onlyInA, id)
		}
	}
	return onlyInA
}

// compareKeys adds the keys that differ to the effect.
func (c *comparison) compareKeys() {
	for _, id := range unionIDs(c.before.keys, c.after.keys) {
		b, a := c.before.keys[id], c.after.keys[id]
		kind, differs := changeKindOf(b, a)
		if !differs {
			continue
		}
		existing := a
		if a == nil {
			existing = b
		} else if b != nil && a.Withdrawn {
			kind = Withdrawn
		}
		c.effect.Keys = append(c.effect.Keys, KeyEffect{ID: id, Team: existing.Team, Kind: kind})
	}
}

// compareRoutes adds the routes that differ to the effect.
func (c *comparison) compareRoutes() {
	for _, id := range unionIDs(c.before.routes, c.after.routes) {
		b, a := c.before.routes[id], c.after.routes[id]
		kind, differs := changeKindOf(b, a)
		if !differs {
			continue
		}
		effect := RouteEffect{ID: id, Kind: kind}
		if kind == Changed {
			effect.Fields = changedFields(b, a)
		}
		c.effect.Routes = append(c.effect.Routes, effect)
		if a != nil {
			c.checkRouteAccess(b, a)
		}
	}
}

// checkRouteAccess adds a warning if the change opens the route to all callers or
// closes it, and a warning if no team may use the route. Before may be nil.
func (c *comparison) checkRouteAccess(before, after *Route) {
	wasOpen := before != nil && before.OpenToAll
	switch {
	case after.OpenToAll && !wasOpen:
		c.warn("route %s becomes open to all callers, without a key", after.ID)
	case !after.OpenToAll && wasOpen:
		c.warn("route %s is no longer open: callers without a listed team's key lose it", after.ID)
	}
	if !after.OpenToAll && len(after.Teams) == 0 {
		c.warn("no team may use route %s", after.ID)
	}
}

// changedFields returns the JSON names of the fields that differ.
func changedFields(beforeRoute, afterRoute *Route) []string {
	var names []string
	before, after := reflect.ValueOf(*beforeRoute), reflect.ValueOf(*afterRoute)
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}

func joinLines(lines []string) string { return strings.Join(lines, "; ") }
