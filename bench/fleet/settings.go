package fleet

import (
	"crypto/sha256"
	"encoding/hex"

	"almondstile/standin/platformsim"

	"github.com/pelletier/go-toml/v2"
)

// vmSettings is the part of a VM's settings file that the bench sets. All other
// settings keep their defaults.
type vmSettings struct {
	VM       map[string]string `toml:"vm"`
	Listen   map[string]string `toml:"listen"`
	Security securitySettings  `toml:"security"`
	Platform map[string]string `toml:"platform"`
	Log      map[string]string `toml:"log"`
}

// securitySettings is the security section of a VM's settings file.
type securitySettings struct {
	PeerSecret string              `toml:"peer_secret"`
	Operators  []map[string]string `toml:"operators"`
}

// marshalSettings returns the content of a VM's settings file.
func (f *Fleet) marshalSettings(m Member) ([]byte, error) {
	platform := "http://" + f.PlatformAddress
	token := sha256.Sum256([]byte(f.token()))
	return toml.Marshal(vmSettings{
		VM: map[string]string{"id": string(m.ID), "zone": string(m.Zone)},
		Listen: map[string]string{
			"callers": m.Callers, "operator": m.Operators, "forward": m.Forward, "control": m.Control,
			"advertise_forward": m.ForwardVia, "advertise_control": m.ControlVia,
		},
		Security: securitySettings{
			PeerSecret: f.secret,
			Operators:  []map[string]string{{"name": "bench", "role": "operator", "token_sha256": hex.EncodeToString(token[:])}},
		},
		Platform: map[string]string{
			"table_endpoint": platform, "object_endpoint": platform,
			// The platform stand-in identifies a VM by its access key and by the
			// client parameter.
			"vm_list_url": platform + platformsim.VMListPath + "?client=" + string(m.ID),
			"region":      "local", "table": "almondstile", "bucket": "almondstile",
			"access_key": string(m.ID), "secret_key": "not-checked-by-the-stand-in",
		},
		Log: map[string]string{"level": "info"},
	})
}

// token returns the token with which the bench authenticates to the
// operators' listeners.
func (f *Fleet) token() string { return "operator-" + f.secret }
