package replica

import (
	"encoding/binary"
	"strconv"

	"almondstile/contract"
	"almondstile/rollout"
	"almondstile/tally"
	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// A subject of a roll-out has behind its kind, 1 byte, a hash of the order, and then for a
// sample hashes of the route and of the server, the side and the class of the responses,
// or for a load a hash of the VM. Two routes or servers with the same hash are compared as
// one.
const (
	orderStart, orderBytes   = 1, 3
	routeStart, routeBytes   = orderStart + orderBytes, 2
	serverStart, serverBytes = routeStart + routeBytes, 2
	classStart               = serverStart + serverBytes
	vmStart, vmBytes         = orderStart + orderBytes, 5
	subjectBytes             = classStart + 1
	// targetBit of the class byte is set for servers of the target version.
	targetBit = 0x80
)

// firstFailureClass is the lowest class of failures. They are above those of successes.
var firstFailureClass = rollout.FailureClass(0)

// orderKey identifies an order in subjects.
type orderKey string

// hashKey returns the first bytes of the hash of a name.
func hashKey(name string, bytes int) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(name))
	return string(b[:bytes])
}

// keyOfOrder returns the key of an order.
func keyOfOrder(o *rollout.Order) orderKey {
	id := o.ID()
	name := string(id.Service) + "/" + strconv.FormatUint(id.Version, 10) + "/" + string(id.Target) + "/" + id.Duration.String()
	return orderKey(hashKey(name, orderBytes))
}

// ServerKey returns the key of a server's incarnation, the same on all VMs. startedAt
// distinguishes the incarnations, see catalog.Registration.
func ServerKey(id contract.ServerID, startedAt int64) string {
	return hashKey(string(id)+"/"+strconv.FormatInt(startedAt, 10), serverBytes)
}

// OrderSubject returns the subject of what is sent and announced for an order.
func OrderSubject(o *rollout.Order) tally.Subject {
	return tally.Subject(pad(string(rune(tally.Rollout)) + string(keyOfOrder(o))))
}

// loadSubject returns the subject of what a process of a VM has under way at the servers
// that an order replaces.
func loadSubject(o *rollout.Order, self vm.VM) tally.Subject {
	return tally.Subject(string(rune(tally.RolloutLoad)) + string(keyOfOrder(o)) + hashKey(string(self.ID)+"/"+self.Incarnation, vmBytes))
}

// sampleSubject returns the subject of the responses of a sample. Servers of the old side
// are not told apart.
func sampleSubject(o *rollout.Order, route contract.RouteID, server string, side rollout.Side, class rollout.Class) tally.Subject {
	kind, classByte := tally.Sample, byte(class)
	if side == rollout.Target {
		classByte |= targetBit
		if class >= firstFailureClass {
			kind = tally.FailedSample
		}
	} else {
		server = string(make([]byte, serverBytes))
	}
	return tally.Subject(string(rune(kind)) + string(keyOfOrder(o)) + hashKey(string(route), routeBytes) + server + string([]byte{classByte}))
}

// orderOf returns the key of the order in a subject.
func orderOf(s tally.Subject) orderKey {
	return orderKey(s[orderStart : orderStart+orderBytes])
}

// sampleOf returns the sample that the counts of a subject describe.
func sampleOf(s tally.Subject, count uint64) rollout.Sample {
	sample := rollout.Sample{Route: string(s[routeStart : routeStart+routeBytes]), Class: rollout.Class(s[classStart] &^ targetBit), Count: count}
	if s[classStart]&targetBit != 0 {
		sample.Side, sample.Server = rollout.Target, string(s[serverStart:serverStart+serverBytes])
	}
	return sample
}

// pad fills a subject up with zeros.
func pad(s string) string { return s + string(make([]byte, subjectBytes-len(s))) }
