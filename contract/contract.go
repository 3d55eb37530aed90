package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"almondstile/zone"
)

// IDs of the items of a configuration.
type (
	TeamID    string
	KeyID     string
	RouteID   string
	ServiceID string
	ServerID  string
)

// Team is a customer with an agreed share of the fleet's capacity.
type Team struct {
	ID TeamID `json:"id" toml:"id"`
	// RatePerSecond and Burst limit the requests of the team that all VMs together
	// admit: at most Burst + RatePerSecond × t requests in any period of t seconds.
	RatePerSecond float64 `json:"rate_per_second" toml:"rate_per_second"`
	Burst         int     `json:"burst" toml:"burst"`
	// HomeCount is the number of VMs among which the team's rate and burst are
	// split, so that the loss of one VM does not block the whole team. 0 in a
	// SetTeam change lets almondstile choose the number. It cannot change as long
	// as the team exists: VMs that disagree on it would together admit more than
	// the rate.
	HomeCount int `json:"homes" toml:"homes"`
	// Weight is the team's share of a server's slots, relative to the other teams,
	// when more requests are waiting than slots are free.
	Weight int `json:"weight" toml:"weight"`
	// Rank is the urgency of the team's requests on all routes. If it is nil, that of the
	// route applies.
	Rank *Rank `json:"rank,omitempty" toml:"-"`
}

// Key is an API key. It permits its bearer to send requests for one team. Only the
// hash of the secret is stored.
type Key struct {
	ID   KeyID  `json:"id" toml:"id"`
	Team TeamID `json:"team" toml:"team"`
	// SecretHash is the SHA-256 of the secret part of the credential, in lower-case
	// hexadecimal.
	SecretHash string `json:"secret_hash" toml:"secret_hash"`
	Withdrawn  bool   `json:"withdrawn,omitempty" toml:"withdrawn"`
}

// Route maps the requests for a path prefix to a service.
type Route struct {
	ID RouteID `json:"id" toml:"id"`
	// PathPrefix matches whole path segments. If several routes match, the one with
	// the longest prefix is used.
	PathPrefix string    `json:"path_prefix" toml:"path_prefix"`
	Service    ServiceID `json:"service" toml:"service"`
	// Teams lists the teams that may use the route. It is ignored if OpenToAll is
	// set.
	Teams     []TeamID `json:"teams,omitempty" toml:"teams"`
	OpenToAll bool     `json:"open_to_all,omitempty" toml:"open_to_all"`
	// IdempotentMethods lists the HTTP methods whose requests may be executed more
	// than once. Each route states this because the method alone is not enough: a
	// GET with a side effect must not be retried after it may have been executed.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" toml:"idempotent_methods"`
	// TimeoutMillis is the time limit in ms from the arrival of a request to the
	// end of its response.
	TimeoutMillis int `json:"timeout_ms" toml:"timeout_ms"`
	// Host restricts the route to requests for one host. If it is empty, the route
	// serves any host. A route with a host matches paths that begin with PathPrefix
	// followed by a slash.
	Host string `json:"host,omitempty" toml:"-"`
	// AnyTeam permits every team to use the route. Teams is then ignored.
	AnyTeam bool `json:"any_team,omitempty" toml:"-"`
	// Idempotence states for all methods whether requests may be executed more than
	// once. If it is empty, IdempotentMethods applies.
	Idempotence Idempotence `json:"idempotence,omitempty" toml:"-"`
	// Split divides the route's requests among several services. If it is empty,
	// all requests go to Service.
	Split []WeightedService `json:"split,omitempty" toml:"-"`
	// Attempts is the maximum number of backend servers that may execute one
	// request. 0 means 1.
	Attempts int `json:"attempts,omitempty" toml:"-"`
	// TargetLatencyMillis is the time in ms within which callers expect the
	// response. 0 means the timeout.
	TargetLatencyMillis int `json:"target_latency_ms,omitempty" toml:"-"`
	// Rank is the urgency of the route's requests.
	Rank Rank `json:"rank,omitempty" toml:"-"`
}

// Idempotence states whether requests of a route may be executed more than once.
type Idempotence string

