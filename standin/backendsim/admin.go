package backendsim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"almondstile/contract"
)

// Admin returns the HTTP handler through which other processes control the host:
//
//	GET  /servers                       returns a JSON object of server IDs to addresses
//	GET  /servers/{id}/mode             returns the Mode
//	PUT  /servers/{id}/mode             replaces the Mode by the one in the body
//	POST /servers/{id}/crash?down_ms=N  crashes the server for N milliseconds
//	GET  /servers/{id}/counters         returns the Counters
//	GET  /executions?operation=ID       returns []Execution of one operation, or of all without ID
//
// An unknown server gets status 404. A body that is not a valid Mode or a
// down_ms that is not a number of 0 or more gets status 400.
func (h *Host) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Servers(), nil) })
	mux.HandleFunc("GET /servers/{id}/mode", func(w http.ResponseWriter, r *http.Request) {
		mode, err := h.Mode(serverID(r))
		writeJSON(w, mode, err)
	})
	mux.HandleFunc("PUT /servers/{id}/mode", h.putMode)
	mux.HandleFunc("POST /servers/{id}/crash", h.postCrash)
	mux.HandleFunc("GET /servers/{id}/counters", func(w http.ResponseWriter, r *http.Request) {
		counters, err := h.Counters(serverID(r))
		writeJSON(w, counters, err)
	})
	mux.HandleFunc("GET /executions", h.getExecutions)
	return mux
}

// serverID returns the server ID in the path of the request.
func serverID(r *http.Request) contract.ServerID { return contract.ServerID(r.PathValue("id")) }

// putMode replaces the mode of a server.
func (h *Host) putMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields() // otherwise a misspelled field would be accepted and leave the server healthy
	if err := decoder.Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, mode, h.SetMode(serverID(r), mode))
}

// postCrash crashes a server.
func (h *Host) postCrash(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.Atoi(r.URL.Query().Get("down_ms"))
	if err != nil || millis < 0 {
		http.Error(w, "down_ms must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	writeJSON(w, struct{}{}, h.Crash(serverID(r), time.Duration(millis)*time.Millisecond))
}

// getExecutions returns the recorded executions, filtered by operation ID.
func (h *Host) getExecutions(w http.ResponseWriter, r *http.Request) {
	operation := r.URL.Query().Get("operation")
	writeJSON(w, h.Executions(func(e Execution) bool {
		return operation == "" || e.OperationID == operation
	}), nil)
}

// writeJSON responds with value as JSON, or with status 404 and the text of err if
// err is not nil.
func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // on an error the client gets an incomplete response
}
