package direct

import (
	"context"
	"time"

	"almondstile/catalog"
	"almondstile/evidence"
	"almondstile/notice"
	"almondstile/request"
	"almondstile/upstream"
)

// runAttempt executes one attempt and records its result for the server and the
// route. An attempt that takes too long counts as a failure at once; its result, if
// it is a failure, is not counted again.
func (r *attemptLoop) runAttempt(selected selection) upstream.Exchange {
	d, server := r.d, &selected.server.Server
	subject := evidence.ServerSubject(server.ID)
	d.counters.recordStart(d.deps.Clock(), subject, selected.expected)
	ended := false
	defer func() {
		if !ended { // the exchange panicked
			d.counters.recordResult(d.deps.Clock(), subject, evidence.RouteSubject(r.route.ID), selected.expected, evidence.Neutral, 0)
		}
	}()
	suspected := make(chan struct{})
	timer := time.AfterFunc(max(r.route.TargetLatency(), suspectLatencyFactor*r.typicalLatency), func() {
		defer close(suspected)
		d.deps.Guard.Handle("attempt", r.req.ID, func() { d.counters.recordSuspectedFailure(d.deps.Clock(), subject) })
	})
	e := d.deps.Exchanger.Do(r.ctx, server, r.req)
	if e.LateCopies > 0 {
		d.deps.Observer.Count("late_copy_skipped")
		d.deps.Log.WithField("request", r.req.ID).WithField("server", server.ID).WithField("copies", e.LateCopies).
			Info("A server sent responses to earlier requests again. They were skipped.")
	}
	if e.Notice != nil {
		d.handleNotice(selected.server, *e.Notice)
	}
	result := classify(e)
	if !timer.Stop() {
		<-suspected
		if result == evidence.Failure || result == evidence.Canceled {
			result = evidence.Neutral // the timer has counted the end, as a failure
		}
	}
	ended = true
	d.counters.recordResult(d.deps.Clock(), subject, evidence.RouteSubject(r.route.ID), selected.expected, result, e.Latency)
	d.handleResult(selected, r.req, e, result)
	return e
}

// handleNotice records what a server stated about itself, and logs what is new in it.
func (d *Dispatcher) handleNotice(server *catalog.Registration, n notice.Notice) {
	change := d.counters.recordNotice(d.deps.Clock(), incarnationOf(server), n)
	if !change.StartsLeaving && !change.StartsPause && !change.LimitChanged && n.Malformed == "" {
		return
	}
	log := d.deps.Log.WithField("server", server.Server.ID).WithField("service", server.Service).
		WithField("row_version", server.RowVersion()).WithField("draining", server.Draining).
		WithField("servers_age_ms", d.deps.Source.Age(catalog.ServerTable).Milliseconds())
	if change.StartsLeaving {
		d.deps.Observer.Count("server_leaving")
		log.Info("A server states that it leaves. It gets no more requests.")
	}
	if change.StartsPause {
		d.deps.Observer.Count("server_pause")
		log.WithField("pause_ms", n.PauseFor.Milliseconds()).Info("A server asks this VM for a pause.")
	}
	if n.Malformed != "" {
		d.deps.Observer.Count("server_notice_malformed")
		log.WithField("value", n.Malformed).Warn("A statement of a server about itself cannot be read and is ignored.")
	}
	if change.LimitChanged {
		d.deps.Observer.Count("server_limit_changed")
		log.WithField("max_per_s", n.MaxPerSecond).Info("A server states another limit of its requests.")
	}
}

// classify returns what an exchange shows about the health of its server.
func classify(e upstream.Exchange) evidence.Result {
	result := e.Result
	switch {
	case result.Reason == request.ReasonCanceled:
		return evidence.Canceled
	case result.Outcome == request.NotRun && result.Reason == request.ReasonShed:
		return evidence.Refused
	case result.Outcome != request.Answered || result.Status >= minServerErrorStatus:
		return evidence.Failure
	default:
		return evidence.Success
	}
}

// handleResult logs an attempt that did not succeed. If the connection was closed
// without a response, it checks in the background whether the server crashed.
func (d *Dispatcher) handleResult(selected selection, req *request.Request, e upstream.Exchange, result evidence.Result) {
	if result == evidence.Success {
		return
	}
	log := d.deps.Log
	if e.Violation != "" {
		d.deps.Observer.Count("malformed_response." + string(e.Violation))
		log = log.WithField("violation", e.Violation)
	}
	log.WithField("request", req.ID).WithField("server", selected.server.Server.ID).WithField("zone", selected.server.Server.Zone).
		WithField("service", req.Service).WithField("outcome", e.Result.Outcome).WithField("reason", e.Result.Reason).
		WithField("status", e.Result.Status).WithField("shed", e.Result.ShedStatus).WithField("latency_ms", e.Latency.Milliseconds()).
		WithField("failing", selected.state.FailureRate).WithField("faulty", selected.state.FaultProbability).WithField("running", selected.state.InFlight).WithField("trial", selected.trial).
		WithField("row_version", selected.server.RowVersion()).
		WithField("servers_age_ms", d.deps.Source.Age(catalog.ServerTable).Milliseconds()).Info("An attempt did not succeed.")
	if !e.ClosedWithoutResponse {
		return
	}
	fingerprint := request.FingerprintOf(req)
	server := selected.server.Server
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d.deps.Guard.Handle("crash_check", req.ID, func() {
			if d.deps.Exchanger.RefusesConnections(ctx, &server) {
				d.counters.recordCrash(d.deps.Clock(), fingerprint)
				d.deps.Log.WithField("request", req.ID).WithField("server", server.ID).Warn("A server crashed while it ran a request.")
			}
		})
	})
}
