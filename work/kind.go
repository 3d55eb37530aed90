package work

import (
	"math/bits"
	"net/http"
	"strconv"

	"almondstile/contract"
	"almondstile/tally"
)

// Kind describes requests of which a VM expects similar costs.
type Kind struct {
	Route   contract.RouteID
	Service contract.ServiceID
	Method  string
	// BodyBytes is the length of the request's body.
	BodyBytes int
}

// bodyClassBits is the number of bits by which the length of bodies of neighbouring
// classes differ: 4 for a factor of 16.
const bodyClassBits = 4

// Subject returns the subject of the counters of the kind. Bodies belong to the same
// kind if their lengths have the same order of magnitude.
func (k Kind) Subject() tally.Subject {
	bodyClass := (bits.Len(uint(max(k.BodyBytes, 0))) + bodyClassBits - 1) / bodyClassBits
	return tally.SubjectOf(tally.Cost, string(k.Route)+"\x00"+string(k.Service)+"\x00"+methodClass(k.Method)+"\x00"+strconv.Itoa(bodyClass))
}

// methodClass returns the method, or "" for one that HTTP does not define. Callers may send
// any token as a method, and each kind takes memory and messages of all VMs.
func methodClass(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return method
	default:
		return ""
	}
}

// ServiceSubject returns the subject of the counters of all requests of a service.
func ServiceSubject(id contract.ServiceID) tally.Subject {
	return tally.SubjectOf(tally.Cost, string(id))
}
