package netfault

import (
	"encoding/json"
	"net/http"
)

// Admin returns the HTTP interface that controls a network from other
// processes:
//
//	GET  /links                             addresses by link name
//	PUT  /links/{name}/faults/{direction}   sets the Fault
//	POST /links/{name}/{action}             refuse, accept, cut, reset or heal
func (n *Network) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Links()) // the client sees a cut response
	})
	mux.HandleFunc("PUT /links/{name}/faults/{direction}", n.putFault)
	mux.HandleFunc("POST /links/{name}/{action}", n.postAction)
	return mux
}

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
	decoder.DisallowUnknownFields() // a misspelled fault must not pass as none
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFault(direction, fault)
}

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
