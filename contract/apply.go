package contract

import (
	"slices"

	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// ErrEmptyIntent is returned for an intent without changes.
var ErrEmptyIntent = errors.New("contract: the intent contains no change")

// Apply returns the configuration that results from applying the intent to base.
// Its version is one above the version of base. Apply does not modify base. The
// result depends only on base and intent, so all VMs compute the same result. The
// error is ErrEmptyIntent, or a *ValidationError if a change cannot be applied or
// the result is invalid.
func Apply(base *Configuration, intent Intent) (*Configuration, error) {
	if len(intent.Changes) == 0 {
		return nil, ErrEmptyIntent
	}
	d := newDraft(base)
	for _, change := range intent.Changes {
		change.apply(d)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	result := d.configuration()
	result.Version = base.Version + 1
	if err := Validate(result); err != nil {
		return nil, err
	}
	return result, nil
}

// placedServer is a backend server with the ID of the service it belongs to.
type placedServer struct {
	Server
	service ServiceID
}

// draft is a mutable copy of a configuration to which changes are applied. It
// keeps the servers of all services in one collection, and records the faults of
// changes that cannot be applied.
type draft struct {
	faultList
	zones    collection[zone.AvailabilityZone]
	services collection[Service] // Service.Servers is nil; see servers
	servers  collection[placedServer]
	teams    collection[Team]
	keys     collection[Key]
	routes   collection[Route]
}

// newDraft returns a draft with a copy of the configuration.
func newDraft(c *Configuration) *draft {
	d := &draft{
		zones:    newCollection("zones", c.Zones, func(z *zone.AvailabilityZone) string { return string(z.ID) }),
		services: newCollection("services", c.Services, func(s *Service) string { return string(s.ID) }),
		servers:  newCollection("servers", nil, func(s *placedServer) string { return string(s.ID) }),
		teams:    newCollection("teams", c.Teams, func(t *Team) string { return string(t.ID) }),
		keys:     newCollection("keys", c.Keys, func(k *Key) string { return string(k.ID) }),
		routes:   newCollection("routes", c.Routes, func(r *Route) string { return string(r.ID) }),
	}
	for i := range d.services.items {
		s := &d.services.items[i]
		for _, server := range s.Servers {
			d.servers.put(placedServer{Server: server, service: s.ID})
		}
		s.Servers = nil
	}
	return d
}

// removeServersOf removes all servers of the service.
func (d *draft) removeServersOf(id ServiceID) {
	d.servers.items = slices.DeleteFunc(d.servers.items, func(s placedServer) bool { return s.service == id })
	d.servers.reindex()
}

// configuration returns the draft as a configuration, with the servers listed
// under their services. The version is not set. The draft must not be used
// afterwards.
func (d *draft) configuration() *Configuration {
	for i := range d.servers.items {
		s := &d.servers.items[i]
		if service := d.services.get(string(s.service)); service != nil {
			service.Servers = append(service.Servers, s.Server)
		}
	}
	return &Configuration{
		Zones:    d.zones.items,
		Services: d.services.items,
		Teams:    d.teams.items,
		Keys:     d.keys.items,
		Routes:   d.routes.items,
	}
}

// collection is an ordered list of items that can be looked up by ID.
type collection[T any] struct {
	kind      string // name of the list in the paths of faults
	items     []T
	positions map[string]int
	id        func(*T) string
	// removed holds the items that were removed, also if one with the same ID was put
	// afterwards.
	removed map[string]T
}

// newCollection returns a collection with a copy of the items. The function id
// returns the ID of an item.
func newCollection[T any](kind string, items []T, id func(*T) string) collection[T] {
	c := collection[T]{kind: kind, items: slices.Clone(items), id: id}
	c.reindex()
	return c
}

// reindex rebuilds the positions after the items have moved.
func (c *collection[T]) reindex() {
	c.positions = make(map[string]int, len(c.items))
	for i := range c.items {
		c.positions[c.id(&c.items[i])] = i
	}
}

// get returns the item with the given ID, or nil. The pointer is valid until the
// next put or remove.
func (c *collection[T]) get(id string) *T {
	if i, ok := c.positions[id]; ok {
		return &c.items[i]
	}
	return nil
}

// getOrRemoved returns the item with the given ID or, if there is none, the removed item
// with that ID, or nil. What must not change as long as an item exists must not change
// either if one intent removes the item and adds it again.
func (c *collection[T]) getOrRemoved(id string) *T {
	if item := c.get(id); item != nil {
		return item
	}
	if item, ok := c.removed[id]; ok {
		return &item
	}
	return nil
}

// getRequired returns the item with the given ID. If there is none, it records a
// fault and returns nil.
func (c *collection[T]) getRequired(l *faultList, id string) *T {
	item := c.get(id)
	l.require(item != nil, pathOf(c.kind, id, "id"), id, "must exist in the configuration")
	return item
}

// put replaces the item with the same ID, or appends the item if there is none.
func (c *collection[T]) put(item T) {
	id := c.id(&item)
	if i, ok := c.positions[id]; ok {
		c.items[i] = item
		return
	}
	c.positions[id] = len(c.items)
	c.items = append(c.items, item)
}

// remove deletes the item with the given ID, or records a fault if there is none.
func (c *collection[T]) remove(l *faultList, id string) {
	if c.getRequired(l, id) == nil {
		return
	}
	i := c.positions[id]
	if _, again := c.removed[id]; !again {
		if c.removed == nil {
			c.removed = make(map[string]T)
		}
		c.removed[id] = c.items[i]
	}
	c.items = slices.Delete(c.items, i, i+1)
	c.reindex()
}