// The values of Idempotence. IdempotentByMethod means that the route's
// IdempotentMethods apply.
const (
	IdempotentByMethod Idempotence = ""
	Idempotent         Idempotence = "idempotent"
	NotIdempotent      Idempotence = "not-idempotent"
)

// WeightedService is a service with its share of a split route's requests.
type WeightedService struct {
	Service ServiceID `json:"service"`
	// Weight is relative to the sum of the weights in the route's Split. A service
	// with weight 0 gets no requests.
	Weight int `json:"weight"`
}

// TargetLatency returns the time within which callers expect the response. It is
// the timeout if the route sets no target latency.
func (r *Route) TargetLatency() time.Duration {
	if r.TargetLatencyMillis == 0 {
		return r.Timeout()
	}
	return time.Duration(r.TargetLatencyMillis) * time.Millisecond
}

// PickService returns the service for one request of a split route. The point is a
// uniform random number in [0, 1), so services are picked in proportion to their
// weights. It returns Route.Service if the route has no split or all weights are 0.
func (r *Route) PickService(point float64) ServiceID {
	total := 0
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	if total <= 0 {
		return r.Service
	}
	position := point * float64(total)
	for _, weighted := range r.Split {
		position -= float64(weighted.Weight)
		if position < 0 {
			return weighted.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Timeout returns the time limit from the arrival of a request to the end of its
// response.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Idempotent reports whether requests with the method may be executed more than
// once.
func (r *Route) Idempotent(method string) bool {
	if r.Idempotence != IdempotentByMethod {
		return r.Idempotence == Idempotent
	}
	for _, m := range r.IdempotentMethods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

// Allows reports whether the team may use the route.
func (r *Route) Allows(team TeamID) bool {
	if r.OpenToAll || r.AnyTeam {
		return true
	}
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Service is a set of backend servers that can serve the same requests.
type Service struct {
	ID ServiceID `json:"id" toml:"id"`
	// FloorShare is the share (0 to 1) of the slots for new requests that must
	// remain healthy when servers are ejected; see FloorSlots.
	FloorShare float64  `json:"floor_share" toml:"floor_share"`
	Servers    []Server `json:"servers" toml:"servers"`
	// ColdRatePerSecond is the rate of requests that a server can sustain right
	// after its start, while it is cold.
	ColdRatePerSecond float64 `json:"ramp_per_second,omitempty" toml:"-"`
}

// Server is the configuration of one backend server.
type Server struct {
	ID      ServerID `json:"id" toml:"id"`
	Zone    zone.ID  `json:"zone" toml:"zone"`
	Address string   `json:"address" toml:"address"` // IP:port
	// Slots is the number of requests that the server executes concurrently.
	Slots int `json:"slots" toml:"slots"`
	// ColdSlots is the number of requests that the server can execute concurrently
	// right after its start.
	ColdSlots int `json:"cold_slots" toml:"cold_slots"`
	// MaxConnections is the number of connections that the server accepts.
	MaxConnections int `json:"connections" toml:"connections"`
	// Leaving is set while the server is taken out of service. It gets no new
	// requests, and its requests in flight finish.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
}

// Configuration is the state of all confirmed changes of operators at one version.
type Configuration struct {
	Version  uint64                  `json:"version"`
	Zones    []zone.AvailabilityZone `json:"zones"`
	Services []Service               `json:"services"`
	Teams    []Team                  `json:"teams"`
	Keys     []Key                   `json:"keys"`
	Routes   []Route                 `json:"routes"`
	// CallerLimits bound what callers may send.
	CallerLimits CallerLimits `json:"caller_limits,omitzero"`
}

// HashSecret returns the SHA-256 of the secret part of a credential in lower-case
// hexadecimal, the form of Key.SecretHash.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SplitCredential splits a caller's credential "<key ID>.<secret>" at the first
// dot. It returns false for ok if the dot is missing or a part is empty.
func SplitCredential(credential string) (id KeyID, secret string, ok bool) {
	name, secret, ok := strings.Cut(credential, ".")
	return KeyID(name), secret, ok && name != "" && secret != ""
}

// accepts reports whether the secret belongs to the key. The comparison takes
// constant time, so that its duration does not reveal where the hashes differ.
func (k *Key) accepts(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(k.SecretHash), []byte(HashSecret(secret))) == 1
}
