package membership

import (
	codec "ravenpond/internal/proto/members"
)

// contactLost sends a hello to one dead member or unknown seed after the other, without end.
func (d *Detector) contactLost() {
	gap := min(contactMaxInterval, max(contactMinInterval, (d.now-d.lastDeathAt)/10))
	if d.now-d.lastDeathAt > contactSlowAfter {
		gap = contactSlowInterval
	}
	var strangers []string
	for _, a := range d.config.Seeds {
		if a != d.config.Address && !d.isKnownAddress(a) {
			strangers = append(strangers, a)
		}
	}
	for _, n := range d.names {
		if m := d.members[n]; m.State == Dead {
			strangers = append(strangers, m.Address)
		}
	}
	if len(strangers) > 0 && !d.leaving {
		d.contactIndex++
		d.sendHello(strangers[d.contactIndex%len(strangers)])
	}
	d.timers.Set(d.now+gap*(0.8+0.4*d.rng.Float64()), dueContact, 0)
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
	d.sendBare(address, 0, codec.Hello, d.sequence, "", d.digest)
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
	if d.now-d.helloWindowAt > 1000 {
		d.helloWindowAt, d.recentHellos = d.now, 0
	}
	if d.recentHellos++; d.recentHellos > maxHellosPerSecond {
		return
	}
	known, target := uint64(0), ""
	if m := d.members[from]; m != nil && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Address != address) {
		known, target = m.Incarnation, from
	}
	d.sendBare(address, incarnation, codec.Welcome, number, target, known)
}
