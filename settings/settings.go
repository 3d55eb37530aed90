package settings

import (
	"time"

	"almondstile/vm"
	"almondstile/zone"
)

// Settings are the settings of one VM. The comments give the defaults; values
// without one are required.
type Settings struct {
	VM       VM       `toml:"vm" json:"vm"`
	Listen   Listen   `toml:"listen" json:"listen"`
	Security Security `toml:"security" json:"security"`
	Platform Platform `toml:"platform" json:"platform"`
	Limits   Limits   `toml:"limits" json:"limits"`
	Log      Log      `toml:"log" json:"log"`
	Shutdown Shutdown `toml:"shutdown" json:"shutdown"`
}

// VM says which VM this is. The incarnation is chosen at each start.
type VM struct {
	ID   vm.ID   `toml:"id" json:"id"`
	Zone zone.ID `toml:"zone" json:"zone"`
}

// Listen holds the IP:port of each listener. Other VMs are told the addresses
// of forward and control, so these must name one IP address.
type Listen struct {
	Callers  string `toml:"callers" json:"callers"`
	Forward  string `toml:"forward" json:"forward"`
	Control  string `toml:"control" json:"control"`
	Operator string `toml:"operator" json:"operator"`
}

// Security holds the secret that VMs share and the operators' tokens.
type Security struct {
	// PeerSecret has at least 32 characters. Either it or PeerSecretFile is
	// set; Load fills it from the file.
	PeerSecret     Secret `toml:"peer_secret" json:"peer_secret"`
	PeerSecretFile string `toml:"peer_secret_file" json:"peer_secret_file"`
	// Operators may use the operators' API; none by default.
	Operators []Operator `toml:"operators" json:"operators"`
}

// Role is what an operator may do.
type Role string

// The roles of operators.
const (
	// RoleViewer may read the status and make plans, which change nothing.
	RoleViewer Role = "viewer"
	// RoleOperator may also confirm plans.
	RoleOperator Role = "operator"
)

// Operator is one bearer token of the operators' API.
type Operator struct {
	Name string `toml:"name" json:"name"`
	Role Role   `toml:"role" json:"role"`
	// TokenSHA256 is the hexadecimal SHA-256 of the token.
	TokenSHA256 string `toml:"token_sha256" json:"token_sha256"`
}

// Platform says how the platform's services are reached.
type Platform struct {
	TableEndpoint string `toml:"table_endpoint" json:"table_endpoint"` // URL
	Region        string `toml:"region" json:"region"`
	Table         string `toml:"table" json:"table"`
	AccessKey     string `toml:"access_key" json:"access_key"`
	// SecretKey or SecretKeyFile is set; Load fills SecretKey from the file.
	SecretKey      Secret `toml:"secret_key" json:"secret_key"`
	SecretKeyFile  string `toml:"secret_key_file" json:"secret_key_file"`
	ObjectEndpoint string `toml:"object_endpoint" json:"object_endpoint"` // URL
	Bucket         string `toml:"bucket" json:"bucket"`
	VMListURL      string `toml:"vm_list_url" json:"vm_list_url"`
	// TimeoutMillis bounds one call, 2000 by default.
	TimeoutMillis int `toml:"timeout_ms" json:"timeout_ms"`
}

// Timeout bounds one call to the platform.
func (p *Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMillis) }

// Limits bound what one caller or one process may take.
type Limits struct {
	HeaderBytes        int `toml:"header_bytes" json:"header_bytes"`         // 16384
	BodyBytes          int `toml:"body_bytes" json:"body_bytes"`             // 1 MiB
	ResponseBytes      int `toml:"response_bytes" json:"response_bytes"`     // 4 MiB
	Connections        int `toml:"connections" json:"connections"`           // 4096
	ReadTimeoutMillis  int `toml:"read_timeout_ms" json:"read_timeout_ms"`   // 10000
	WriteTimeoutMillis int `toml:"write_timeout_ms" json:"write_timeout_ms"` // 10000
	IdleTimeoutMillis  int `toml:"idle_timeout_ms" json:"idle_timeout_ms"`   // 60000
	QueueLength        int `toml:"queue_length" json:"queue_length"`         // 64, per backend server
	// Requests and RequestsPerTeam bound the requests under way on this VM, in
	// all (2048) and of one team (512).
	Requests        int `toml:"requests" json:"requests"`
	RequestsPerTeam int `toml:"requests_per_team" json:"requests_per_team"`
}

// ReadTimeout bounds the reading of one request.
func (l *Limits) ReadTimeout() time.Duration { return milliseconds(l.ReadTimeoutMillis) }

// WriteTimeout bounds the writing of one response.
func (l *Limits) WriteTimeout() time.Duration { return milliseconds(l.WriteTimeoutMillis) }

// IdleTimeout bounds the time between two requests of a connection.
func (l *Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMillis) }

// Log says what is logged.
type Log struct {
	Level string `toml:"level" json:"level"` // "info"
}

// Shutdown says how a graceful shutdown ends.
type Shutdown struct {
	// LimitMillis bounds the shutdown, 30000 by default. Requests that still
	// run then are cut.
	LimitMillis int `toml:"limit_ms" json:"limit_ms"`
}

// Limit bounds the time of a graceful shutdown.
func (s *Shutdown) Limit() time.Duration { return milliseconds(s.LimitMillis) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults returns the settings of an empty file.
func Defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMillis: 2000},
		Limits: Limits{
			HeaderBytes:        16 << 10,
			BodyBytes:          1 << 20,
			ResponseBytes:      4 << 20,
			Connections:        4096,
			ReadTimeoutMillis:  10_000,
			WriteTimeoutMillis: 10_000,
			IdleTimeoutMillis:  60_000,
			QueueLength:        64,
			Requests:           2048,
			RequestsPerTeam:    512,
		},
		Log:      Log{Level: "info"},
		Shutdown: Shutdown{LimitMillis: 30_000},
	}
}
