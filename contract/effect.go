package contract

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"almondstile/zone"
)

// ChangeKind says what happens to one part of a configuration.
type ChangeKind string

// Kinds of changes in an Effect.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Withdrawn ChangeKind = "withdrawn"
)

// Effect is what a plan would change, found by comparing the configurations
// before and after.
type Effect struct {
	Services []ServiceEffect `json:"services,omitempty"`
	Zones    []ZoneEffect    `json:"zones,omitempty"`
	Teams    []TeamEffect    `json:"teams,omitempty"`
	Keys     []KeyEffect     `json:"keys,omitempty"`
	Routes   []RouteEffect   `json:"routes,omitempty"`
	// Warnings do not prevent the plan. Refusals do.
	Warnings []string `json:"warnings,omitempty"`
	Refusals []string `json:"refusals,omitempty"`
}

// ServiceEffect compares the slots of a service.
type ServiceEffect struct {
	ID   ServiceID  `json:"id"`
	Kind ChangeKind `json:"kind"`
	// SlotsBefore and SlotsAfter count the slots that take new work: of servers
	// that are not leaving and whose zone is in.
	SlotsBefore int `json:"slots_before"`
	SlotsAfter  int `json:"slots_after"`
	// FloorSlots is the least number of the slots after the change that ejection
	// must leave.
	FloorSlots int `json:"floor_slots"`
	// Servers lists the servers that were added, removed or changed.
	Servers []ServerID `json:"servers,omitempty"`
}

// ZoneEffect compares an availability zone.
type ZoneEffect struct {
	ID        zone.ID    `json:"id"`
	Kind      ChangeKind `json:"kind"`
	OutBefore bool       `json:"out_before"`
	OutAfter  bool       `json:"out_after"`
}

// TeamEffect compares a team's terms and the routes that it may use.
type TeamEffect struct {
	ID           TeamID     `json:"id"`
	Kind         ChangeKind `json:"kind"`
	Before       Team       `json:"before"`
	After        Team       `json:"after"`
	RoutesGained []RouteID  `json:"routes_gained,omitempty"`
	RoutesLost   []RouteID  `json:"routes_lost,omitempty"`
}

// KeyEffect says what happens to a key.
type KeyEffect struct {
	ID   KeyID      `json:"id"`
	Team TeamID     `json:"team"`
	Kind ChangeKind `json:"kind"`
}

