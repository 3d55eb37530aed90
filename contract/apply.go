package contract

import (
	"slices"

	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// ErrEmptyIntent says that an intent contains no change.
var ErrEmptyIntent = errors.New("contract: the intent contains no change")

// Apply returns the configuration that results from the intent, one version
// above base. Base is not modified. The result depends on base and intent
// alone, so all VMs compute the same one. If the changes cannot be made or the
// result is invalid, the error is an *ValidationError.
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

// placedServer is a server with the service that it belongs to.
type placedServer struct {
	Server
	service ServiceID
}

// draft is a copy of a configuration that changes edit.
type draft struct {
	faultList
	zones    collection[zone.AvailabilityZone]
	services collection[Service] // without servers
	servers  collection[placedServer]
	teams    collection[Team]
	keys     collection[Key]
	routes   collection[Route]
}

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

func (d *draft) removeServersOf(id ServiceID) {
	d.servers.items = slices.DeleteFunc(d.servers.items, func(s placedServer) bool { return s.service == id })
	d.servers.reindex()
}

func (d *draft) configuration() *Configuration {
	for i := range d.servers.items {
		s := &d.servers.items[i]
		if owner := d.services.get(string(s.service)); owner != nil {
			owner.Servers = append(owner.Servers, s.Server)
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

// collection is an ordered list with a look-up by ID.
type collection[T any] struct {
	kind  string
	items []T
	at    map[string]int
	id    func(*T) string
}

func newCollection[T any](kind string, items []T, id func(*T) string) collection[T] {
	c := collection[T]{kind: kind, items: slices.Clone(items), id: id}
	c.reindex()
	return c
}

func (c *collection[T]) reindex() {
	c.at = make(map[string]int, len(c.items))
	for i := range c.items {
		c.at[c.id(&c.items[i])] = i
	}
}

// get returns the item or nil. The pointer is valid until the next put.
func (c *collection[T]) get(id string) *T {
	if i, ok := c.at[id]; ok {
		return &c.items[i]
	}
	return nil
}

// find is get with a fault for a missing item.
func (c *collection[T]) find(l *faultList, id string) *T {
	item := c.get(id)
	l.require(item != nil, at(c.kind, id, "id"), id, "must exist in the configuration")
	return item
}

func (c *collection[T]) put(item T) {
	id := c.id(&item)
	if i, ok := c.at[id]; ok {
		c.items[i] = item
		return
	}
	c.at[id] = len(c.items)
	c.items = append(c.items, item)
}

func (c *collection[T]) remove(l *faultList, id string) {
	if c.find(l, id) == nil {
		return
	}
	i := c.at[id]
	c.items = slices.Delete(c.items, i, i+1)
	c.reindex()
}
