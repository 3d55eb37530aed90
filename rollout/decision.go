package rollout

import "time"

// Verdict is how a roll-out ends.
type Verdict int

// The verdicts.
const (
	// NoVerdict means that the roll-out goes on.
	NoVerdict Verdict = iota
	// RollBack means that the target version gets no more requests.
	RollBack
	// Complete means that the old servers may stop.
	Complete
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case RollBack:
		return "roll back"
	case Complete:
		return "complete"
	default:
		return "none"
	}
}

// TargetServer is a server of the target version that may get requests.
type TargetServer struct {
	// Key is an opaque key of the server's incarnation, the same on all VMs.
	Key   string
	Slots int
	// Cold is true while the server starts slowly. RampPerSecond is then the number of
	// requests a second that it sustains.
	Cold          bool
	RampPerSecond float64
}

// Situation is what a VM knows of the fleet and of the service's servers.
type Situation struct {
	// Targets are the servers of the target version that may get requests.
	Targets []TargetServer
	// OldServers and OldSlots count the other servers that may get requests, and their slots.
	OldServers, OldSlots int
	// OldInFlight is the number of requests, of all VMs, that are under way or queued at old
	// servers, counted high where it is not known. OldUnrepeatable is the number of those
	// that may not be repeated.
	OldInFlight, OldUnrepeatable int
	// ArrivalsPerSecond is the rate at which all VMs receive requests for the service.
	ArrivalsPerSecond float64
	// ConnectedShare is the share of the fleet (0 to 1) with which this VM exchanges counts.
	ConnectedShare float64
	// RemoteCountsUnknown is true if this VM started after the order and VMs that know more
	// of it are live, or if it does not know what all VMs sent since the order.
	RemoteCountsUnknown bool
	// OthersShift is true if another VM announced that it has found the target version no
	// worse and moves its requests.
	OthersShift bool
	// Announced is the verdict that another VM has announced, RollBack if they differ.
	Announced Verdict
	// Stored is the verdict that the store holds. It replaces that of this VM.
	Stored Verdict
}

// Reason says what a decision follows from.
type Reason string

// The reasons of decisions.
const (
	ReasonNoTargets      Reason = "no server of the target version may get requests"
	ReasonIsolated       Reason = "this VM is connected with too small a part of the fleet"
	ReasonCompare        Reason = "the versions are compared"
	ReasonPause          Reason = "the target version pauses until its next period of like load"
	ReasonBudgetUsed     Reason = "the target version has had its share of the requests"
	ReasonOldGone        Reason = "no old server may get requests"
	ReasonShift          Reason = "the requests move to the target version"
	ReasonHeld           Reason = "the requests do not move yet"
	ReasonEmptying       Reason = "the old servers still have requests"
	ReasonEmptied        Reason = "the old servers have no requests"
	ReasonWorse          Reason = "the target version is worse than the old one"
	ReasonManyFailures   Reason = "the target version failed too many requests"
	ReasonUnclear        Reason = "the target version may be worse when its requests have to move"
	ReasonTooFewCompared Reason = "the target version had too few responses to move all requests to it"
	ReasonDeadline       Reason = "the roll-out did not end in time"
	ReasonAnnounced      Reason = "another VM announced the verdict"
	ReasonStored         Reason = "the store holds the verdict"
)

// Figures are the figures behind a decision.
type Figures struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Sent and SentToTarget are the requests that VMs sent since the order.
	Sent, SentToTarget float64
	// Responses, Failures and Slow count the sampled responses of the target version,
	// OldResponses and OldFailures those of the old one.
	Responses, Failures, Slow float64
	OldResponses, OldFailures float64
	// Evidence is the factor by which the responses favour a worse target version over one
	// that is not worse or has a few worse servers. EvidenceAll is the factor by which they
	// favour a worse version or worse servers over neither.
	Evidence, EvidenceAll float64
	// Suspects is the number of target servers that are left out of the group because only
	// they serve worse.
	Suspects int
}

// Decision is what a VM does with the requests of the service until the next decision.
type Decision struct {
	// TargetShare is the probability (0 to 1) with which a request of this VM goes to a
	// target server. It is 1 when the old servers are emptied.
	TargetShare float64
	// TargetServers holds the keys of the target servers that may be used; nil means all.
	TargetServers []string
	// SampleShares holds the probability with which the response to a request that is sent
	// to a side is sampled.
	SampleShares [sideCount]float64
	// Shifting is true once this VM moves all its requests. It is announced to the others.
	Shifting bool
	Verdict  Verdict
	// WriteStatus is true when the verdict may be written to the store: requests sent to the
	// target version before other VMs learned of a roll-back have then been served.
	WriteStatus bool
	Reason      Reason
	Figures     Figures
}
