package settings

import (
	"fmt"
	"io"
)

// redactedText is printed and encoded instead of a secret.
const redactedText = "(not shown)"

// Secret is a text that package fmt and encoders replace by a placeholder. Only
// Reveal returns the text itself.
type Secret string

// Reveal returns the secret's text.
func (s Secret) Reveal() string { return string(s) }

// String implements fmt.Stringer. It returns a placeholder.
func (s Secret) String() string { return redactedText }

// Format implements fmt.Formatter. It writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redactedText) }

// MarshalText implements encoding.TextMarshaler, which the JSON and TOML encoders
// use. It returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redactedText), nil }
