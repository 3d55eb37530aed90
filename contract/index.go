package contract

import (
	"strings"

	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// Errors of authentication (ErrMissingKey, ErrInvalidKey), authorization
// (ErrTeamNotAllowed) and routing (ErrNoRoute).
var (
	ErrMissingKey     = errors.New("the request carries no key")
	ErrInvalidKey     = errors.New("the key is not known or was withdrawn")
	ErrTeamNotAllowed = errors.New("the key's team may not use this route")
	ErrNoRoute        = errors.New("no route matches the path")
)

// Index provides look-ups in one Configuration. It is immutable, so it can be used
// concurrently.
type Index struct {
	config   *Configuration
	zones    map[zone.ID]*zone.AvailabilityZone
	services map[ServiceID]*Service
	servers  map[ServerID]*Server
	teams    map[TeamID]*Team
	keys     map[KeyID]*Key
	// routesByPrefix contains the routes without a host. Its keys are path
	// prefixes without the trailing slash.
	routesByPrefix map[string]*Route
	// routesByHostPrefix contains the routes with a host. Its keys hold the host in
	// lower case and the path prefix with a trailing slash.
	routesByHostPrefix map[hostPrefix]*Route
	routes             map[RouteID]*Route
	// serviceOf maps each server to the service it belongs to.
	serviceOf map[ServerID]ServiceID
	terms     map[ServiceID]ServiceTerms
}

// CallerLimits returns what bounds callers' requests.
func (x *Index) CallerLimits() CallerLimits { return x.config.CallerLimits }

type hostPrefix struct {
	host, prefix string
}

// NewIndex builds the look-up tables of a configuration. The caller must not
// modify the configuration afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		config:         c,
		zones:          make(map[zone.ID]*zone.AvailabilityZone, len(c.Zones)),
		services:       make(map[ServiceID]*Service, len(c.Services)),
		servers:        make(map[ServerID]*Server),
		teams:          make(map[TeamID]*Team, len(c.Teams)),
		keys:           make(map[KeyID]*Key, len(c.Keys)),
		routesByPrefix: make(map[string]*Route, len(c.Routes)),
		routes:         make(map[RouteID]*Route, len(c.Routes)),

		routesByHostPrefix: make(map[hostPrefix]*Route),
		serviceOf:          make(map[ServerID]ServiceID),
		terms:              make(map[ServiceID]ServiceTerms),
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
	teamRanks, anyUnranked := c.teamRanks()
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
		x.addTerms(&c.Routes[i], teamRanks, anyUnranked)
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
		x.routesByPrefix[prefix] = r
		return
	}
	x.routesByHostPrefix[hostPrefix{strings.ToLower(r.Host), prefix + "/"}] = r
}

// Version returns the version of the indexed configuration.
func (x *Index) Version() uint64 { return x.config.Version }

// Configuration returns the indexed configuration. The caller must not modify it.
func (x *Index) Configuration() *Configuration { return x.config }

// Service returns the service with the given ID, or nil.
func (x *Index) Service(id ServiceID) *Service { return x.services[id] }

// Server returns the backend server with the given ID, or nil.
func (x *Index) Server(id ServerID) *Server { return x.servers[id] }

// ServiceOf returns the ID of the service that a backend server belongs to, or an
// empty ID if the server is unknown.
func (x *Index) ServiceOf(id ServerID) ServiceID { return x.serviceOf[id] }

// Team returns the team with the given ID, or nil.
func (x *Index) Team(id TeamID) *Team { return x.teams[id] }

// RouteByID returns the route with the given ID, or nil.
func (x *Index) RouteByID(id RouteID) *Route { return x.routes[id] }

// AcceptsNewRequests reports whether the configuration permits new requests to the
// server: the server is not leaving, and its zone is not out.
func (x *Index) AcceptsNewRequests(s *Server) bool {
	z := x.zones[s.Zone]
	return !s.Leaving && (z == nil || !z.Out)
}

// Match returns the route without a host whose path prefix is the longest that
// matches whole segments of path. The error is ErrNoRoute if there is none.
func (x *Index) Match(path string) (*Route, error) {
	for prefix := strings.TrimSuffix(path, "/"); ; {
		if r, ok := x.routesByPrefix[prefix]; ok {
			return r, nil
		}
		lastSlash := strings.LastIndexByte(prefix, '/')
		if lastSlash < 0 {
			return nil, ErrNoRoute
		}
		prefix = prefix[:lastSlash]
	}
}

// MatchHost returns the host's route with the longest path prefix that matches
// path. The host may contain a port, which is ignored. If no route of the host
// matches, MatchHost returns the result of Match.
func (x *Index) MatchHost(host, path string) (*Route, error) {
	host = strings.ToLower(host)
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := x.routesByHostPrefix[hostPrefix{host, path[:end+1]}]; ok {
			return r, nil
		}
	}
	return x.Match(path)
}

// KeyValid reports whether the key is valid and belongs to the team. Callers use
// it to check an authenticated key again after the request has waited in a queue,
// because the key may have been withdrawn meanwhile.
func (x *Index) KeyValid(id KeyID, team TeamID) bool {
	k := x.keys[id]
	return k != nil && !k.Withdrawn && k.Team == team
}

// Authorize checks whether the credential permits requests on the route, and
// returns its key and team. On a route that is open to all, it ignores the
// credential and returns an empty key and team. The error is ErrMissingKey,
// ErrInvalidKey or ErrTeamNotAllowed.
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
