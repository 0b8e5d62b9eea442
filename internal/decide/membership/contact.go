package membership

import (
	codec "ravenpond/internal/proto/members"
)

// sendNextHello sends a hello to one dead member or unknown seed after the other, without end.
func (d *Detector) sendNextHello() {
	interval := min(contactMaxInterval, max(contactMinInterval, (d.now-d.lastDeathAt)/10))
	if d.now-d.lastDeathAt > contactSlowAfter {
		interval = contactSlowInterval
	}
	var candidates []string
	for _, a := range d.config.Seeds {
		if a != d.config.Address && !d.isKnownAddress(a) {
			candidates = append(candidates, a)
		}
	}
	for _, n := range d.names {
		if m := d.members[n]; m.State == Dead {
			candidates = append(candidates, m.Address)
		}
	}
	if len(candidates) > 0 && !d.leaving {
		d.contactIndex++
		d.sendHello(candidates[d.contactIndex%len(candidates)])
	}
	d.timers.Set(d.now+interval*(0.8+0.4*d.rng.Float64()), timerContact, 0)
}

// isKnownAddress reports whether a member at an address is known, dead or alive.
func (d *Detector) isKnownAddress(address string) bool {
	for _, m := range d.members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// sendHello sends a hello to an address.
func (d *Detector) sendHello(address string) {
	d.sequence++
	if len(d.hellos) >= maxMembers {
		clear(d.hellos)
	}
	d.hellos[address] = d.sequence
	d.sendWithoutUpdates(address, 0, codec.Hello, d.sequence, "", d.digest)
}

// AnnounceLeave announces that this process ends intentionally.
func (d *Detector) AnnounceLeave(now float64) {
	d.now = max(d.now, now)
	d.leaving = true
	d.version++
	d.digest ^= d.self.digest()
	d.self.State = Left
	d.digest ^= d.self.digest()
	d.announceSelf()
	for _, m := range d.sample(leaveNotices, func(m *member) bool { return m.State <= Suspect }) {
		d.sequence++
		d.sendTo(m, codec.Ping, d.sequence, "")
	}
}

// onHello answers a hello with this process's incarnation, and with the sender's known incarnation if that is later. It changes no state,
// as a hello may be a replay.
func (d *Detector) onHello(from, address string, incarnation, number uint64) {
	if d.now-d.helloWindowStart > 1000 {
		d.helloWindowStart, d.hellosInWindow = d.now, 0
	}
	if d.hellosInWindow++; d.hellosInWindow > maxHellosPerSecond {
		return
	}
	known, target := uint64(0), ""
	if m := d.members[from]; m != nil && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Address != address) {
		known, target = m.Incarnation, from
	}
	d.sendWithoutUpdates(address, incarnation, codec.Welcome, number, target, known)
}
