package netfault

import (
	"encoding/json"
	"net/http"
)

// Admin returns the HTTP handler through which other processes control the
// network:
//
//	GET  /links                             returns a JSON object of link names to addresses
//	PUT  /links/{name}/faults/{direction}   replaces the fault of a direction by the JSON Fault in the body
//	POST /links/{name}/{action}             runs the action refuse, accept, cut, reset or heal
//
// An unknown link gets status 404. An unknown direction, an unknown action or
// a body that is not a valid Fault gets status 400.
func (n *Network) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Links()) // on an error the client gets an incomplete response
	})
	mux.HandleFunc("PUT /links/{name}/faults/{direction}", n.putFault)
	mux.HandleFunc("POST /links/{name}/{action}", n.postAction)
	return mux
}

// putFault replaces the fault of one direction of a link.
func (n *Network) putFault(w http.ResponseWriter, r *http.Request) {
	l, err := n.Link(LinkName(r.PathValue("name")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	direction := Direction(r.PathValue("direction"))
	if direction != ToTarget && direction != ToClient {
		http.Error(w, "the direction must be to-target or to-client", http.StatusBadRequest)
		return
	}
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields() // otherwise a misspelled field would be accepted and set no fault
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFault(direction, fault)
}

// postAction runs one of the actions on a link.
func (n *Network) postAction(w http.ResponseWriter, r *http.Request) {
	l, err := n.Link(LinkName(r.PathValue("name")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	switch action := r.PathValue("action"); action {
	case "refuse":
		err = l.SetRefuse(true)
	case "accept":
		err = l.SetRefuse(false)
	case "cut":
		l.Cut()
	case "reset":
		l.Reset()
	case "heal":
		err = l.Heal()
	default:
		http.Error(w, "unknown action "+action, http.StatusBadRequest)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
