package contract

import "math"

// floorTolerance keeps 0.7 of 10 slots at 7 despite binary fractions.
const floorTolerance = 1e-9

// FloorSlots is the least number of healthy slots that ejection must leave a
// service, of the given slots for new work: those of servers that are not
// leaving and whose zone is in. It is the only place that applies the floor
// share, so that plans, the outlier detection and the status agree.
func FloorSlots(share float64, slotsForNewWork int) int {
	return int(math.Ceil(share*float64(slotsForNewWork) - floorTolerance))
}

// SlotsForNewRequests counts the slots of a service's servers that take new work.
func (x *Index) SlotsForNewRequests(s *Service) int {
	slots := 0
	for i := range s.Servers {
		if x.AcceptsNewRequests(&s.Servers[i]) {
			slots += s.Servers[i].Slots
		}
	}
	return slots
}

// canEject reports whether the floor permits the ejection of at least one of
// the service's servers while all are healthy.
func (x *Index) canEject(s *Service) bool {
	slots := x.SlotsForNewRequests(s)
	floor := FloorSlots(s.FloorShare, slots)
	for i := range s.Servers {
		if x.AcceptsNewRequests(&s.Servers[i]) && slots-s.Servers[i].Slots >= floor {
			return true
		}
	}
	return false
}
