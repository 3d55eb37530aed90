package outlier

import (
	"context"
	"encoding/json"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/shard"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// ReportInterval is the time between two reports without bad news.
	ReportInterval = 500 * time.Millisecond
	// wakeInterval bounds the reports that bad news cause.
	wakeInterval = 50 * time.Millisecond
	// reportTimeout is below the interval, so that reports do not overlap.
	reportTimeout = 400 * time.Millisecond
	// crashTimeout bounds how long the caller of a crashed request waits.
	crashTimeout = time.Second
)

// errLateReply says that this VM was paused: the verdicts rest on a floor that
// may have changed since.
var errLateReply = errors.New("outlier: the reply came too late to act on")

// Reporter sends the windows of the owned servers to the service homes and
// applies their verdicts. Its reports for a service never overlap, so an older
// home's late verdict cannot arrive after a report to a newer home.
type Reporter struct {
	servers    *backend.Servers
	quarantine *Quarantine
	members    Members
	contracts  ConfigSource
	caller     link.Caller
	clock      func() time.Time
	log        logging.Logger
	verdicts   shard.Map[contract.ServerID, heldVerdict]
}

// heldVerdict is a verdict in force, with the time that its durations count from.
type heldVerdict struct {
	verdict ServerHealth
	from    time.Time
}

// NewReporter returns a reporter for the servers that this VM owns.
func NewReporter(s *backend.Servers, q *Quarantine, m Members, c ConfigSource, caller link.Caller, clock func() time.Time, log logging.Logger) *Reporter {
	return &Reporter{servers: s, quarantine: q, members: m, contracts: c, caller: caller, clock: clock, log: log}
}

// Handlers returns the handlers of the messages to an owner.
func (r *Reporter) Handlers() map[string]link.Handler {
	return map[string]link.Handler{MethodQuarantine: link.Handle(r.HandleQuarantine)}
}

// HandleQuarantine records a crash that a service's home tells of.
func (r *Reporter) HandleQuarantine(_ context.Context, _ vm.ID, c Crash) (struct{}, error) {
	r.quarantine.AddCrash(r.clock(), c)
	return struct{}{}, nil
}

// Run reports until the context ends: at the interval, and soon after a sample
// shows a fault.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.servers.FaultObserved():
			ticker.Reset(ReportInterval)
		}
		r.ReportOnce(ctx)
		if !wait.For(ctx, wakeInterval) {
			return
		}
	}
}

// ReportOnce sends one report for each service and returns when all are
// answered or timed out.
func (r *Reporter) ReportOnce(ctx context.Context) {
	now := r.clock()
	r.servers.Expire(now)
	byService := make(map[contract.ServiceID][]backend.Status)
	for _, st := range r.servers.CollectAndReset(now) {
		byService[st.Service] = append(byService[st.Service], st)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for service, statuses := range byService {
		wg.Go(func() { r.reportService(ctx, now, service, statuses) })
	}
	wg.Wait()
}

func (r *Reporter) reportService(ctx context.Context, sent time.Time, service contract.ServiceID, statuses []backend.Status) {
	home, ok := r.members.List().Holder(service.HomeRole())
	if !ok {
		r.servers.RestoreWindows(statuses)
		return
	}
	report := Report{Service: service, Crashes: r.quarantine.Crashes(sent, service)}
	for i := range statuses {
		message := reportOf(&statuses[i])
		message.Health = r.inForce(sent, &statuses[i])
		report.Servers = append(report.Servers, message)
	}
	var reply ReportReply
	err := r.caller.Call(ctx, home, MethodReport, report, &reply)
	if err == nil {
		err = r.apply(sent, service, statuses, reply)
	}
	if err != nil {
		r.log.WithError(err).Debugf("report on %s to %s failed", service, home.ID)
	}
	if errors.Is(err, link.ErrUnreachable) {
		r.servers.RestoreWindows(statuses) // The home certainly did not count them.
	}
}

// inForce returns what remains of the verdict that a server stands under.
func (r *Reporter) inForce(now time.Time, st *backend.Status) *ServerHealth {
	held, ok := r.verdicts.Load(st.Server)
	if !ok && st.HealthState == backend.Normal {
		return nil
	}
	age := millis(now.Sub(held.from))
	return &ServerHealth{
		Server: st.Server, State: st.HealthState, EjectionCount: held.verdict.EjectionCount,
		GrantMillis:   millis(st.HealthStateValidFor),
		EjectedMillis: max(0, held.verdict.EjectedMillis-age),
	}
}

// apply puts the home's verdicts into force. They count from the moment the
// report was sent, so a grant ends here before it ends at the home.
func (r *Reporter) apply(sent time.Time, service contract.ServiceID, statuses []backend.Status, reply ReportReply) error {
	verdicts := make(map[contract.ServerID]ServerHealth, len(reply.Health))
	for _, v := range reply.Health {
		verdicts[v.Server] = v
	}
	now := r.clock()
	if now.Sub(sent) > reportTimeout {
		return errLateReply
	}
	for i := range statuses {
		r.applyOne(now, sent, &statuses[i], verdicts[statuses[i].Server])
	}
	for _, c := range reply.Crashes {
		r.quarantine.AddCrash(now, c)
	}
	// For a moment after a change the two VMs' configurations may differ; the
	// states known so far stay until they agree.
	if terms, ok := ServiceConfigOf(r.contracts.Index(), service); ok {
		if states, ok := unpackStates(terms, reply.ConfigVersion, reply.PackedStates); ok {
			r.servers.SetServiceState(service, states)
		}
	}
	return nil
}

func (r *Reporter) applyOne(now, sent time.Time, st *backend.Status, v ServerHealth) {
	current, ok := r.servers.Status(now, st.Server)
	if !ok || lapsed(st.HealthState, current.HealthState, v.State) {
		return
	}
	r.servers.ApplyHealthState(now, st.Server, v.State, duration(v.GrantMillis)-now.Sub(sent))
	if v.State != st.HealthState {
		r.log.Infof("server %s of %s is now %s", st.Server, st.Service, describe(v.State))
	}
	if v.State == backend.Normal && v.EjectionCount == 0 {
		r.verdicts.Delete(st.Server)
		return
	}
	r.verdicts.Store(st.Server, heldVerdict{v, sent})
}

// lapsed reports whether an ejection ran out while its renewal was on the way.
// The renewal is then void: the home did not check the floor for a new ejection.
// The next report shows the lapse, and the home decides afresh.
func lapsed(reported, current, next backend.HealthState) bool {
	return next == backend.Ejected && reported == backend.Ejected && current != backend.Ejected
}

func describe(s backend.HealthState) string {
	if s == backend.Normal {
		return "normal"
	}
	return string(s)
}

// Crashed records that a server crashed while it ran a request, and returns
// after the service's home has told all owners. The caller of the request gets
// its response only after that. On an error the crash still travels with the
// next report.
func (r *Reporter) ReportCrash(ctx context.Context, c Crash) error {
	r.quarantine.AddCrash(r.clock(), c)
	home, ok := r.members.List().Holder(c.Service.HomeRole())
	if !ok {
		return errors.Wrap(ErrNotHome, "no member")
	}
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	var ignored json.RawMessage
	return r.caller.Call(ctx, home, MethodCrash, c, &ignored)
}
