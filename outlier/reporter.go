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
	// ReportInterval is the time between two reports while no fault is observed.
	ReportInterval = 500 * time.Millisecond
	// faultReportInterval is the minimum time between two reports when faults are
	// observed.
	faultReportInterval = 50 * time.Millisecond
	// reportTimeout is shorter than ReportInterval, so that reports do not overlap.
	reportTimeout = 400 * time.Millisecond
	// crashTimeout limits how long the caller of a crashed request waits for its
	// response.
	crashTimeout = time.Second
)

// errLateReply means that a reply was processed after reportTimeout, for example
// because this VM was paused. The home checked the floor when it replied, and the
// floor may have changed since.
var errLateReply = errors.New("outlier: the home's reply was processed after the report timeout and is ignored")

// Reporter sends the reports on the owned servers to the service homes and applies
// the health states in the replies. Its reports on one service never overlap, so a
// late reply of a former home cannot arrive after a report to the new home.
type Reporter struct {
	servers      *backend.Servers
	quarantine   *Quarantine
	members      Members
	configSource ConfigSource
	caller       link.Caller
	clock        func() time.Time
	log          logging.Logger
	heldGrants   shard.Map[contract.ServerID, heldGrant]
}

// heldGrant is the last health state that the home granted, with the time from which
// its durations count.
type heldGrant struct {
	health      ServerHealth
	countedFrom time.Time
}

// NewReporter returns a Reporter for the servers that this VM owns.
func NewReporter(s *backend.Servers, q *Quarantine, m Members, c ConfigSource, caller link.Caller, clock func() time.Time, log logging.Logger) *Reporter {
	return &Reporter{servers: s, quarantine: q, members: m, configSource: c, caller: caller, clock: clock, log: log}
}

// Handlers returns the handlers of the messages to an owner, by method.
func (r *Reporter) Handlers() map[string]link.Handler {
	return map[string]link.Handler{MethodQuarantine: link.Handle(r.HandleQuarantine)}
}

// HandleQuarantine records a crash that the service's home forwards.
func (r *Reporter) HandleQuarantine(_ context.Context, _ vm.ID, c Crash) (struct{}, error) {
	r.quarantine.AddCrash(r.clock(), c)
	return struct{}{}, nil
}

// Run sends reports until the context ends: one every ReportInterval, and one soon
// after a request shows a fault.
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
		if !wait.For(ctx, faultReportInterval) {
			return
		}
	}
}

// ReportOnce sends one report for each service. It returns when all homes have
// replied or the reports have timed out.
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

// reportService sends the report on one service to its home and applies the reply. Data
// that certainly did not reach the home is restored for the next report.
func (r *Reporter) reportService(ctx context.Context, sent time.Time, service contract.ServiceID, statuses []backend.Status) {
	home, ok := r.members.List().Holder(service.HomeRole())
	if !ok {
		r.servers.RestoreWindows(statuses)
		return
	}
	report := Report{Service: service, Crashes: r.quarantine.Crashes(sent, service)}
	for i := range statuses {
		message := newServerReport(&statuses[i])
		message.Health = r.healthInForce(sent, &statuses[i])
		report.Servers = append(report.Servers, message)
	}
	var reply ReportReply
	err := r.caller.Call(ctx, home, MethodReport, report, &reply)
	if err == nil {
		err = r.applyReply(sent, service, statuses, reply)
	}
	if err != nil {
		r.log.WithError(err).Debugf("Reporting the servers of service %s to home VM %s failed.", service, home.ID)
	}
	if errors.Is(err, link.ErrUnreachable) {
		r.servers.RestoreWindows(statuses) // The report did not reach the home, so send the data again.
	}
}

// healthInForce returns the server's health state in force with its remaining times.
// It returns nil if the server is normal and has no ejection that still counts.
func (r *Reporter) healthInForce(now time.Time, st *backend.Status) *ServerHealth {
	grant, ok := r.heldGrants.Load(st.Server)
	if !ok && st.HealthState == backend.Normal {
		return nil
	}
	age := millis(now.Sub(grant.countedFrom))
	return &ServerHealth{
		Server: st.Server, State: st.HealthState, EjectionCount: grant.health.EjectionCount,
		GrantMillis:   millis(st.HealthStateValidFor),
		EjectedMillis: max(0, grant.health.EjectedMillis-age),
	}
}

// applyReply applies the health states in the home's reply. Their times count from
// the moment the report was sent, so a grant ends here before it ends at the home.
// It returns errLateReply if the reply came after reportTimeout.
func (r *Reporter) applyReply(sent time.Time, service contract.ServiceID, statuses []backend.Status, reply ReportReply) error {
	byServer := make(map[contract.ServerID]ServerHealth, len(reply.Health))
	for _, health := range reply.Health {
		byServer[health.Server] = health
	}
	now := r.clock()
	if now.Sub(sent) > reportTimeout {
		return errLateReply
	}
	for i := range statuses {
		r.applyHealth(now, sent, &statuses[i], byServer[statuses[i].Server])
	}
	for _, c := range reply.Crashes {
		r.quarantine.AddCrash(now, c)
	}
	// After a configuration change the two VMs may have different versions for a
	// moment. Until they agree, the previous server states stay.
	if config, ok := ServiceConfigOf(r.configSource.Index(), service); ok {
		if states, ok := unpackStates(config, reply.ConfigVersion, reply.PackedStates); ok {
			r.servers.SetServiceState(service, states)
		}
	}
	return nil
}

// applyHealth applies the health state that the home granted for one server.
func (r *Reporter) applyHealth(now, sent time.Time, st *backend.Status, health ServerHealth) {
	current, ok := r.servers.Status(now, st.Server)
	if !ok || ejectionExpired(st.HealthState, current.HealthState, health.State) {
		return
	}
	r.servers.ApplyHealthState(now, st.Server, health.State, duration(health.GrantMillis)-now.Sub(sent))
	if health.State != st.HealthState {
		r.log.Infof("Server %s of service %s changed to health state %s.", st.Server, st.Service, stateName(health.State))
	}
	if health.State == backend.Normal && health.EjectionCount == 0 {
		r.heldGrants.Delete(st.Server)
		return
	}
	r.heldGrants.Store(st.Server, heldGrant{health, sent})
}

// ejectionExpired reports whether an ejection expired while its renewal was in
// flight. The renewal is then ignored, because the home did not check the floor for
// a new ejection. The next report shows the expiry, and the home decides again.
func ejectionExpired(reported, current, next backend.HealthState) bool {
	return next == backend.Ejected && reported == backend.Ejected && current != backend.Ejected
}

// stateName returns the name of a health state for log messages.
func stateName(s backend.HealthState) string {
	if s == backend.Normal {
		return "normal"
	}
	return string(s)
}

// ReportCrash records that a server crashed while it executed a request. It returns
// after the service's home has forwarded the crash to all owners that it can reach.
// The caller of the request gets its response only after that. On an error the next
// report still contains the crash.
func (r *Reporter) ReportCrash(ctx context.Context, c Crash) error {
	r.quarantine.AddCrash(r.clock(), c)
	home, ok := r.members.List().Holder(c.Service.HomeRole())
	if !ok {
		return errors.Wrap(ErrNotHome, "no VM holds the home role")
	}
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	var ignored json.RawMessage
	return r.caller.Call(ctx, home, MethodCrash, c, &ignored)
}
