package room

import "time"

const (
	// freeLoad is the load up to which a service has free slots. No request is turned away
	// then, and a server that refuses one has other reasons.
	freeLoad = 0.8
	// minTargetLoad is the lowest load at which a service is kept while it is short of room.
	// Uneven queues leave no slot free, and a request waits for part of its service time.
	minTargetLoad = 1.4
	// targetShare is the share of the target latency that requests may take then.
	targetShare = 0.45
	// queueCorrection and idleCorrection are the parts by which fewer or more requests may be
	// sent than the slots execute, for each unit of load above or below targetLoad.
	queueCorrection = 0.4
	idleCorrection  = 2.0
	// maxQueueTime bounds the expected time in queues. It exceeds all time limits of callers.
	maxQueueTime = time.Hour
	// maxShortage bounds the share of requests that are turned away.
	maxShortage = 0.95
)

// Room is what a service can take at one time, over all VMs, as one VM knows it.
type Room struct {
	// Slots and InFlight are the slots of its servers and the requests that run or wait
	// there. Servers that are probably faulty count less.
	Slots, InFlight float64
	// soundest is the highest probability that a server is sound.
	soundest float64
}

// Server is what one server contributes to the room of its service.
type Server struct {
	Slots            int
	InFlight         float64
	FaultProbability float64 // from 0 to 1
}

// Add adds a server.
func (r *Room) Add(s Server) {
	sound := 1 - s.FaultProbability
	r.soundest = max(r.soundest, sound)
	r.Slots += sound * float64(s.Slots)
	r.InFlight += sound * s.InFlight
}

// OfSoundest returns the room with the soundest server counted in full. Where all servers are
// suspect, they get the requests all the same, and their slots execute them.
func (r Room) OfSoundest() Room {
	if r.soundest <= 0 {
		return r
	}
	return Room{Slots: r.Slots / r.soundest, InFlight: r.InFlight / r.soundest, soundest: 1}
}

// Load returns the number of requests in flight for each slot. It is 0 without slots:
// there is no room to divide then, and nothing to wait for.
func (r Room) Load() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return r.InFlight / r.Slots
}

// QueueTime returns how long a request that is sent now is expected to wait in a server's
// queue. serviceTime is the mean time that the service's requests take in a slot.
func (r Room) QueueTime(serviceTime time.Duration) time.Duration {
	return time.Duration(min(max(r.Load()-1, 0)*float64(serviceTime), float64(maxQueueTime)))
}

// TargetLoad returns the load at which a service is kept while it is short of room: the one
// at which its requests take a part of the target latency, so that they come in time.
func TargetLoad(serviceTime, target time.Duration) float64 {
	if serviceTime <= 0 {
		return minTargetLoad
	}
	return max(targetShare*float64(target)/float64(serviceTime), minTargetLoad)
}

// Shortage returns the share of the service's requests, from 0 to maxShortage, that must be
// turned away. perSecond is the number of requests for the service a second, also of those
// that are turned away.
//
// It follows the requests that the slots cannot execute, and the time in queues: while the
// load is above TargetLoad, more are turned away than arrive too many, and below it fewer.
// While no more requests arrive than the slots execute, the queues empty by themselves.
func (r Room) Shortage(serviceTime, target time.Duration, perSecond float64) float64 {
	load, targetLoad := r.Load(), TargetLoad(serviceTime, target)
	if load <= freeLoad || serviceTime <= 0 || perSecond <= 0 {
		return 0
	}
	correction := queueCorrection * (targetLoad - load)
	if load < targetLoad {
		correction = idleCorrection * (targetLoad - load)
	}
	executable := r.Slots / serviceTime.Seconds()
	if perSecond <= executable {
		return 0
	}
	return min(max(1-executable*max(1+correction, 0)/perSecond, 0), maxShortage)
}
