package membership

import (
	"errors"
	"math"
	"slices"

	"ravenpond/internal/decide/reachability"
	"ravenpond/internal/decide/slowstart"
	codec "ravenpond/internal/proto/members"
)

// Heard handles a datagram that arrived at this process's address.
func (d *Detector) Heard(now float64, b []byte) {
	d.advance(now)
	d.header.kind, d.header.place, d.header.silent = 0, 0, d.header.silent[:0]
	d.syncedNames = nil
	switch err := codec.Open(b, d.config.Key, d.config.Site, d.config.Address, datagramHandler{d}); {
	case errors.Is(err, codec.ErrForeign):
		d.Stats.Foreign++
	case err != nil:
		d.Stats.Bad++ // what was read before the error is kept: the datagram was authentic
	}
	if d.header.kind != 0 {
		d.Stats.Got++
		d.handle()
	}
}

// datagramHandler receives the decoded parts of a datagram.
type datagramHandler struct{ *Detector }

// Head checks a datagram against what is known of its sender. Only a sender that knows this process's incarnation may change anything, and
// each count is accepted once, so that replays have no effect.
func (d datagramHandler) Head(from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64, after,
	until string) bool {
	h := &d.header
	if from == d.config.Name {
		if address != d.config.Address {
			d.onNameConflict(address, life)
		}
		return false
	}
	switch {
	case kind == codec.Hello:
		d.onHello(from, address, life, number)
		return false
	case toLife != d.config.Life && !d.config.Faults.Replayed:
		d.Stats.Stale++
		return false
	case kind == codec.Welcome:
		if d.hellos[address] != number {
			d.Stats.Stale++
			return false
		}
		delete(d.hellos, address)
		if target != "" && view > d.config.Life { // the sender knows a later incarnation of this name
			d.raiseIncarnation(view)
		}
	}
	m := d.members[from]
	switch {
	case m != nil && !d.config.Faults.Replayed && (life < m.Life || life == m.Life && address != m.Address):
		d.Stats.Stale++
		return false
	case m == nil:
		if m = d.addMember(from, address, life, 0); m == nil {
			return false
		}
		d.setState(m, Alive, d.config.Name)
		d.lastSyncAt = math.Inf(-1)
	case life > m.Life:
		d.onNewIncarnation(m, address, life, 0, Alive, d.config.Name)
	}
	if kind != codec.Welcome && !m.acceptCount(count) && !d.config.Faults.Replayed {
		d.Stats.Stale++
		return false
	}
	m.Heard = d.now
	h.m, h.kind, h.number, h.view, h.target, h.after, h.until = m, kind, number, view, target, after, until
	if kind == codec.Page {
		d.syncedNames = map[string]bool{}
	}
	return true
}

// Lease keeps a datagram's lease fields until its kind is handled.
func (d datagramHandler) Lease(place int, given bool, counted []byte, lent bool, lentCounted []byte) {
	d.header.place, d.header.given, d.header.counted, d.header.lent, d.header.lentCounted = place+1, given, counted, lent, lentCounted
	d.header.m.place = place + 1
}

// Word handles gossip about a node.
func (d datagramHandler) Word(node uint32, version uint64, gone bool) {
	d.nodeGossip.Heard(d.now, node, version, gone)
}

// Silent keeps a question about a node for the ack of the probe that carries it.
func (d datagramHandler) Silent(node uint32) {
	if len(d.header.silent) < reachability.Most {
		d.header.silent = append(d.header.silent, node)
	}
}

// Hears handles the sender's answer about a node in an ack of this process's probe.
func (d datagramHandler) Hears(node uint32, life uint64, ago float64) {
	h := &d.header
	if h.kind != codec.Ack {
		return
	}
	if h.number == d.probe.number && d.probe.out {
		d.nodeReachability.Told(d.probe.sent, node, life, ago)
	} else if w, ok := d.lateProbes[h.number]; ok {
		d.nodeReachability.Told(w.sent, node, life, ago)
	}
}

