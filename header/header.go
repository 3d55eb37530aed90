package header

import (
	"strings"

	"almondstile/request"
)

// The names of the header fields between callers, almondstile and backend servers.
const (
	// Prefix is the prefix of every field that only almondstile or a backend
	// server may set. Sanitize removes fields with this prefix.
	Prefix = "Almondstile-"

	Outcome   = "Almondstile-Outcome"
	Reason    = "Almondstile-Reason"
	RequestID = "Almondstile-Request-Id"

	Team           = "Almondstile-Team"
	DeadlineMillis = "Almondstile-Deadline-Ms"

	// NotRun has the value "true" in a response with status 503 in which a
	// backend server states that it did not execute the request.
	NotRun = "Almondstile-Not-Run"
	// ServerInstance identifies a backend server's process. Each start of the
	// server has another value.
	ServerInstance = "Almondstile-Server-Instance"

	Authorization  = "Authorization"
	APIKey         = "X-Api-Key"
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"
)

// hopByHopFields lists the fields that apply to a single connection. The names are
// in lower case.
var hopByHopFields = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true, // computed again from the body
	"expect":              true,
}

// credentialFields lists the fields that may contain a caller's key. The names are
// in lower case.
var credentialFields = map[string]bool{
	strings.ToLower(Authorization): true,
	strings.ToLower(APIKey):        true,
}

// Sanitize returns the fields that may be passed on. It removes hop-by-hop fields,
// the fields that Connection names, almondstile's own fields, and credentials, so
// that no backend server receives a caller's key.
func Sanitize(fields []request.HeaderField) []request.HeaderField {
	inConnection := namesInConnection(fields)
	kept := make([]request.HeaderField, 0, len(fields))
	for _, f := range fields {
		name := strings.ToLower(f.Name)
		if hopByHopFields[name] || credentialFields[name] || inConnection[name] || strings.HasPrefix(name, strings.ToLower(Prefix)) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// namesInConnection returns the field names that the Connection fields contain, in
// lower case.
func namesInConnection(fields []request.HeaderField) map[string]bool {
	names := map[string]bool{}
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for _, name := range strings.Split(f.Value, ",") {
			names[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// Get returns the value of the first field with the name, or "". Names are compared
// without regard to case.
func Get(fields []request.HeaderField, name string) string {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}