// RouteEffect names a route and what of it differs.
type RouteEffect struct {
	ID     RouteID    `json:"id"`
	Kind   ChangeKind `json:"kind"`
	Fields []string   `json:"fields,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (e *Effect) Empty() bool {
	return len(e.Services)+len(e.Zones)+len(e.Teams)+len(e.Keys)+len(e.Routes) == 0
}

// ComputeEffect compares two configurations. A change that leaves a routed service
// without a slot for new work is refused, or with allowNoSlots only warned of.
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

type comparison struct {
	before, after *Index
	allowNoSlots  bool
	effect        Effect
}

func (c *comparison) warn(format string, args ...any) {
	c.effect.Warnings = append(c.effect.Warnings, fmt.Sprintf(format, args...))
}

// kindOf returns the kind of change between two items, or false for none.
func kindOf[T any](before, after *T) (ChangeKind, bool) {
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

// bothIDs lists the keys of both maps in order.
func bothIDs[K ~string, V any](a, b map[K]V) []K {
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

func (c *comparison) compareZones() {
	for _, id := range bothIDs(c.before.zones, c.after.zones) {
		b, a := c.before.zones[id], c.after.zones[id]
		if kind, ok := kindOf(b, a); ok {
			c.effect.Zones = append(c.effect.Zones, ZoneEffect{
				ID: id, Kind: kind, OutBefore: b != nil && b.Out, OutAfter: a != nil && a.Out})
		}
	}
}

// compareServices also finds services whose servers' zones change.
func (c *comparison) compareServices() {
	routed := make(map[ServiceID]bool)
	for _, r := range c.after.routes {
		routed[r.Service] = true
	}
	for _, id := range bothIDs(c.before.services, c.after.services) {
		b, a := c.before.services[id], c.after.services[id]
		kind, differs := kindOf(b, a)
		effect := ServiceEffect{
			ID: id, Kind: kind,
			SlotsBefore: slotsOf(c.before, b), SlotsAfter: slotsOf(c.after, a), Servers: changedServers(b, a),
		}
		if a != nil {
			effect.FloorSlots = FloorSlots(a.FloorShare, effect.SlotsAfter)
		}
		if !differs && effect.SlotsBefore == effect.SlotsAfter {
			continue
		}
		c.effect.Services = append(c.effect.Services, effect)
		if a != nil {
			c.judgeSlots(effect, a, routed[id])
		}
	}
}

func (c *comparison) judgeSlots(e ServiceEffect, after *Service, routed bool) {
	switch {
	case e.SlotsAfter == 0 && !routed:
		c.warn("service %s has no slots for new work; no route leads to it", e.ID)
	case e.SlotsAfter == 0 && (c.allowNoSlots || e.SlotsBefore == 0):
		c.warn("service %s has no slots for new work: all its requests will be rejected", e.ID)
	case e.SlotsAfter == 0:
		c.effect.Refusals = append(c.effect.Refusals, fmt.Sprintf(
			"service %s would go from %d slots to 0 while routes lead to it; set allow_no_slots if this is intended",
			e.ID, e.SlotsBefore))
	case !c.after.canEject(after):
		c.warn("service %s has a floor of %d of the %d slots of its servers that take new work: none of them can be ejected",
			e.ID, e.FloorSlots, e.SlotsAfter)
	}
}

// slotsOf counts the slots for new work of a service that may be nil.
func slotsOf(x *Index, s *Service) int {
	if s == nil {
		return 0
	}
	return x.SlotsForNewRequests(s)
}

func changedServers(before, after *Service) []ServerID {
	b, a := serversByID(before), serversByID(after)
	var changed []ServerID
	for _, id := range bothIDs(b, a) {
		if _, ok := kindOf(b[id], a[id]); ok {
			changed = append(changed, id)
		}
	}
	return changed
}

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

func (c *comparison) compareTeams() {
	before, after := routesOfTeams(c.before), routesOfTeams(c.after)
	for _, id := range bothIDs(c.before.teams, c.after.teams) {
		b, a := c.before.teams[id], c.after.teams[id]
		kind, differs := kindOf(b, a)
		gained := difference(after[id], before[id], c.before)
		lost := difference(before[id], after[id], c.after)
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

func routesOfTeams(x *Index) map[TeamID][]RouteID {
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

// difference returns the routes of a that are neither in b nor open to all in
// the configuration that b comes from.
func difference(a, b []RouteID, ofB *Index) []RouteID {
	if len(a) == 0 {
		return nil
	}
	in := make(map[RouteID]bool, len(b))
	for _, id := range b {
		in[id] = true
	}
	var out []RouteID
	for _, id := range a {
		if r := ofB.routes[id]; !in[id] && (r == nil || !r.OpenToAll) {
			out = append(out, id)
		}
	}
	return out
}

func (c *comparison) compareKeys() {
	for _, id := range bothIDs(c.before.keys, c.after.keys) {
		b, a := c.before.keys[id], c.after.keys[id]
		kind, differs := kindOf(b, a)
		if !differs {
			continue
		}
		owner := a
		if a == nil {
			owner = b
		} else if b != nil && a.Withdrawn {
			kind = Withdrawn
		}
		c.effect.Keys = append(c.effect.Keys, KeyEffect{ID: id, Team: owner.Team, Kind: kind})
	}
}

func (c *comparison) compareRoutes() {
	for _, id := range bothIDs(c.before.routes, c.after.routes) {
		b, a := c.before.routes[id], c.after.routes[id]
		kind, differs := kindOf(b, a)
		if !differs {
			continue
		}
		effect := RouteEffect{ID: id, Kind: kind}
		if kind == Changed {
			effect.Fields = changedFields(b, a)
		}
		c.effect.Routes = append(c.effect.Routes, effect)
		if a != nil {
			c.judgeRoute(b, a)
		}
	}
}

// judgeRoute warns of changes in who may use a route. Before may be nil.
func (c *comparison) judgeRoute(before, after *Route) {
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

// changedFields lists the JSON names of the fields that differ.
func changedFields(b, a *Route) []string {
	var names []string
	before, after := reflect.ValueOf(*b), reflect.ValueOf(*a)
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}

func joinLines(lines []string) string { return strings.Join(lines, "; ") }