// Book handles the version of the cluster state that the sender holds.
func (d datagramHandler) Book(version uint64) {
	if version > d.stateVersion && d.carrier != nil {
		d.carrier.Ahead(d.header.m.Name, version)
	}
}

// Part handles a fragment of a message for other parts of the program.
func (d datagramHandler) Part(index, of int, body []byte) {
	h := &d.header
	if h.kind != codec.Carry || d.carrier == nil {
		return
	}
	if all, ok := d.reassembler.Take(h.m.Name, h.m.Life, h.number, index, of, body); ok {
		d.carrier.Carried(h.m.Name, all)
	}
}

// onLeaseReply handles the lease grants in an ack of a probe that was sent at a time.
func (d *Detector) onLeaseReply(sent float64) {
	if h := &d.header; d.slowStart != nil && h.place > 0 {
		d.slowStart.Answered(sent, h.place-1, h.given, slowstart.Of(h.counted))
		if d.quota != nil {
			d.quota.Answered(sent, h.place-1, h.lent, slowstart.Of(h.lentCounted))
		}
	}
}

// acceptCount reports whether a count is new. Datagrams may be reordered by up to 64.
func (m *member) acceptCount(count uint64) bool {
	switch {
	case count > m.highestCount:
		if by := count - m.highestCount; by < 64 {
			m.receivedMask = m.receivedMask<<by | 1
		} else {
			m.receivedMask = 1
		}
		m.highestCount = count
		return true
	case m.highestCount-count >= 64 || m.receivedMask>>(m.highestCount-count)&1 == 1:
		return false
	}
	m.receivedMask |= 1 << (m.highestCount - count)
	return true
}

// onHello answers a hello with this process's incarnation, and with the sender's known incarnation if that is later. It changes no state,
// as a hello may be a replay.
func (d *Detector) onHello(from, address string, life, number uint64) {
	if d.now-d.helloWindowAt > 1000 {
		d.helloWindowAt, d.recentHellos = d.now, 0
	}
	if d.recentHellos++; d.recentHellos > maxHellosPerSecond {
		return
	}
	known, target := uint64(0), ""
	if m := d.members[from]; m != nil && (m.Life > life || m.Life == life && m.Address != address) {
		known, target = m.Life, from
	}
	d.sendBare(address, life, codec.Welcome, number, target, known)
}

// raiseIncarnation gives this process a later incarnation than others know of its name.
func (d *Detector) raiseIncarnation(known uint64) {
	d.config.Life, d.version = known+1, 0
	d.announceSelf()
}

// onNewIncarnation handles a member's new incarnation.
func (d *Detector) onNewIncarnation(m *member, address string, life, version uint64, state State, by string) {
	d.setVersion(m, life, version)
	m.Address, m.highestCount, m.receivedMask, m.sentCount, m.accusers = address, 0, 0, 0, nil
	d.setState(m, state, by)
	if state == Suspect {
		d.startSuspicion(m, by)
	}
}

// onNameConflict handles another process that uses this one's name. The later incarnation keeps the name, and of equal ones that at the
// lower address; the other process takes no part any more.
func (d *Detector) onNameConflict(address string, life uint64) {
	if life < d.config.Life || life == d.config.Life && d.config.Address < address {
		return
	}
	if !d.taken {
		d.taken = true
		d.effects.Taken(address)
	}
}

// handle executes a datagram after its updates were read.
func (d *Detector) handle() {
	h := d.header
	m := h.m
	switch h.kind {
	case codec.Welcome: // the sender is alive: it gets the state that is held of it and can refute it
		d.sequence++
		d.sendTo(m, codec.Ping, d.sequence, "")
		d.sync(m)
	case codec.Ping:
		d.sendTo(m, codec.Ack, h.number, "")
		d.syncIfDifferent(m, h.view)
	case codec.Ack:
		d.onAck(m, h.number)
		d.syncIfDifferent(m, h.view)
	case codec.Ask:
		d.onIndirectProbe(m, h.number, h.target)
	case codec.Nack:
		if d.probe.out && h.number == d.probe.number {
			d.probe.nacks++
		}
	case codec.Page:
		d.onSyncPage(m, h.number, h.after, h.until)
	}
}

