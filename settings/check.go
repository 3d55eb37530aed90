package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// minPeerSecretChars makes guessing the shared secret hopeless: 32 random
// hexadecimal digits are 128 bits.
const minPeerSecretChars = 32

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameAllowed = "must be 1 to 64 letters, digits, '-', '_' or '.', and must not start with '-' or '.'"

// check records the faults of decoded settings and fills in secrets.
func (l *loader) check(s *Settings) {
	l.name("vm.id", string(s.VM.ID))
	l.name("vm.zone", string(s.VM.Zone))
	l.checkListen(&s.Listen)
	l.checkSecurity(&s.Security)
	l.checkPlatform(&s.Platform)
	l.checkLimits(&s.Limits)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		l.add("log.level", s.Log.Level, "must be one of panic, fatal, error, warn, info, debug and trace")
	}
	l.inRange("shutdown.limit_ms", s.Shutdown.LimitMillis, 100, 600_000)
}

func (l *loader) name(key, value string) {
	if !namePattern.MatchString(value) {
		l.add(key, value, nameAllowed)
	}
}

func (l *loader) inRange(key string, value, low, high int) {
	if value < low || value > high {
		l.add(key, value, fmt.Sprintf("must be from %d to %d", low, high))
	}
}

func (l *loader) checkListen(s *Listen) {
	seen := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		key, value string
		advertised bool
	}{
		{"listen.callers", s.Callers, false},
		{"listen.forward", s.Forward, true},
		{"listen.control", s.Control, true},
		{"listen.operator", s.Operator, false},
	} {
		address, err := netip.ParseAddrPort(a.value)
		switch {
		case err != nil || address.Port() == 0:
			l.add(a.key, a.value, "must be an IP address and port, for instance 10.0.0.7:8080")
		case a.advertised && address.Addr().IsUnspecified():
			l.add(a.key, a.value, "must name one IP address, because other VMs connect to it")
		case seen[address] != "":
			l.add(a.key, a.value, "must differ from "+seen[address])
		default:
			seen[address] = a.key
		}
	}
}

func (l *loader) checkSecurity(s *Security) {
	s.PeerSecret = l.secret("security.peer_secret", s.PeerSecret, s.PeerSecretFile)
	if len([]rune(s.PeerSecret.Reveal())) < minPeerSecretChars {
		l.add("security.peer_secret", s.PeerSecret, fmt.Sprintf("must have at least %d characters", minPeerSecretChars))
	}
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, o := range s.Operators {
		key := fmt.Sprintf("security.operators[%d].", i)
		l.name(key+"name", o.Name)
		if names[o.Name] {
			l.add(key+"name", o.Name, "must be unique")
		}
		if o.Role != RoleViewer && o.Role != RoleOperator {
			l.add(key+"role", o.Role, `must be "viewer" or "operator"`)
		}
		// A wrong value may be the token itself, so it is not shown.
		if !hashPattern.MatchString(o.TokenSHA256) {
			l.add(key+"token_sha256", Secret(""), "must be the SHA-256 of the token as 64 lower-case hexadecimal digits")
		} else if hashes[o.TokenSHA256] {
			l.add(key+"token_sha256", Secret(""), "must be unique")
		}
		names[o.Name], hashes[o.TokenSHA256] = true, true
	}
}

func (l *loader) checkPlatform(p *Platform) {
	l.url("platform.table_endpoint", p.TableEndpoint)
	l.url("platform.object_endpoint", p.ObjectEndpoint)
	l.url("platform.vm_list_url", p.VMListURL)
	l.name("platform.region", p.Region)
	l.name("platform.table", p.Table)
	l.name("platform.bucket", p.Bucket)
	l.name("platform.access_key", p.AccessKey)
	p.SecretKey = l.secret("platform.secret_key", p.SecretKey, p.SecretKeyFile)
	if p.SecretKey == "" {
		l.add("platform.secret_key", p.SecretKey, "must not be empty")
	}
	l.inRange("platform.timeout_ms", p.TimeoutMillis, 10, 30_000)
}

// url does not show a value with a user name, which may come with a password.
func (l *loader) url(key, value string) {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil {
		return
	}
	var shown any = value
	if err != nil || u.User != nil {
		shown = Secret("")
	}
	l.add(key, shown, "must be an http or https URL without a user name")
}

func (l *loader) checkLimits(s *Limits) {
	const day = 24 * 60 * 60 * 1000
	l.inRange("limits.header_bytes", s.HeaderBytes, 1<<10, 1<<20)
	l.inRange("limits.body_bytes", s.BodyBytes, 1, 64<<20)
	l.inRange("limits.response_bytes", s.ResponseBytes, 1<<10, 64<<20)
	l.inRange("limits.connections", s.Connections, 1, 1_000_000)
	l.inRange("limits.read_timeout_ms", s.ReadTimeoutMillis, 10, day)
	l.inRange("limits.write_timeout_ms", s.WriteTimeoutMillis, 10, day)
	l.inRange("limits.idle_timeout_ms", s.IdleTimeoutMillis, 10, day)
	l.inRange("limits.queue_length", s.QueueLength, 0, 100_000)
	l.inRange("limits.requests", s.Requests, 1, 1_000_000)
	l.inRange("limits.requests_per_team", s.RequestsPerTeam, 1, 1_000_000)
}

// typeOf describes the type that the settings have at a key.
func typeOf(key toml.Key) string {
	t := reflect.TypeFor[Settings]()
	for _, part := range key {
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		next, ok := fieldType(t, part)
		if !ok {
			break
		}
		t = next
	}
	switch t.Kind() {
	case reflect.Int:
		return "an integer"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list of tables"
	}
	return "a table"
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
