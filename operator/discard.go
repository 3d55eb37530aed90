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

// Members reads the member list and removes VMs from it on behalf of operators.
type Members interface {
	List() vm.MemberList
	Self() vm.VM
	// LastAnsweredHeartbeat returns when this VM sent the last heartbeat that the
	// other VM answered, or the zero time.
	LastAnsweredHeartbeat(id vm.ID) time.Time
	// Discard removes VMs from the member list without proof that they have
	// stopped acting in their roles. It may be retried after any error.
	Discard(ctx context.Context, lost []vm.ID) error
}

// discardSilence is how long a VM must have been silent before it can be
// discarded. It is longer than a session lease: a VM that answered more recently
// may still hold its lease and act in its roles.
const discardSilence = 10 * time.Second

// DiscardAssertion is the statement that an operator accepts by confirming a
// DiscardRequest. It is part of every DiscardReply.
const DiscardAssertion = "By confirming you assert that the processes of these VMs have ended and will not run again. " +
	"If one still runs, two VMs may act in one role: rates may be exceeded and servers get more than their slots."

// DiscardRequest asks to preview the removal of VMs from the member list or, if
// Confirm is set, to carry it out.
type DiscardRequest struct {
	VMs     []vm.ID `json:"vms"`
	Confirm bool    `json:"confirm"`
	// Base is the member list version of the preview. It is needed with Confirm,
	// and the request is rejected if the list has changed since.
	Base uint64 `json:"base,omitempty"`
}

// DiscardReply describes the removal of VMs from the member list: the list's
// version before it, the VMs that it removes and those that remain.
type DiscardReply struct {
	Base      uint64  `json:"base"`
	Removed   []vm.ID `json:"removed"`
	Remaining []vm.ID `json:"remaining"`
	Assertion string  `json:"assertion"`
	// Done is true if the VMs have been removed and false in a preview.
	Done bool `json:"done"`
}

// discard handles POST /v1/vms/discard. Without Confirm it returns a preview.
func (s *Server) discard(c fiber.Ctx) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	var request DiscardRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return newAPIError(fiber.StatusBadRequest, CodeBadRequest, "the request cannot be read: "+err.Error())
	}
	reply, apiErr := previewDiscard(s.members, request.VMs, time.Now())
	if apiErr != nil {
		return apiErr
	}
	if !request.Confirm {
		return c.JSON(reply)
	}
	if request.Base != reply.Base {
		e := newAPIError(fiber.StatusConflict, CodeBaseChanged, "the member list has changed since this was shown; look at it again")
		e.detail.Current = reply.Base
		return e
	}
	ctx, cancel := context.WithTimeout(c.Context(), requestTimeout)
	defer cancel()
	log := s.log.WithField("operator", operatorOf(c).Name).WithField("vms", request.VMs)
	if err := s.members.Discard(ctx, request.VMs); err != nil {
		log.WithError(err).Warn("VMs were not discarded, or the outcome is unknown.")
		return discardError(err)
	}
	log.Info("VMs were discarded from the member list.")
	reply.Done = true
	return c.JSON(reply)
}

// previewDiscard returns the effect of removing the VMs without removing them.
// It returns an error if a VM is not in the member list, is this VM, or answered
// a heartbeat within discardSilence before now.
func previewDiscard(members Members, lost []vm.ID, now time.Time) (DiscardReply, *apiError) {
	list := members.List()
	reply := DiscardReply{Base: list.Version, Assertion: DiscardAssertion}
	if len(lost) == 0 {
		return reply, newAPIError(fiber.StatusBadRequest, CodeBadRequest, "no VM is named")
	}
	for _, id := range lost {
		lastAnswer := members.LastAnsweredHeartbeat(id)
		switch _, listed := list.Find(id); {
		case !listed:
			return reply, newAPIError(fiber.StatusNotFound, CodeNotFound, fmt.Sprintf("VM %s is not in the member list", id))
		case id == members.Self().ID:
			return reply, newAPIError(fiber.StatusUnprocessableEntity, CodeRefused, fmt.Sprintf("VM %s runs: it answers this request", id))
		case now.Sub(lastAnswer) < discardSilence:
			return reply, newAPIError(fiber.StatusUnprocessableEntity, CodeRefused, fmt.Sprintf(
				"VM %s runs: it answered %.0f s ago; stop its process and wait %v", id, now.Sub(lastAnswer).Seconds(), discardSilence))
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

// discardError translates an error of Members.Discard into an API error. An error
// that leaves the outcome unknown gets CodeOutcomeUnknown.
func discardError(err error) *apiError {
	switch {
	case errors.Is(err, membership.ErrNotListed):
		return newAPIError(fiber.StatusNotFound, CodeNotFound, "none of the VMs is in the member list any more")
	case errors.Is(err, store.ErrConditionFailed):
		return newAPIError(fiber.StatusConflict, CodeBaseChanged, "the member list changed at the same moment; look at it again")
	case errors.Is(err, store.ErrNotDone):
		return newAPIError(fiber.StatusServiceUnavailable, CodeUnavailable, "the store is unavailable; nothing was changed")
	}
	return newAPIError(fiber.StatusGatewayTimeout, CodeOutcomeUnknown, "the VMs may have been discarded; ask again, which is safe")
}
