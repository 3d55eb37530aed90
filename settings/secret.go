package settings

import (
	"fmt"
	"io"
)

const redacted = "(not shown)"

// Secret is a text that is not printed or encoded. Reveal returns it.
type Secret string

// Reveal returns the secret's text.
func (s Secret) Reveal() string { return string(s) }

// String returns a placeholder.
func (s Secret) String() string { return redacted }

// Format writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a placeholder; JSON and TOML encoders use it.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
