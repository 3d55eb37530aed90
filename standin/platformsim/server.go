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
// and S3 protocols; S3 bucket names cannot start with an underscore.
const (
	// VMListPath serves the VM list as a JSON array of store.ListedVM; PUT
	// replaces it.
	VMListPath = "/_vms"
	// FaultsPath takes Faults by PUT; ?client=<access key> limits them to one client.
	FaultsPath = "/_admin/faults"
	// CountersPath serves Counters.
	CountersPath = "/_admin/counters"
)

// maxBodyBytes bounds what the stand-in reads of one call.
const maxBodyBytes = 64 << 20

// Handler serves the platform over HTTP. A client is known by the access key ID
// of its signature; the signature itself is not checked.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+VMListPath, p.serveVMList)
	mux.HandleFunc("PUT "+VMListPath, func(w http.ResponseWriter, r *http.Request) {
		var vms []store.ListedVM
		if decode(w, r, &vms) {
			p.SetVMs(vms)
		}
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			p.SetClientFaults(r.URL.Query().Get("client"), f)
		}
	})
	mux.HandleFunc("GET "+CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		encode(w, p.Counters())
	})
	mux.HandleFunc("POST /{$}", p.serveDynamo)
	mux.HandleFunc("PUT /{bucket}/{name...}", p.serveObjectPut)
	mux.HandleFunc("GET /{bucket}/{name...}", p.serveObjectGet)
	return mux
}

// clientOf returns the access key ID of an AWS version 4 signature.
func clientOf(r *http.Request) string {
	_, credential, _ := strings.Cut(r.Header.Get("Authorization"), "Credential=")
	id, _, _ := strings.Cut(credential, "/")
	return id
}

// callContext outlives the connection, because a write takes effect even if
// its caller has gone.
func callContext(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

func (p *Platform) serveVMList(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("client")
	vms, err := p.Client(client).List(callContext(r))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if vms == nil {
		vms = []store.ListedVM{}
	}
	encode(w, vms)
}

// dropIfLost closes the connection without a response if the call's response
// is to be lost.
func dropIfLost(w http.ResponseWriter, err error) bool {
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

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
