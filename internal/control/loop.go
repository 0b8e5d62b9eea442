package control

import (
	"ravenpond/internal/decide/membership"
)

// Bounds of the time between two steps of the loop, ms.
const (
	minWait = 0.1
	maxWait = 1000
)

// step handles the pending messages and calls and whatever is due. It returns the time until the next step in ms, or -1 after the last step.
func (r *Runner) step() (wait float64) {
	if r.stopped.Load() {
		r.closeStorage()
		return -1
	}
	messages, calls := r.inbox.takeAll()
	for _, m := range messages {
		if m.body != nil {
			r.replica.OnMessage(r.environment.Now(), m.from, m.body)
		} else {
			r.replica.OnNewerVersion(r.environment.Now(), m.from, m.version)
		}
	}
	for _, f := range calls {
		f(r.replica)
	}
	r.replica.Tick(r.environment.Now())
	r.evaluateZones(r.environment.Now())
	r.publish()
	return min(maxWait, max(minWait, r.replica.Next()-r.environment.Now()))
}

func (r *Runner) closeStorage() {
	if r.storage == nil {
		return
	}
	if err := r.storage.Close(); err != nil {
		r.log.Error().Str("mode", "council").Err(err).Msg("disk")
	}
	r.storage = nil
}

// publish replaces the view if the state or the lease has changed, and reports to the members which version of the state this process holds.
func (r *Runner) publish() {
	previous := r.view.Load()
	state, leaseExpiry := r.replica.State(), r.replica.LeaseExpiry()
	if previous.State == state && previous.LeaseExpiry == leaseExpiry {
		return
	}
	r.view.Store(&View{State: state, LeaseExpiry: leaseExpiry})
	if version := state.Version(); version != r.announcedVersion {
		r.announcedVersion = version
		r.members.WithDetector(func(d *membership.Detector) { d.SetStateVersion(version) })
	}
}
