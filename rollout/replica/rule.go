package replica

import (
	"slices"

	"almondstile/contract"
	"almondstile/rollout"
)

// Rule says which servers of a service may get one attempt of a request. The zero value
// lets all of them have it.
type Rule struct {
	target rollout.Version
	scope  scope
	// group holds the keys of the servers of the target version that may be used, nil for
	// all of them.
	group map[string]bool
	// replaced are versions that get nothing.
	replaced []rollout.Version
	// ready are the versions whose servers go before those of other versions, which are
	// held or not known yet. nil stands for all versions.
	ready map[rollout.Version]bool
}

// scope is the part of a service's servers that a rule selects.
type scope int

const (
	// anyVersion selects no version in particular.
	anyVersion scope = iota
	// onlyOld and onlyTarget exclude the other side.
	onlyOld
	onlyTarget
	// preferOld and preferTarget use the other side only if theirs has no server that may
	// have the request.
	preferOld
	preferTarget
)

// Server is what a rule needs to know of a server.
type Server struct {
	ID        contract.ServerID
	StartedAt int64 // distinguishes the incarnations
	Version   rollout.Version
}

// Allows reports whether the server may have the request.
func (r *Rule) Allows(s Server) bool {
	isTarget := r.scope != anyVersion && s.Version == r.target
	switch {
	case slices.Contains(r.replaced, s.Version):
		return false
	case isTarget && r.scope == onlyOld, !isTarget && r.scope == onlyTarget:
		return false
	case isTarget && r.group != nil:
		return r.group[ServerKey(s.ID, s.StartedAt)]
	default:
		return true
	}
}

// PrefersAll reports whether the rule prefers no server to another.
func (r *Rule) PrefersAll() bool {
	return r.ready == nil && r.scope != preferOld && r.scope != preferTarget
}

// OnlyHolds reports whether the rule has no order behind it and only keeps requests from
// versions that were not known for long.
func (r *Rule) OnlyHolds() bool { return r.scope == anyVersion }

// Prefers reports whether the server is among those that get the request if any of them
// may have it.
func (r *Rule) Prefers(s Server) bool {
	switch {
	case r.scope == preferTarget:
		return s.Version == r.target // its order is known, so nothing is left to wait for
	case r.scope == onlyTarget:
		return true
	case r.ready != nil && !r.ready[s.Version]:
		return false
	default:
		return r.scope != preferOld || s.Version != r.target
	}
}
