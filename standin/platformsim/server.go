package platformsim

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Paths of the stand-in's own endpoints. All other paths belong to the DynamoDB
// and S3 protocols. The two kinds cannot collide, because S3 bucket names cannot
// start with an underscore.
const (
	// VMListPath is the path of the VM list, a JSON array of store.ListedVM.
	// GET returns it, with the faults of the client in ?client=<access key>
	// applied. PUT replaces it.
	VMListPath = "/_vms"
	// FaultsPath is the path to which PUT sends new Faults as JSON. They
	// apply to all clients, or to one with ?client=<access key>.
	FaultsPath = "/_admin/faults"
	// CountersPath is the path from which GET returns Counters as JSON.
	CountersPath = "/_admin/counters"
)

// maxBodyBytes is the maximum size of a request body in bytes (64 MiB).
const maxBodyBytes = 64 << 20

// Handler returns the HTTP handler of the platform's services and of the
// stand-in's own endpoints. The access key ID in the request's signature is the
// client ID. The signature itself is not verified.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+VMListPath, p.serveVMList)
	mux.HandleFunc("PUT "+VMListPath, func(w http.ResponseWriter, r *http.Request) {
		var vms []store.ListedVM
		if decodeJSON(w, r, &vms) {
			p.SetVMs(vms)
		}
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decodeJSON(w, r, &f) {
			p.SetClientFaults(r.URL.Query().Get("client"), f)
		}
	})
	mux.HandleFunc("GET "+CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		encodeJSON(w, p.Counters())
	})
	mux.HandleFunc("POST /{$}", p.serveDynamo)
	mux.HandleFunc("PUT /{bucket}/{name...}", p.serveObjectPut)
	mux.HandleFunc("GET /{bucket}/{name...}", p.serveObjectGet)
	return mux
}

// clientIDOf returns the access key ID from the AWS version 4 signature in the
// header Authorization, or "" without one.
func clientIDOf(r *http.Request) string {
	_, credential, _ := strings.Cut(r.Header.Get("Authorization"), "Credential=")
	id, _, _ := strings.Cut(credential, "/")
	return id
}

// detachedContext returns the request's context without its cancellation. A
// write that was received must take effect even if the client disconnects.
func detachedContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

// serveVMList sends the VM list, or status 503 if a fault makes the read fail.
func (p *Platform) serveVMList(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("client")
	vms, err := p.Client(client).List(detachedContext(r))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if vms == nil {
		vms = []store.ListedVM{}
	}
	encodeJSON(w, vms)
}

// closeIfResponseLost closes the connection without a response if err is
// store.ErrUnknownOutcome, and reports whether it did. If the connection cannot
// be hijacked, as with HTTP/2, it aborts the handler with a panic instead.
func closeIfResponseLost(w http.ResponseWriter, err error) bool {
	if !errors.Is(err, store.ErrUnknownOutcome) {
		return false
	}
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
			return true
		}
	}
	panic(http.ErrAbortHandler)
}

// decodeJSON reads the request body into target. If that fails, it sends status
// 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// encodeJSON sends value as JSON with status 200.
func encodeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
