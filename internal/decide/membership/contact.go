package membership

import (
	codec "ravenpond/internal/proto/members"
)

// sendNextHello sends a hello to the next dead member or seed that is not yet a member, and schedules the following one. The interval is a
// tenth of the time since the last death, within contactMinInterval and contactMaxInterval, and contactSlowInterval after contactSlowAfter.
func (d *Detector) sendNextHello() {
	interval := min(contactMaxInterval, max(contactMinInterval, (d.now-d.lastDeathAt)/10))
	if d.now-d.lastDeathAt > contactSlowAfter {
		interval = contactSlowInterval
	}
	var candidates []string
	for _, seed := range d.config.Seeds {
		if seed != d.config.Address && !d.isKnownAddress(seed) {
			candidates = append(candidates, seed)
		}
	}
	for _, name := range d.names {
		if m := d.members[name]; m.State == Dead {
			candidates = append(candidates, m.Address)
		}
	}
	if len(candidates) > 0 && !d.leaving {
		d.contactIndex++
		d.sendHello(candidates[d.contactIndex%len(candidates)])
	}
	d.timers.Set(d.now+interval*(0.8+0.4*d.rng.Float64()), timerContact, 0)
}

// isKnownAddress reports whether any member, dead or alive, has the address.
func (d *Detector) isKnownAddress(address string) bool {
	for _, m := range d.members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// sendHello sends a hello and records its number, by which the answer is recognized.
func (d *Detector) sendHello(address string) {
	d.sequence++
	if len(d.hellos) >= maxMembers {
		clear(d.hellos)
	}
	d.hellos[address] = d.sequence
	d.sendWithoutUpdates(address, 0, codec.Hello, d.sequence, "", d.digest)
}

// AnnounceLeave tells a few members that this process shuts down intentionally; gossip tells the rest.
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

// onHello answers a hello with this process's incarnation. If a later incarnation of the sender is known here, or the same one at another
// address, the answer contains it. No membership state changes, because the hello may be a replay.
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