// onAck handles the ack of an own probe or of an indirect probe for another member.
func (d *Detector) onAck(m *member, number uint64) {
	if d.probe.out && number == d.probe.number && !d.probe.answered {
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
	if w, ok := d.lateProbes[number]; ok && w.name == m.Name { // late, but alive
		delete(d.lateProbes, number)
		d.onLeaseReply(w.sent)
		m.lag = max(m.lag, d.now-w.sent)
	}
	if h, ok := d.indirectProbes[number]; ok && h.target == m.Name {
		delete(d.indirectProbes, number)
		if asker := d.members[h.asker]; asker != nil {
			d.sendTo(asker, codec.Ack, h.number, "")
		}
	}
}

// onIndirectProbe probes a member for another that gets no ack from it.
func (d *Detector) onIndirectProbe(asker *member, number uint64, target string) {
	m := d.members[target]
	if m == nil || len(d.indirectProbes) >= maxMembers {
		return
	}
	d.sequence++
	d.indirectProbes[d.sequence] = indirectProbe{asker: asker.Name, target: target, number: number}
	d.sendTo(m, codec.Ping, d.sequence, "")
	d.timers.Set(d.now+ackTimeout, dueNack, d.sequence)
}

// syncIfDifferent synchronizes the full state with a member whose digest differs.
func (d *Detector) syncIfDifferent(m *member, view uint64) {
	if view != d.digest && d.now-d.lastSyncAt >= syncInterval {
		d.sync(m)
	}
}

// sync sends the full state in pages. The receiver reads what is newer and answers each page with what is newer on its side.
func (d *Detector) sync(m *member) {
	d.Stats.Syncs++
	d.lastSyncAt = d.now
	all := slices.Clone(d.names)
	at, _ := slices.BinarySearch(all, d.config.Name)
	all = slices.Insert(all, at, d.config.Name)
	after := ""
	for range maxSyncPages {
		until, n := d.sendSyncPage(m, all, after)
		all, after = all[n:], until
		if until == "" {
			return
		}
	}
}

// sendSyncPage sends the updates of as many names as fit. It returns the last name sent, empty if all were, and their number.
func (d *Detector) sendSyncPage(m *member, names []string, after string) (until string, n int) {
	d.Stats.Pages++
	d.sequence++
	m.sentCount++
	begin := func(until string) []byte {
		return codec.Begin(nil, d.config.Site, d.config.Name, d.config.Address, d.config.Life, m.sentCount, m.Life, codec.Page, d.sequence, "", d.digest, after, until)
	}
	longest := ""
	for _, name := range names {
		if len(name) > len(longest) {
			longest = name
		}
	}
	b, ok := begin(longest), true // the page's last name is not known yet: room for the longest is reserved
	for n = 0; n < len(names); n++ {
		if b, ok = appendUpdate(b, d.lookup(names[n])); !ok {
			break
		}
	}
	if n < len(names) && n > 0 {
		until = names[n-1]
	}
	b = begin(until)
	for _, name := range names[:n] {
		b, _ = appendUpdate(b, d.lookup(name))
	}
	d.transmit(m.Address, b)
	return until, n
}

// lookup returns the member of a name, which may be this process.
func (d *Detector) lookup(name string) *member {
	if name == d.config.Name {
		return d.self
	}
	return d.members[name]
}

// onSyncPage answers a page with the updates of its range of names that are newer here or missing in it.
func (d *Detector) onSyncPage(m *member, number uint64, after, until string) {
	from, _ := slices.BinarySearch(d.names, after)
	var b []byte
	flush := func() {
		if b != nil {
			d.transmit(m.Address, b)
			b = nil
		}
	}
	for _, name := range append(slices.Clone(d.names[from:]), d.config.Name) {
		if name <= after || until != "" && name > until || d.syncedNames[name] {
			continue
		}
		for range 2 {
			if b == nil {
				m.sentCount++
				b = codec.Begin(nil, d.config.Site, d.config.Name, d.config.Address, d.config.Life, m.sentCount, m.Life, codec.Answered, number, "", d.digest, "", "")
			}
			var ok bool
			if b, ok = appendUpdate(b, d.lookup(name)); ok {
				break
			}
			flush()
		}
	}
	flush()
}

// News handles an update of a member.
func (d datagramHandler) News(name, address string, life, version uint64, state uint32, by string) {
	to := State(state)
	if name == d.config.Name {
		if d.syncedNames != nil {
			d.syncedNames[name] = life == d.config.Life && version == d.version && (to < Dead) == !d.leaving
		}
		d.onSelfUpdate(address, life, version, to)
		return
	}
	m := d.members[name]
	if m == nil {
		if m = d.addMember(name, address, life, version); m == nil {
			return
		}
		switch to {
		case Suspect:
			d.setState(m, Alive, by)
			d.suspect(m, by)
		default:
			d.setState(m, to, by)
		}
		d.markSynced(m, life, version, to)
		return
	}
	d.markSynced(m, life, version, to)
	switch {
	case d.config.Faults.Stale && (life < m.Life || version < m.Version):
		d.onNewIncarnation(m, address, life, version, to, by)
	case life < m.Life || life == m.Life && version < m.Version:
	case life > m.Life:
		d.onNewIncarnation(m, address, life, version, to, by)
	case version > m.Version:
		d.onNewerVersion(m, version, to, by)
	case to <= m.State: // nothing new, except for a further accuser
		if to == Suspect && m.State == Suspect {
			d.addAccuser(m, by)
		}
	case to == Dead && m.State == Suspect:
		if !m.fromDeathReport { // after a partition heals, each side reports all members of the other as dead
			d.addAccuser(m, by)
		}
	case to == Dead, to == Suspect: // a new report of a death starts a suspicion: the death may have been refuted
		d.suspect(m, by)
		m.fromDeathReport = to == Dead
	default:
		d.setState(m, to, by)
	}
}

// onNewerVersion handles a higher version of a member.
func (d *Detector) onNewerVersion(m *member, version uint64, to State, by string) {
	was := m.State
	d.setVersion(m, m.Life, version)
	switch {
	case to == Alive:
		if was == Suspect {
			d.Stats.Refuted++
		}
		m.accusers = nil
		d.setState(m, Alive, by)
	case to == Left:
		d.setState(m, Left, by)
	case was == Dead && to == Dead:
		d.setState(m, Dead, by)
	default:
		d.setState(m, Alive, by)
		d.suspect(m, by)
	}
}

// markSynced notes that the page has a name's present or a newer update, so that the answer can omit it.
func (d *Detector) markSynced(m *member, life, version uint64, to State) {
	if d.syncedNames != nil {
		d.syncedNames[m.Name] = life > m.Life || life == m.Life && (version > m.Version || version == m.Version && (to >= m.State || m.State < Dead))
	}
}

// onSelfUpdate handles an update about this process. It refutes a wrong one by a higher version.
func (d *Detector) onSelfUpdate(address string, life, version uint64, to State) {
	switch {
	case life < d.config.Life || d.leaving:
	case address != d.config.Address:
		d.onNameConflict(address, life)
	case life > d.config.Life:
		d.raiseIncarnation(life)
	case d.config.Faults.Silent:
	case to != Alive && version >= d.version:
		if !d.config.Faults.Same {
			d.version = version + 1
		}
		d.localHealth = min(maxLocalHealth, d.localHealth+1)
		d.announceSelf()
	case version > d.version:
		d.version = version
		d.announceSelf()
	}
}
