package membership

import (
	"errors"
	"math"
	"slices"

	"ravenpond/internal/decide/reachability"
	"ravenpond/internal/decide/slowstart"
	codec "ravenpond/internal/proto/members"
)

// Heard takes a datagram that came to this process's address.
func (d *Detector) Heard(now float64, b []byte) {
	d.wake(now)
	d.head.kind, d.head.place, d.head.silent = 0, 0, d.head.silent[:0]
	d.page = nil
	switch err := codec.Open(b, d.who.Key, d.who.Site, d.who.Address, taker{d}); {
	case errors.Is(err, codec.ErrForeign):
		d.Figures.Foreign++
	case err != nil:
		d.Figures.Bad++ // what was read of it stands: it was sealed
	}
	if d.head.kind != 0 {
		d.Figures.Got++
		d.act()
	}
}

// taker takes what a datagram holds.
type taker struct{ *Detector }

// Head holds a datagram against what is known of its sender. Only one that knows this process's life may change
// anything, and each of its counts counts once: a replay, from this life or an earlier one, is nothing.
func (d taker) Head(from, address string, life, count, toLife uint64, kind uint32, number uint64, target string, view uint64, after,
	until string) bool {
	h := &d.head
	if from == d.who.Name {
		if address != d.who.Address {
			d.mine(address, life)
		}
		return false
	}
	switch {
	case kind == codec.Hello:
		d.welcome(from, address, life, number)
		return false
	case toLife != d.who.Life && !d.who.Plant.Replayed:
		d.Figures.Stale++
		return false
	case kind == codec.Welcome:
		if d.hellos[address] != number {
			d.Figures.Stale++
			return false
		}
		delete(d.hellos, address)
		if target != "" && view > d.who.Life { // it knows this name by a later life
			d.raise(view)
		}
	}
	m := d.all[from]
	switch {
	case m != nil && !d.who.Plant.Replayed && (life < m.Life || life == m.Life && address != m.Address):
		d.Figures.Stale++
		return false
	case m == nil:
		if m = d.add(from, address, life, 0); m == nil {
			return false
		}
		d.set(m, Alive, d.who.Name)
		d.syncAt = math.Inf(-1)
	case life > m.Life:
		d.reborn(m, address, life, 0, Alive, d.who.Name)
	}
	if kind != codec.Welcome && !m.once(count) && !d.who.Plant.Replayed {
		d.Figures.Stale++
		return false
	}
	m.Heard = d.now
	h.m, h.kind, h.number, h.view, h.target, h.after, h.until = m, kind, number, view, target, after, until
	if kind == codec.Page {
		d.page = map[string]bool{}
	}
	return true
}

// Lease holds what a datagram says of leave until its kind is done.
func (d taker) Lease(place int, given bool, counted []byte, lent bool, lentCounted []byte) {
	d.head.place, d.head.given, d.head.counted, d.head.lent, d.head.lentCounted = place+1, given, counted, lent, lentCounted
	d.head.m.place = place + 1
}

// Word takes what another says of a node.
func (d taker) Word(node uint32, version uint64, gone bool) {
	d.words.Heard(d.now, node, version, gone)
}

// Silent takes a question for a node, for the answer to the ping that bears it.
func (d taker) Silent(node uint32) {
	if len(d.head.silent) < reachability.Most {
		d.head.silent = append(d.head.silent, node)
	}
}

// Hears takes what another hears of a node, with its answer to a probe of this process.
func (d taker) Hears(node uint32, life uint64, ago float64) {
	h := &d.head
	if h.kind != codec.Ack {
		return
	}
	if h.number == d.probe.number && d.probe.out {
		d.nodes.Told(d.probe.sent, node, life, ago)
	} else if w, ok := d.waits[h.number]; ok {
		d.nodes.Told(w.sent, node, life, ago)
	}
}

// Book takes which version of the book another holds.
func (d taker) Book(version uint64) {
	if version > d.book && d.carrier != nil {
		d.carrier.Ahead(d.head.m.Name, version)
	}
}

// Part takes a part of a message for others of the program.
func (d taker) Part(index, of int, body []byte) {
	h := &d.head
	if h.kind != codec.Carry || d.carrier == nil {
		return
	}
	if all, ok := d.whole.Take(h.m.Name, h.m.Life, h.number, index, of, body); ok {
		d.carrier.Carried(h.m.Name, all)
	}
}

// leased takes leave that came with an answer to a probe sent at a time.
func (d *Detector) leased(sent float64) {
	if h := &d.head; d.share != nil && h.place > 0 {
		d.share.Answered(sent, h.place-1, h.given, slowstart.Of(h.counted))
		if d.lent != nil {
			d.lent.Answered(sent, h.place-1, h.lent, slowstart.Of(h.lentCounted))
		}
	}
}

