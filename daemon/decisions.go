package daemon

import (
	"time"

	"almondstile/retry"
	"almondstile/telemetry"
	"almondstile/vm"
)

// decisions counts what the parts of this VM decide, as their observer.
type decisions struct{ *telemetry.Metrics }

func (d decisions) EjectionGranted()              { d.Count("ejection.granted") }
func (d decisions) EjectionBlocked()              { d.Count("ejection.blocked") }
func (d decisions) RequestQuarantined()           { d.Count("quarantine.entered") }
func (d decisions) HomeRoleTakenOver()            { d.Count("role.service_home.taken_over") }
func (d decisions) OwnerRoleTakenOver()           { d.Count("role.server_owner.taken_over") }
func (d decisions) ServerLinkEvent(change string) { d.Count("serverlink." + change) }
func (d decisions) TokenRejected()                { d.Count("token.rejected") }

func (d decisions) RetriedOrRedirected(decision retry.Decision) {
	if decision == retry.Redirect {
		d.Count("redirect")
	} else {
		d.Count("retry")
	}
}

func (d decisions) ListChanged(list vm.MemberList) {
	d.Count("member_list.changed")
	d.Gauge("member_list.version", int64(list.Version))
}

func (d decisions) ConfigurationActivated(version uint64) {
	d.Count("configuration.in_force")
	d.Gauge("configuration.version", int64(version))
}

// gaugeReady shows what /ready answers: 1 or 0.
func (d *Daemon) gaugeReady(now time.Time) {
	value := int64(0)
	if ready, _ := d.Ready(now); ready {
		value = 1
	}
	d.metrics.Gauge("ready", value)
}
