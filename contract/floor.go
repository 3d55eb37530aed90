package contract

import "math"

// floorTolerance absorbs rounding errors of binary fractions, so that a share of
// 0.7 of 10 slots gives a floor of 7 slots.
const floorTolerance = 1e-9

// FloorSlots returns the ejection floor of a service: the minimum number of
// healthy slots that must remain when servers are ejected. The share is from 0 to
// 1. It applies to the slots of the service's servers that accept new requests,
// as SlotsForNewRequests counts them. Plans, the outlier detection and the status
// all use this function, so that they agree on the floor.
func FloorSlots(share float64, slotsForNewRequests int) int {
	return int(math.Ceil(share*float64(slotsForNewRequests) - floorTolerance))
}

// SlotsForNewRequests returns the number of slots of the service's servers that
// accept new requests: servers that are not leaving and whose zone is not out.
func (x *Index) SlotsForNewRequests(s *Service) int {
	slots := 0
	for i := range s.Servers {
		if x.AcceptsNewRequests(&s.Servers[i]) {
			slots += s.Servers[i].Slots
		}
	}
	return slots
}

// floorPermitsEjection reports whether at least one of the service's servers can
// be ejected without falling below the floor while all the servers are healthy.
func (x *Index) floorPermitsEjection(s *Service) bool {
	slots := x.SlotsForNewRequests(s)
	floor := FloorSlots(s.FloorShare, slots)
	for i := range s.Servers {
		if x.AcceptsNewRequests(&s.Servers[i]) && slots-s.Servers[i].Slots >= floor {
			return true
		}
	}
	return false
}
