package contract

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"almondstile/zone"
)

// Upper limits of values. They catch slips such as a rate in the wrong unit
// and keep sums of slots and tokens far from overflow.
const (
	maxIDBytes           = 64
	maxRatePerSecond     = 10_000_000
	maxBurst             = 10_000_000
	maxWeight            = 1_000_000
	maxSlots             = 10_000
	maxConnections       = 1_000_000
	maxTimeoutMillis     = 600_000
	maxPathPrefixBytes   = 1024
	maxIdempotentMethods = 16
)

// IDs are parts of table keys and header values, so '/' and white space are
// excluded. A key's ID also excludes '.', which ends it in a credential.
var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]*$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)*/?$`)
)

// Validate checks a whole configuration. The error is an *ValidationError with
// every fault, or nil.
func Validate(c *Configuration) error {
	v := validator{
		zones:     make(map[zone.ID]bool, len(c.Zones)),
		services:  make(map[ServiceID]bool, len(c.Services)),
		servers:   make(map[ServerID]bool),
		teams:     make(map[TeamID]bool, len(c.Teams)),
		keys:      make(map[KeyID]bool, len(c.Keys)),
		routes:    make(map[RouteID]bool, len(c.Routes)),
		addresses: make(map[netip.AddrPort]ServerID),
		prefixes:  make(map[string]RouteID, len(c.Routes)),
	}
	for i := range c.Zones {
		v.zone(&c.Zones[i])
	}
	for i := range c.Teams {
		v.team(&c.Teams[i])
	}
	for i := range c.Services {
		v.service(&c.Services[i])
	}
	for i := range c.Keys {
		v.key(&c.Keys[i])
	}
	for i := range c.Routes {
		v.route(&c.Routes[i])
	}
	return v.err()
}

// validator keeps what was seen so far, to find duplicates and references
// that lead nowhere.
type validator struct {
	faultList
	zones     map[zone.ID]bool
	services  map[ServiceID]bool
	servers   map[ServerID]bool
	teams     map[TeamID]bool
	keys      map[KeyID]bool
	routes    map[RouteID]bool
	addresses map[netip.AddrPort]ServerID
	prefixes  map[string]RouteID
}

// checkID checks an ID's form and that it was not seen before.
func checkID[T ~string](l *faultList, kind string, id T, seen map[T]bool) {
	path := at(kind, string(id), "id")
	l.require(len(id) <= maxIDBytes && idPattern.MatchString(string(id)), path, id,
		"must be 1 to 64 letters, digits, '-', '_' or '.', and must not start with '-' or '.'")
	l.require(!seen[id], path, id, "must be unique")
	seen[id] = true
}

func inRange[T int | float64](l *faultList, path field, value, low, high T) {
	// The comparison is false for NaN, so NaN is a fault too.
	if !(value >= low && value <= high) {
		l.add(path, value, fmt.Sprintf("must be from %v to %v", low, high))
	}
}

func (v *validator) zone(z *zone.AvailabilityZone) {
	checkID(&v.faultList, "zones", z.ID, v.zones)
}

func (v *validator) team(t *Team) {
	id := string(t.ID)
	checkID(&v.faultList, "teams", t.ID, v.teams)
	if !(t.RatePerSecond > 0 && t.RatePerSecond <= maxRatePerSecond) {
		v.add(at("teams", id, "rate_per_second"), t.RatePerSecond,
			fmt.Sprintf("must be above 0 and at most %d", maxRatePerSecond))
	}
	inRange(&v.faultList, at("teams", id, "burst"), t.Burst, 1, maxBurst)
	inRange(&v.faultList, at("teams", id, "weight"), t.Weight, 1, maxWeight)
	inRange(&v.faultList, at("teams", id, "homes"), t.HomeCount, 0, min(maxHomes, max(1, t.Burst)))
}

func (v *validator) service(s *Service) {
	checkID(&v.faultList, "services", s.ID, v.services)
	inRange(&v.faultList, at("services", string(s.ID), "floor_share"), s.FloorShare, 0, 1)
	for i := range s.Servers {
		v.server(&s.Servers[i])
	}
}

func (v *validator) server(s *Server) {
	id := string(s.ID)
	checkID(&v.faultList, "servers", s.ID, v.servers)
	v.require(v.zones[s.Zone], at("servers", id, "zone"), s.Zone, "must name a zone of the configuration")
	inRange(&v.faultList, at("servers", id, "slots"), s.Slots, 1, maxSlots)
	inRange(&v.faultList, at("servers", id, "cold_slots"), s.ColdSlots, 1, max(s.Slots, 1))
	// Each running request occupies a connection.
	inRange(&v.faultList, at("servers", id, "connections"), s.MaxConnections, max(s.Slots, 1), maxConnections)
	v.address(s)
}

// address also excludes two servers with one address: each would get the slots
// of its own, and the process behind them more than it bears.
func (v *validator) address(s *Server) {
	path := at("servers", string(s.ID), "address")
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		v.add(path, s.Address, "must be an IP address and port, for instance 10.0.0.7:8080")
		return
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if other, taken := v.addresses[address]; taken {
		v.add(path, s.Address, fmt.Sprintf("must differ from the address of server %q", other))
	}
	v.addresses[address] = s.ID
}

func (v *validator) key(k *Key) {
	id := string(k.ID)
	checkID(&v.faultList, "keys", k.ID, v.keys)
	v.require(!strings.Contains(id, "."), at("keys", id, "id"), k.ID, "must not contain '.'")
	v.require(v.teams[k.Team], at("keys", id, "team"), k.Team, "must name a team of the configuration")
	// A wrong value may be the secret itself, so it is not repeated.
	v.require(hashPattern.MatchString(k.SecretHash), at("keys", id, "secret_hash"), "(not shown)",
		"must be the SHA-256 of the secret as 64 lower-case hexadecimal digits")
}

func (v *validator) route(r *Route) {
	id := string(r.ID)
	checkID(&v.faultList, "routes", r.ID, v.routes)
	v.prefix(r)
	v.require(v.services[r.Service], at("routes", id, "service"), r.Service, "must name a service of the configuration")
	listed := make(map[TeamID]bool, len(r.Teams))
	for _, t := range r.Teams {
		v.require(v.teams[t], at("routes", id, "teams"), t, "must name teams of the configuration")
		v.require(!listed[t], at("routes", id, "teams"), t, "must name each team once")
		listed[t] = true
	}
	inRange(&v.faultList, at("routes", id, "idempotent_methods.length"), len(r.IdempotentMethods), 0, maxIdempotentMethods)
	for _, m := range r.IdempotentMethods {
		v.require(methodPattern.MatchString(m), at("routes", id, "idempotent_methods"), m,
			"must be upper-case method names")
	}
	inRange(&v.faultList, at("routes", id, "timeout_ms"), r.TimeoutMillis, 1, maxTimeoutMillis)
}

func (v *validator) prefix(r *Route) {
	path := at("routes", string(r.ID), "path_prefix")
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathPrefixBytes ||
		!prefixPattern.MatchString(r.PathPrefix) || hasDotSegment(r.PathPrefix) {
		v.add(path, r.PathPrefix, `must start with "/" and consist of plain path segments without "." and ".."`)
		return
	}
	canonical := strings.TrimSuffix(r.PathPrefix, "/")
	if other, taken := v.prefixes[canonical]; taken {
		v.add(path, r.PathPrefix, fmt.Sprintf("must differ from the prefix of route %q", other))
	}
	v.prefixes[canonical] = r.ID
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