// once tells whether a count is new. Datagrams may overtake each other, by up to 64.
func (m *member) once(count uint64) bool {
	switch {
	case count > m.high:
		if by := count - m.high; by < 64 {
			m.came = m.came<<by | 1
		} else {
			m.came = 1
		}
		m.high = count
		return true
	case m.high-count >= 64 || m.came>>(m.high-count)&1 == 1:
		return false
	}
	m.came |= 1 << (m.high - count)
	return true
}

// welcome answers a hello: with this process's life, and with that by which the sender's name is known, if that is later.
// It changes nothing here, as a hello may be a replay.
func (d *Detector) welcome(from, address string, life, number uint64) {
	if d.now-d.greetAt > 1000 {
		d.greetAt, d.greeted = d.now, 0
	}
	if d.greeted++; d.greeted > mostHello {
		return
	}
	known, target := uint64(0), ""
	if m := d.all[from]; m != nil && (m.Life > life || m.Life == life && m.Address != address) {
		known, target = m.Life, from
	}
	d.send(address, life, codec.Welcome, number, target, known)
}

// raise gives this process a later life than others know of its name.
func (d *Detector) raise(known uint64) {
	d.who.Life, d.version = known+1, 0
	d.renew()
}

// reborn takes a member's new life.
func (d *Detector) reborn(m *member, address string, life, version uint64, state State, by string) {
	d.number(m, life, version)
	m.Address, m.high, m.came, m.counts, m.accusers = address, 0, 0, 0, nil
	d.set(m, state, by)
	if state == Suspect {
		d.accused(m, by)
	}
}

// mine meets another process that goes by this one's name. The later life has it, and of two alike that at the lower
// address; the other is out, and says so.
func (d *Detector) mine(address string, life uint64) {
	if life < d.who.Life || life == d.who.Life && d.who.Address < address {
		return
	}
	if !d.taken {
		d.taken = true
		d.edge.Taken(address)
	}
}

// act does what a datagram asks for, after its news were read.
func (d *Detector) act() {
	h := d.head
	m := h.m
	switch h.kind {
	case codec.Welcome: // it is there: what is held of it here goes to it, and it answers for itself
		d.count++
		d.say(m, codec.Ping, d.count, "")
		d.exchange(m)
	case codec.Ping:
		d.say(m, codec.Ack, h.number, "")
		d.compare(m, h.view)
	case codec.Ack:
		d.acked(m, h.number)
		d.compare(m, h.view)
	case codec.Ask:
		d.help(m, h.number, h.target)
	case codec.Nack:
		if d.probe.out && h.number == d.probe.number {
			d.probe.nacks++
		}
	case codec.Page:
		d.answer(m, h.number, h.after, h.until)
	}
}

// acked takes an answer to a ping: one's own, or one made for another.
func (d *Detector) acked(m *member, number uint64) {
	if d.probe.out && number == d.probe.number && !d.probe.answered {
		d.probe.answered = true
		d.leased(d.probe.sent)
		d.health = max(0, d.health-1)
		if m.Name == d.probe.name {
			if m.lag *= fade; m.lag < reply {
				m.lag = 0
			}
		}
		return
	}
	if w, ok := d.waits[number]; ok && w.name == m.Name { // late, but there
		delete(d.waits, number)
		d.leased(w.sent)
		m.lag = max(m.lag, d.now-w.sent)
	}
	if h, ok := d.helped[number]; ok && h.target == m.Name {
		delete(d.helped, number)
		if asker := d.all[h.asker]; asker != nil {
			d.say(asker, codec.Ack, h.number, "")
		}
	}
}

// help pings a member for another that hears nothing of it.
func (d *Detector) help(asker *member, number uint64, target string) {
	m := d.all[target]
	if m == nil || len(d.helped) >= mostAll {
		return
	}
	d.count++
	d.helped[d.count] = helped{asker: asker.Name, target: target, number: number}
	d.say(m, codec.Ping, d.count, "")
	d.bells.Set(d.now+reply, dueNack, d.count)
}

// compare begins an exchange of all that is held with one that holds something else.
func (d *Detector) compare(m *member, view uint64) {
	if view != d.view && d.now-d.syncAt >= syncEach {
		d.exchange(m)
	}
}

// exchange sends all that is held, a page at a time; the other answers each with what it holds that is newer, and what is
// newer here it has read.
func (d *Detector) exchange(m *member) {
	d.Figures.Syncs++
	d.syncAt = d.now
	all := slices.Clone(d.names)
	at, _ := slices.BinarySearch(all, d.who.Name)
	all = slices.Insert(all, at, d.who.Name)
	after := ""
	for range mostPages {
		until, n := d.sendPage(m, all, after)
		all, after = all[n:], until
		if until == "" {
			return
		}
	}
}

