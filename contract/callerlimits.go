package contract

import "time"

// CallerLimits bound what a caller may send and how long it may take. A field that is 0
// is not stated; the VM's own default applies.
type CallerLimits struct {
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int `json:"max_body_bytes,omitempty"`
	// HeaderTimeout is the time within which the head of a request must arrive, from its
	// first byte on.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
}
