package daemon

import (
	"time"

	"almondstile/retry"
	"almondstile/telemetry"
	"almondstile/vm"
)

// decisionCounter implements the observer interfaces of the daemon's components.
// It counts their decisions and sets the gauges of the member list and
// configuration versions.
type decisionCounter struct{ *telemetry.Metrics }

func (d decisionCounter) EjectionGranted()               { d.Count("ejection.granted") }
func (d decisionCounter) EjectionBlocked()               { d.Count("ejection.blocked") }
func (d decisionCounter) RequestQuarantined()            { d.Count("quarantine.entered") }
func (d decisionCounter) HomeRoleTakenOver()             { d.Count("role.service_home.taken_over") }
func (d decisionCounter) OwnerRoleTakenOver()            { d.Count("role.server_owner.taken_over") }
func (d decisionCounter) ServerLinkEvent(change string)  { d.Count("serverlink." + change) }
func (d decisionCounter) MalformedResponse(check string) { d.Count("malformed_response." + check) }
func (d decisionCounter) TokenRejected()                 { d.Count("token.rejected") }

func (d decisionCounter) RetriedOrRedirected(decision retry.Decision) {
	if decision == retry.Redirect {
		d.Count("redirect")
	} else {
		d.Count("retry")
	}
}

func (d decisionCounter) ListChanged(list vm.MemberList) {
	d.Count("member_list.changed")
	d.Gauge("member_list.version", int64(list.Version))
}

func (d decisionCounter) ConfigurationActivated(version uint64) {
	d.Count("configuration.in_force")
	d.Gauge("configuration.version", int64(version))
}

// updateReadyGauge sets the gauge "ready" to 1 if /ready reports that this VM is
// ready, and to 0 otherwise.
func (d *Daemon) updateReadyGauge(now time.Time) {
	value := int64(0)
	if ready, _ := d.Ready(now); ready {
		value = 1
	}
	d.metrics.Gauge("ready", value)
}
