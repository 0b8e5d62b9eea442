package membership

import codec "ravenpond/internal/proto/members"

// raiseIncarnation sets this process's incarnation above the one that other members know for its name.
func (d *Detector) raiseIncarnation(known uint64) {
	d.config.Incarnation, d.version = known+1, 0
	d.announceSelf()
}

// onNewIncarnation applies a new incarnation of a member and resets the datagram counts.
func (d *Detector) onNewIncarnation(m *member, address string, incarnation, version uint64, state State, by string) {
	d.setVersion(m, incarnation, version)
	m.Address, m.highestCount, m.receivedMask, m.sentCount, m.reporters = address, 0, 0, 0, nil
	d.setState(m, state, by)
	if state == Suspect {
		d.startSuspicion(m, by)
	}
}

// onNameConflict handles another process that uses this one's name. The process with the later incarnation keeps the name; if they are
// equal, the one with the lower address does.
func (d *Detector) onNameConflict(address string, incarnation uint64) {
	if incarnation < d.config.Incarnation || incarnation == d.config.Incarnation && d.config.Address < address {
		return
	}
	if !d.nameConflict {
		d.nameConflict = true
		d.effects.OnNameConflict(address)
	}
}

// OnMember applies an update of a member if it is newer than the known state.
func (d datagramHandler) OnMember(u codec.Member) {
	state := State(u.State)
	if u.Name == d.config.Name {
		if d.syncedNames != nil {
			d.syncedNames[u.Name] = u.Incarnation == d.config.Incarnation && u.Version == d.version && (state < Dead) == !d.leaving
		}
		d.onSelfUpdate(u.Address, u.Incarnation, u.Version, state)
		return
	}
	m := d.members[u.Name]
	if m == nil {
		if m = d.addMember(u.Name, u.Address, u.Incarnation, u.Version); m != nil {
			d.setInitialState(m, state, u.By)
			d.markSynced(m, u.Incarnation, u.Version, state)
		}
		return
	}
	d.markSynced(m, u.Incarnation, u.Version, state)
	switch {
	case d.config.Faults.AcceptStale && (u.Incarnation < m.Incarnation || u.Version < m.Version):
		d.onNewIncarnation(m, u.Address, u.Incarnation, u.Version, state, u.By)
	case u.Incarnation < m.Incarnation || u.Incarnation == m.Incarnation && u.Version < m.Version:
	case u.Incarnation > m.Incarnation:
		d.onNewIncarnation(m, u.Address, u.Incarnation, u.Version, state, u.By)
	case u.Version > m.Version:
		d.onNewerVersion(m, u.Version, state, u.By)
	default:
		d.onSameVersion(m, state, u.By)
	}
}

// setInitialState sets the state of a member that was just added.
func (d *Detector) setInitialState(m *member, state State, by string) {
	if state == Suspect {
		d.setState(m, Alive, by)
		d.suspect(m, by)
		return
	}
	d.setState(m, state, by)
}

// onSameVersion applies a reported state of a member's present version.
func (d *Detector) onSameVersion(m *member, state State, by string) {
	switch {
	case state <= m.State: // nothing new, except for a further reporter
		if state == Suspect && m.State == Suspect {
			d.addReporter(m, by)
		}
	case state == Dead && m.State == Suspect:
		if !m.fromDeathReport { // otherwise the report may be outdated: after a partition heals, each side reports all members of the other side as dead
			d.addReporter(m, by)
		}
	case state == Dead, state == Suspect: // a reported death only starts a suspicion, because it may have been refuted
		d.suspect(m, by)
		m.fromDeathReport = state == Dead
	default:
		d.setState(m, state, by)
	}
}

// onNewerVersion applies a higher version of a member.
func (d *Detector) onNewerVersion(m *member, version uint64, state State, by string) {
	previous := m.State
	d.setVersion(m, m.Incarnation, version)
	switch {
	case state == Alive:
		if previous == Suspect {
			d.Stats.Refutations++
		}
		m.reporters = nil
		d.setState(m, Alive, by)
	case state == Left:
		d.setState(m, Left, by)
	case previous == Dead && state == Dead:
		d.setState(m, Dead, by)
	default:
		d.setState(m, Alive, by)
		d.suspect(m, by)
	}
}

// onSelfUpdate handles an update about this process, and refutes a false one by announcing a higher version.
func (d *Detector) onSelfUpdate(address string, incarnation, version uint64, state State) {
	switch {
	case incarnation < d.config.Incarnation || d.leaving:
	case address != d.config.Address:
		d.onNameConflict(address, incarnation)
	case incarnation > d.config.Incarnation:
		d.raiseIncarnation(incarnation)
	case d.config.Faults.NoRefutation:
	case state != Alive && version >= d.version:
		if !d.config.Faults.SameVersion {
			d.version = version + 1
		}
		d.localHealth = min(maxLocalHealth, d.localHealth+1)
		d.announceSelf()
	case version > d.version:
		d.version = version
		d.announceSelf()
	}
}
