package membership

import (
	codec "ravenpond/internal/proto/members"
)

// Period is the interval between two probes of a healthy process, in ms.
const Period = period

// probe is the state of the current direct probe.
type probe struct {
	name         string
	number       uint64
	sent         float64 // ms
	probersAsked int     // members that were asked for an indirect probe
	nacks        int     // nacks from these members
	answered     bool
	outstanding  bool // a missing ack counts against the member
}

// indirectProbe is a probe that this process sends on behalf of another member.
type indirectProbe struct {
	asker, target string
	number        uint64 // number of the asker's probe
}

// lateProbe is a probe that got no ack in time.
type lateProbe struct {
	name string
	sent float64 // ms
}

// scaleTimeout multiplies a time-out of this process's probes by the local health score plus 1.
func (d *Detector) scaleTimeout(ms float64) float64 { return ms * float64(1+d.localHealth) }

// startProbe ends the current probe and probes the next member.
func (d *Detector) startProbe() {
	d.timers.Set(d.now+d.scaleTimeout(period)*(0.95+0.1*d.rng.Float64()), timerProbe, 0)
	if d.probe.outstanding && !d.probe.answered {
		d.onProbeMissed()
	}
	d.probe.outstanding = false
	m := d.nextProbed()
	if m == nil {
		return
	}
	d.sequence++
	d.Stats.Probes++
	d.probe = probe{name: m.Name, number: d.sequence, sent: d.now, outstanding: true}
	d.sendTo(m, codec.Ping, d.sequence, "")
	d.timers.Set(d.now+d.scaleTimeout(ackTimeout), timerAck, d.sequence)
}

// onProbeMissed handles a probe that got no ack in time. The member is suspected at once, or, if its acks are usually late, when its lag has
// passed too.
func (d *Detector) onProbeMissed() {
	p := &d.probe
	d.Stats.MissedProbes++
	m := d.members[p.name]
	if m == nil || m.State > Suspect {
		return
	}
	d.localHealth = min(maxLocalHealth, d.localHealth+p.probersAsked-p.nacks) // a prober that sends neither ack nor nack: this process may be at fault
	if p.probersAsked == 0 {
		d.localHealth = min(maxLocalHealth, d.localHealth+1)
	}
	if m.lag == 0 {
		d.suspect(m, d.config.Name)
	}
	if len(d.lateProbes) < maxMembers {
		d.lateProbes[p.number] = lateProbe{p.name, p.sent}
		d.timers.Set(p.sent+max(minLateWait, lagFactor*m.lag), timerLateAck, p.number)
	}
}

// onLateTimeout suspects a member that sent nothing within the wait for a late ack either.
func (d *Detector) onLateTimeout(number uint64) {
	late, ok := d.lateProbes[number]
	if !ok {
		return
	}
	delete(d.lateProbes, number)
	if m := d.members[late.name]; m != nil && m.State == Alive && m.LastContact < late.sent {
		d.suspect(m, d.config.Name)
	}
}

// sendNack tells another member that the target of its indirect probe did not ack in time.
func (d *Detector) sendNack(number uint64) {
	indirect, ok := d.indirectProbes[number]
	if !ok {
		return
	}
	delete(d.indirectProbes, number)
	if asker := d.members[indirect.asker]; asker != nil {
		d.sendTo(asker, codec.Nack, indirect.number, "")
	}
}

// nextProbed returns the next alive or suspect member in the probe order, or nil if there is none. It shuffles a new order at the end of
// each round.
func (d *Detector) nextProbed() *member {
	for range len(d.probeOrder) + 1 {
		if d.probeIndex >= len(d.probeOrder) {
			d.probeOrder, d.probeIndex = d.probeOrder[:0], 0
			for _, name := range d.names {
				if m := d.members[name]; m.State <= Suspect {
					d.probeOrder = append(d.probeOrder, name)
				}
			}
			d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
			if len(d.probeOrder) == 0 {
				return nil
			}
		}
		m := d.members[d.probeOrder[d.probeIndex]]
		d.probeIndex++
		if m != nil && m.State <= Suspect {
			return m
		}
	}
	return nil
}

// probeIndirectly asks a few other members to probe the member that did not ack in time.
func (d *Detector) probeIndirectly() {
	target := d.members[d.probe.name]
	if target == nil {
		return
	}
	for _, m := range d.sample(indirectProberCount, func(m *member) bool { return m.State == Alive && m != target }) {
		d.probe.probersAsked++
		d.sendTo(m, codec.PingRequest, d.probe.number, target.Name)
	}
	d.sendTo(target, codec.Ping, d.probe.number, "") // repeats the direct probe, because a single datagram is easily lost
}

// sample returns up to n random members that are eligible.
func (d *Detector) sample(n int, isEligible func(*member) bool) (all []*member) {
	if len(d.names) == 0 {
		return nil
	}
	const step = 1299709 // a prime above maxMembers: the steps visit each member once, in an order unrelated to the names
	start := d.rng.IntN(len(d.names))
	for i := range len(d.names) {
		if m := d.members[d.names[(start+i*step)%len(d.names)]]; isEligible(m) {
			if all = append(all, m); len(all) == n {
				break
			}
		}
	}
	return all
}

// onAck handles the ack of this process's current probe, of a late one, or of a probe on behalf of another member.
func (d *Detector) onAck(m *member, number uint64) {
	if d.probe.outstanding && number == d.probe.number && !d.probe.answered {
		d.probe.answered = true
		d.onLeaseReply(d.probe.sent)
		d.localHealth = max(0, d.localHealth-1)
		if m.Name == d.probe.name {
			if m.lag *= lagDecay; m.lag < ackTimeout {
				m.lag = 0
			}
		}
		return
	}
	if late, ok := d.lateProbes[number]; ok && late.name == m.Name { // late, but the member is alive
		delete(d.lateProbes, number)
		d.onLeaseReply(late.sent)
		m.lag = max(m.lag, d.now-late.sent)
	}
	if indirect, ok := d.indirectProbes[number]; ok && indirect.target == m.Name {
		delete(d.indirectProbes, number)
		if asker := d.members[indirect.asker]; asker != nil {
			d.sendTo(asker, codec.Ack, indirect.number, "")
		}
	}
}

// onIndirectProbe probes the target on behalf of another member that got no ack from it.
func (d *Detector) onIndirectProbe(asker *member, number uint64, target string) {
	m := d.members[target]
	if m == nil || len(d.indirectProbes) >= maxMembers {
		return
	}
	d.sequence++
	d.indirectProbes[d.sequence] = indirectProbe{asker: asker.Name, target: target, number: number}
	d.sendTo(m, codec.Ping, d.sequence, "")
	d.timers.Set(d.now+ackTimeout, timerNack, d.sequence)
}