// sendPage sends what fits of the names given, and returns the last of them, empty if that was all.
func (d *Detector) sendPage(m *member, names []string, after string) (until string, n int) {
	d.Figures.Pages++
	d.count++
	m.counts++
	begin := func(until string) []byte {
		return codec.Begin(nil, d.who.Site, d.who.Name, d.who.Address, d.who.Life, m.counts, m.Life, codec.Page, d.count, "", d.view, after, until)
	}
	longest := ""
	for _, name := range names {
		if len(name) > len(longest) {
			longest = name
		}
	}
	b, ok := begin(longest), true // its last name is known only at the end: as much is kept free
	for n = 0; n < len(names); n++ {
		if b, ok = item(b, d.held(names[n])); !ok {
			break
		}
	}
	if n < len(names) && n > 0 {
		until = names[n-1]
	}
	b = begin(until)
	for _, name := range names[:n] {
		b, _ = item(b, d.held(name))
	}
	d.out(m.Address, b)
	return until, n
}

func (d *Detector) held(name string) *member {
	if name == d.who.Name {
		return d.me
	}
	return d.all[name]
}

// answer answers a page with what is held of its names, and not of it, that is newer.
func (d *Detector) answer(m *member, number uint64, after, until string) {
	from, _ := slices.BinarySearch(d.names, after)
	var b []byte
	flush := func() {
		if b != nil {
			d.out(m.Address, b)
			b = nil
		}
	}
	for _, name := range append(slices.Clone(d.names[from:]), d.who.Name) {
		if name <= after || until != "" && name > until || d.page[name] {
			continue
		}
		for range 2 {
			if b == nil {
				m.counts++
				b = codec.Begin(nil, d.who.Site, d.who.Name, d.who.Address, d.who.Life, m.counts, m.Life, codec.Answered, number, "", d.view, "", "")
			}
			var ok bool
			if b, ok = item(b, d.held(name)); ok {
				break
			}
			flush()
		}
	}
	flush()
}

// News takes what another says of a member.
func (d taker) News(name, address string, life, version uint64, state uint32, by string) {
	to := State(state)
	if name == d.who.Name {
		if d.page != nil {
			d.page[name] = life == d.who.Life && version == d.version && (to < Dead) == !d.leaving
		}
		d.ofMe(address, life, version, to)
		return
	}
	m := d.all[name]
	if m == nil {
		if m = d.add(name, address, life, version); m == nil {
			return
		}
		switch to {
		case Suspect:
			d.set(m, Alive, by)
			d.suspect(m, by)
		default:
			d.set(m, to, by)
		}
		d.paged(m, life, version, to)
		return
	}
	d.paged(m, life, version, to)
	switch {
	case d.who.Plant.Stale && (life < m.Life || version < m.Version):
		d.reborn(m, address, life, version, to, by)
	case life < m.Life || life == m.Life && version < m.Version:
	case life > m.Life:
		d.reborn(m, address, life, version, to, by)
	case version > m.Version:
		d.newer(m, version, to, by)
	case to <= m.State: // nothing new, but for one who suspects as well
		if to == Suspect && m.State == Suspect {
			d.accuse(m, by)
		}
	case to == Dead && m.State == Suspect:
		if !m.hearsay { // where parts come together again, all of one held all of the other for dead
			d.accuse(m, by)
		}
	case to == Dead, to == Suspect: // a death that is news here is a suspicion first: it may have been refuted
		d.suspect(m, by)
		m.hearsay = to == Dead
	default:
		d.set(m, to, by)
	}
}

// newer takes a higher version of a member.
func (d *Detector) newer(m *member, version uint64, to State, by string) {
	was := m.State
	d.number(m, m.Life, version)
	switch {
	case to == Alive:
		if was == Suspect {
			d.Figures.Refuted++
		}
		m.accusers = nil
		d.set(m, Alive, by)
	case to == Left:
		d.set(m, Left, by)
	case was == Dead && to == Dead:
		d.set(m, Dead, by)
	default:
		d.set(m, Alive, by)
		d.suspect(m, by)
	}
}

// paged notes that a page told a name as it is held, or newer: no answer is owed for it.
func (d *Detector) paged(m *member, life, version uint64, to State) {
	if d.page != nil {
		d.page[m.Name] = life > m.Life || life == m.Life && (version > m.Version || version == m.Version && (to >= m.State || m.State < Dead))
	}
}

// ofMe hears what others say of this process. It answers for itself by a higher version.
func (d *Detector) ofMe(address string, life, version uint64, to State) {
	switch {
	case life < d.who.Life || d.leaving:
	case address != d.who.Address:
		d.mine(address, life)
	case life > d.who.Life:
		d.raise(life)
	case d.who.Plant.Silent:
	case to != Alive && version >= d.version:
		if !d.who.Plant.Same {
			d.version = version + 1
		}
		d.health = min(sick, d.health+1)
		d.renew()
	case version > d.version:
		d.version = version
		d.renew()
	}
}
