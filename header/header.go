package header

import (
	"strings"

	"almondstile/request"
)

// Fields between callers, almondstile and backend servers.
const (
	// Prefix starts every field that almondstile sets. Fields with it are
	// removed from callers' requests.
	Prefix = "Almondstile-"

	Outcome   = "Almondstile-Outcome"
	Reason    = "Almondstile-Reason"
	RequestID = "Almondstile-Request-Id"

	Team           = "Almondstile-Team"
	DeadlineMillis = "Almondstile-Deadline-Ms"

	// NotRun with the value "true" and status 503 is a backend server's
	// statement that it did not run the request.
	NotRun = "Almondstile-Not-Run"
	// ServerInstance differs for each start of a backend server's process.
	ServerInstance = "Almondstile-Server-Instance"

	Authorization  = "Authorization"
	APIKey         = "X-Api-Key"
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"
)

// hopByHop lists the fields that describe one connection only.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true, // set anew from the body
	"expect":              true,
}

// credentials lists the fields that may carry a caller's key.
var credentials = map[string]bool{
	strings.ToLower(Authorization): true,
	strings.ToLower(APIKey):        true,
}

// Sanitize returns the fields that may pass on: without hop-by-hop fields and
// those that Connection lists, without almondstile's own fields, and without
// credentials, so that no backend server sees a caller's key.
func Sanitize(fields []request.HeaderField) []request.HeaderField {
	listed := connectionFields(fields)
	kept := make([]request.HeaderField, 0, len(fields))
	for _, f := range fields {
		name := strings.ToLower(f.Name)
		if hopByHop[name] || credentials[name] || listed[name] || strings.HasPrefix(name, strings.ToLower(Prefix)) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// connectionFields returns the lower-case names that Connection fields list.
func connectionFields(fields []request.HeaderField) map[string]bool {
	listed := map[string]bool{}
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for _, name := range strings.Split(f.Value, ",") {
			listed[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// Get returns the first value of a field, or "".
func Get(fields []request.HeaderField, name string) string {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}
