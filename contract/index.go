package contract

import (
	"strings"

	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// Errors of authentication and authorization.
var (
	ErrMissingKey     = errors.New("the request carries no key")
	ErrInvalidKey     = errors.New("the key is not known or was withdrawn")
	ErrTeamNotAllowed = errors.New("the key's team may not use this route")
	ErrNoRoute        = errors.New("no route matches the path")
)

// Index answers look-ups in one Configuration. It is immutable.
type Index struct {
	config   *Configuration
	zones    map[zone.ID]*zone.AvailabilityZone
	services map[ServiceID]*Service
	servers  map[ServerID]*Server
	teams    map[TeamID]*Team
	keys     map[KeyID]*Key
	// prefixes maps a path prefix without its trailing slash to its route.
	prefixes map[string]*Route
	// hostPrefixes maps a host and a path prefix with its trailing slash.
	hostPrefixes map[hostPrefix]*Route
	routes       map[RouteID]*Route
	// serviceOf names the service of each server.
	serviceOf map[ServerID]ServiceID
}

type hostPrefix struct {
	host, prefix string
}

// NewIndex builds the look-up tables of a configuration, which the caller must
// not modify afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		config:   c,
		zones:    make(map[zone.ID]*zone.AvailabilityZone, len(c.Zones)),
		services: make(map[ServiceID]*Service, len(c.Services)),
		servers:  make(map[ServerID]*Server),
		teams:    make(map[TeamID]*Team, len(c.Teams)),
		keys:     make(map[KeyID]*Key, len(c.Keys)),
		prefixes: make(map[string]*Route, len(c.Routes)),
		routes:   make(map[RouteID]*Route, len(c.Routes)),

		hostPrefixes: make(map[hostPrefix]*Route),
		serviceOf:    make(map[ServerID]ServiceID),
	}
	for i := range c.Zones {
		x.zones[c.Zones[i].ID] = &c.Zones[i]
	}
	for i := range c.Services {
		x.addService(&c.Services[i])
	}
	for i := range c.Teams {
		x.teams[c.Teams[i].ID] = &c.Teams[i]
	}
	for i := range c.Keys {
		x.keys[c.Keys[i].ID] = &c.Keys[i]
	}
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
	}
	return x
}

func (x *Index) addService(s *Service) {
	x.services[s.ID] = s
	for i := range s.Servers {
		x.servers[s.Servers[i].ID] = &s.Servers[i]
		x.serviceOf[s.Servers[i].ID] = s.ID
	}
}

func (x *Index) addRoute(r *Route) {
	x.routes[r.ID] = r
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	if r.Host == "" {
		x.prefixes[prefix] = r
		return
	}
	x.hostPrefixes[hostPrefix{strings.ToLower(r.Host), prefix + "/"}] = r
}

// Version returns the version of the indexed configuration.
func (x *Index) Version() uint64 { return x.config.Version }

// Configuration returns the indexed configuration, which must not be modified.
func (x *Index) Configuration() *Configuration { return x.config }

// Service returns the service with the given ID, or nil.
func (x *Index) Service(id ServiceID) *Service { return x.services[id] }

// Server returns the backend server with the given ID, or nil.
func (x *Index) Server(id ServerID) *Server { return x.servers[id] }

// ServiceOf returns the service that a backend server belongs to.
func (x *Index) ServiceOf(id ServerID) ServiceID { return x.serviceOf[id] }

// Team returns the team with the given ID, or nil.
func (x *Index) Team(id TeamID) *Team { return x.teams[id] }

// RouteByID returns the route with the given ID, or nil.
func (x *Index) RouteByID(id RouteID) *Route { return x.routes[id] }

// AcceptsNewRequests reports whether operators let the server have new requests: it
// is not leaving and its zone is not out.
func (x *Index) AcceptsNewRequests(s *Server) bool {
	z := x.zones[s.Zone]
	return !s.Leaving && (z == nil || !z.Out)
}

// Match returns the route with the longest prefix of whole segments of path.
func (x *Index) Match(path string) (*Route, error) {
	for prefix := strings.TrimSuffix(path, "/"); ; {
		if r, ok := x.prefixes[prefix]; ok {
			return r, nil
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil, ErrNoRoute
		}
		prefix = prefix[:cut]
	}
}

// MatchHost returns the route of the host with the longest prefix that begins
// the path. Routes without a host serve the hosts that have no matching route.
func (x *Index) MatchHost(host, path string) (*Route, error) {
	host = strings.ToLower(host)
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := x.hostPrefixes[hostPrefix{host, path[:end+1]}]; ok {
			return r, nil
		}
	}
	return x.Match(path)
}

// KeyValid reports whether a key that authenticated before still stands for
// the team. It is asked again after a request has waited in a queue.
func (x *Index) KeyValid(id KeyID, team TeamID) bool {
	k := x.keys[id]
	return k != nil && !k.Withdrawn && k.Team == team
}

// Authorize finds out which key and team a request runs for. On a route open
// to all the credential is ignored and both results are empty.
func (x *Index) Authorize(r *Route, credential string) (KeyID, TeamID, error) {
	if r.OpenToAll {
		return "", "", nil
	}
	if credential == "" {
		return "", "", ErrMissingKey
	}
	id, secret, ok := SplitCredential(credential)
	k := x.keys[id]
	if !ok || k == nil || k.Withdrawn || !k.accepts(secret) {
		return "", "", ErrInvalidKey
	}
	if !r.Allows(k.Team) {
		return "", "", ErrTeamNotAllowed
	}
	return k.ID, k.Team, nil
}
