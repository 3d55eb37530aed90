package backendsim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"almondstile/contract"
)

// Admin returns the HTTP interface that controls a host from other processes:
//
//	GET  /servers                    addresses by server ID
//	GET  /servers/{id}/mode          Mode
//	PUT  /servers/{id}/mode          sets the Mode
//	POST /servers/{id}/crash?down_ms=N
//	GET  /servers/{id}/counters      Counters
//	GET  /executions?operation=ID    []Execution, all without the parameter
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

func serverID(r *http.Request) contract.ServerID { return contract.ServerID(r.PathValue("id")) }

func (h *Host) putMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields() // a misspelled mode must not pass as healthy
	if err := decoder.Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, mode, h.SetMode(serverID(r), mode))
}

func (h *Host) postCrash(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.Atoi(r.URL.Query().Get("down_ms"))
	if err != nil || millis < 0 {
		http.Error(w, "down_ms must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	writeJSON(w, struct{}{}, h.Crash(serverID(r), time.Duration(millis)*time.Millisecond))
}

func (h *Host) getExecutions(w http.ResponseWriter, r *http.Request) {
	operation := r.URL.Query().Get("operation")
	writeJSON(w, h.Executions(func(e Execution) bool {
		return operation == "" || e.OperationID == operation
	}), nil)
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client sees a cut response
}
