package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"almondstile/membership"
	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
)

// Members is the member list as operators may change it.
type Members interface {
	List() vm.MemberList
	Self() vm.VM
	// LastHeard is when a VM last answered this one, or the zero time.
	LastAnsweredHeartbeat(id vm.ID) time.Time
	// Discard removes VMs without proof that they do not act. It may be repeated
	// after any error.
	Discard(ctx context.Context, lost []vm.ID) error
}

// discardSilence is how long a VM must have been silent to be discarded. It is
// above the lease of a session, so a VM that was heard later may still act.
const discardSilence = 10 * time.Second

// DiscardAssertion is what an operator asserts by confirming.
const DiscardAssertion = "By confirming you assert that the processes of these VMs have ended and will not run again. " +
	"If one still runs, two VMs may act in one role: rates may be exceeded and servers get more than their slots."

// DiscardRequest asks to show or, with Confirm, to do the removal of VMs.
type DiscardRequest struct {
	VMs     []vm.ID `json:"vms"`
	Confirm bool    `json:"confirm"`
	// Base is the member list version that was shown, with Confirm.
	Base uint64 `json:"base,omitempty"`
}

// DiscardReply shows the removal of VMs from the member list.
type DiscardReply struct {
	Base      uint64  `json:"base"`
	Removed   []vm.ID `json:"removed"`
	Remaining []vm.ID `json:"remaining"`
	Assertion string  `json:"assertion"`
	// Done is false while the removal is only shown.
	Done bool `json:"done"`
}

func (s *Server) discard(c fiber.Ctx) error {
	var request DiscardRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return failure(fiber.StatusBadRequest, CodeBadRequest, "the request cannot be read: "+err.Error())
	}
	reply, refused := discardEffect(s.members, request.VMs, time.Now())
	if refused != nil {
		return refused
	}
	if !request.Confirm {
		return c.JSON(reply)
	}
	if request.Base != reply.Base {
		e := failure(fiber.StatusConflict, CodeBaseChanged, "the member list has changed since this was shown; look at it again")
		e.detail.Current = reply.Base
		return e
	}
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	log := s.log.WithField("operator", operatorOf(c).Name).WithField("vms", request.VMs)
	if err := s.members.Discard(ctx, request.VMs); err != nil {
		log.WithError(err).Warn("VMs not discarded")
		return discardFailure(err)
	}
	log.Info("VMs discarded")
	reply.Done = true
	return c.JSON(reply)
}

// discardEffect shows what the removal would leave. It refuses VMs that are not
// listed and VMs that show signs of life.
func discardEffect(members Members, lost []vm.ID, now time.Time) (DiscardReply, *apiError) {
	list := members.List()
	reply := DiscardReply{Base: list.Version, Assertion: DiscardAssertion}
	if len(lost) == 0 {
		return reply, failure(fiber.StatusBadRequest, CodeBadRequest, "no VM is named")
	}
	for _, id := range lost {
		heard := members.LastAnsweredHeartbeat(id)
		switch _, listed := list.Find(id); {
		case !listed:
			return reply, failure(fiber.StatusNotFound, CodeNotFound, fmt.Sprintf("VM %s is not in the member list", id))
		case id == members.Self().ID:
			return reply, failure(fiber.StatusUnprocessableEntity, CodeRefused, fmt.Sprintf("VM %s runs: it answers this request", id))
		case now.Sub(heard) < discardSilence:
			return reply, failure(fiber.StatusUnprocessableEntity, CodeRefused, fmt.Sprintf(
				"VM %s runs: it answered %.0f s ago; stop its process and wait %v", id, now.Sub(heard).Seconds(), discardSilence))
		}
	}
	for _, v := range list.VMs {
		if slices.Contains(lost, v.ID) {
			reply.Removed = append(reply.Removed, v.ID)
		} else {
			reply.Remaining = append(reply.Remaining, v.ID)
		}
	}
	return reply, nil
}

func discardFailure(err error) *apiError {
	switch {
	case errors.Is(err, membership.ErrNotListed):
		return failure(fiber.StatusNotFound, CodeNotFound, "none of the VMs is in the member list any more")
	case errors.Is(err, store.ErrConditionFailed):
		return failure(fiber.StatusConflict, CodeBaseChanged, "the member list changed at the same moment; look at it again")
	case errors.Is(err, store.ErrNotDone):
		return failure(fiber.StatusServiceUnavailable, CodeUnavailable, "the store is unavailable; nothing was changed")
	}
	return failure(fiber.StatusGatewayTimeout, CodeOutcomeUnknown, "the VMs may have been discarded; ask again, which is safe")
}
