package membership

import (
	"slices"

	codec "ravenpond/internal/proto/members"
)

// State is the state of a member.
type State uint8

// States in ascending order of precedence: of two states of the same version, the later one in this list wins.
const (
	Alive   State = codec.Alive
	Suspect State = codec.Suspect
	Dead    State = codec.Dead
	Left    State = codec.Left
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, 5)%5]
}

// Member is what this process knows about a member.
type Member struct {
	Name, Address        string
	Incarnation, Version uint64
	State                State
	Since                float64 // time at which the member entered the state, ms
	By                   string  // name of the process that reported the state
	LastContact          float64 // time of the last datagram from the member itself, ms; 0: none yet
}

// member adds the detector's internal state to a Member.
type member struct {
	Member
	index           uint64
	highestCount    uint64          // highest datagram count received from the member
	receivedMask    uint64          // bit i is set if highestCount-i was received
	sentCount       uint64          // number of datagrams sent to the member
	suspectedAt     float64         // start of the suspicion, ms
	reporters       map[string]bool // names of the processes that suspect the member
	fromDeathReport bool            // the suspicion began with a report of the member's death, which the member may not know about yet
	place           int             // index among the processes that share by leases, plus 1; 0: unknown
	transmissions   int             // how often the queued update was sent; -1: no update is queued
	lag             float64         // decaying latency of the member's late acks, ms; 0: its acks are in time
}

// setVersion sets a member's incarnation and version and updates the digest.
func (d *Detector) setVersion(m *member, incarnation, version uint64) {
	d.digest ^= m.digest()
	m.Incarnation, m.Version = incarnation, version
	d.digest ^= m.digest()
}

// All returns all other members, sorted by name.
func (d *Detector) All() []Member {
	all := make([]Member, 0, len(d.names))
	for _, name := range d.names {
		all = append(all, d.members[name].Member)
	}
	return all
}

// Counts holds the number of members in each state.
type Counts struct{ Alive, Suspect, Dead, Left int }

// Count returns the number of other members in each state.
func (d *Detector) Count() Counts {
	var n Counts
	for _, m := range d.members {
		switch m.State {
		case Alive:
			n.Alive++
		case Suspect:
			n.Suspect++
		case Dead:
			n.Dead++
		case Left:
			n.Left++
		}
	}
	return n
}

// Digest returns a digest of the membership state. Processes with the same state have the same digest.
func (d *Detector) Digest() uint64 { return d.digest }

// presentCount returns the number of other members that are neither dead nor left.
func (d *Detector) presentCount() (n int) { return len(d.members) - d.deadCount }

// setState changes a member's state and queues the update for gossip.
func (d *Detector) setState(m *member, state State, by string) {
	previous := m.State
	d.digest ^= m.digest()
	if previous >= Dead {
		d.deadCount--
	}
	if state >= Dead {
		d.deadCount++
		d.timers.Set(d.now+removeAfter, timerRemoval, m.index)
		if state == Dead {
			d.lastDeathAt = d.now
		}
		if d.slowStart != nil {
			d.slowStart.OnDead(m.place - 1)
		}
		if d.quota != nil {
			d.quota.OnDead(m.place - 1)
		}
	}
	if state != previous {
		m.Since = d.now
	}
	m.State, m.By = state, by
	d.digest ^= m.digest()
	d.queueUpdate(m)
	if state != previous {
		d.effects.OnMemberChanged(m.Member, previous)
	}
}

// addMember adds a member. It returns nil at the limit of maxMembers.
func (d *Detector) addMember(name, address string, incarnation, version uint64) *member {
	if len(d.members) >= maxMembers {
		return nil
	}
	d.lastIndex++
	m := &member{Member: Member{Name: name, Address: address, Incarnation: incarnation, Version: version, Since: d.now}, index: d.lastIndex, transmissions: -1}
	d.members[name], d.byIndex[m.index] = m, m
	i, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Insert(d.names, i, name)
	d.digest ^= m.digest()
	if len(d.probeOrder) > 0 { // at a random position in the rest of the probe round
		d.probeOrder = slices.Insert(d.probeOrder, d.probeIndex+d.rng.IntN(len(d.probeOrder)-d.probeIndex+1), name)
	}
	return m
}

// onRemovalTimer removes a member that has been dead or left for removeAfter. The member is nil if it was removed before.
func (d *Detector) onRemovalTimer(m *member) {
	if m != nil && m.State >= Dead && d.now-m.Since >= removeAfter {
		d.removeMember(m)
	}
}

// removeMember removes a dead or left member from all structures.
func (d *Detector) removeMember(m *member) {
	d.digest ^= m.digest()
	delete(d.members, m.Name)
	delete(d.byIndex, m.index)
	d.deadCount--
	if i, ok := slices.BinarySearch(d.names, m.Name); ok {
		d.names = slices.Delete(d.names, i, i+1)
	}
	d.updates = slices.DeleteFunc(d.updates, func(x *member) bool { return x == m })
}

// digest returns a member's contribution to the digest: its name, incarnation, version, and whether it is dead or left. Suspicions are
// omitted because they are transient.
func (m *member) digest() uint64 {
	h := uint64(14695981039346656037)
	mix := func(v uint64) { h = (h ^ v) * 0x9e3779b97f4a7c15; h ^= h >> 29 }
	for i := range len(m.Name) {
		mix(uint64(m.Name[i]))
	}
	mix(m.Incarnation)
	mix(m.Version)
	goneState := uint64(0)
	if m.State >= Dead {
		goneState = uint64(m.State)
	}
	mix(goneState)
	return h
}
