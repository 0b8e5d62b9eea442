package platform

import (
	"errors"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/watchretry"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// errEventGap reports that the journal service skipped events. The watch then reconnects and resumes after the last event that was applied.
var errEventGap = errors.New("gap in the journal: events are missing")

// endpointWatch keeps the node list up to date from the events of the journal service. Server.mu guards it and its connection.
type endpointWatch struct {
	server        *Server
	address       string // the address of the journal service
	retrier       watchretry.Retrier
	current       *watchConn // the newest connection, which may be closed or still being made
	position      uint64     // the position of the last event that was applied
	readUpTo      float64    // when the service last told that there are no later events; 0: never
	pollRequested bool       // the module has polled the list and has had no answer yet
}

func newEndpointWatch(s *Server, address string) endpointWatch {
	return endpointWatch{server: s, address: address}
}

// poll records a poll of the module. The next event answers it; otherwise tick answers that there are no changes or that the list can't be read.
func (w *endpointWatch) poll() { w.pollRequested = true }

// loadInitial applies the events in the scheduler's configuration. The error wraps codec.ErrUnreadable.
func (w *endpointWatch) loadInitial(now float64, events []byte) error {
	s := w.server
	s.host.ListBegin(now, logic.ListCached)
	last, err := codec.ReadInitialEvents(events, &initialEvents{w})
	if err != nil {
		return err
	}
	w.position, w.readUpTo = max(w.position, last), now
	s.nodes.removeUnavailable()
	s.host.ListEnd()
	return nil
}

// initialEvents applies the events in the configuration as a single list for the module. It implements codec.EventReader.
type initialEvents struct{ watch *endpointWatch }

// BeginEvent accepts every event.
func (e *initialEvents) BeginEvent(position uint64, _ bool) bool {
	e.watch.position = max(e.watch.position, position)
	return true
}

// AddEndpoint applies the state of one endpoint.
func (e *initialEvents) AddEndpoint(endpoint codec.Endpoint) {
	e.watch.apply(e.watch.server.env.Now(), endpoint)
}

// tick reconnects to the journal service when that is due, and answers the module's poll.
func (w *endpointWatch) tick(now float64) {
	s := w.server
	if w.retrier.IsSilent(now) {
		s.log.Info().Str("mode", "journal").Uint64("pos", w.position).Msg("journal service is silent; reconnecting")
		w.current.close(now)
	}
	if w.retrier.BeginConnect(now) {
		w.current = &watchConn{watch: w}
		s.env.Dial(w.address, watchretry.ConnectTimeout(), w.current.onDialed)
	}
	switch {
	case w.pollRequested && w.retrier.IsLive(now):
		w.answerPoll(now, logic.ListChanges)
	case w.pollRequested && w.retrier.IsFailing(now):
		w.answerPoll(now, logic.ListFailed)
	}
}

// isCurrent reports whether events arrive as expected, so that the list tells of each change in time.
func (w *endpointWatch) isCurrent(now float64) bool { return w.retrier.IsLive(now) }

// currentUpTo returns the time up to which the list is current.
func (w *endpointWatch) currentUpTo(now float64) float64 {
	if w.isCurrent(now) {
		return now
	}
	return w.retrier.LastEventAt()
}

// answerPoll tells the module that there are no changes, or that the list can't be read.
func (w *endpointWatch) answerPoll(now float64, kind logic.ListKind) {
	w.pollRequested = false
	w.server.host.ListBegin(now, kind)
	w.server.host.ListEnd()
}

// setAddress changes the address at which the journal service is watched.
func (w *endpointWatch) setAddress(address string) {
	s := w.server
	now := s.env.Now()
	if address == w.address {
		return
	}
	s.log.Info().Str("mode", "journal").Str("address", address).Uint64("pos", w.position).Msg("address of the journal service changed; reconnecting")
	if w.current != nil {
		w.current.discard()
	}
	w.address = address
	w.retrier.OnAddressChanged(now)
	w.tick(now)
}

// applyLine applies the events in a line of the journal in order. It skips those that were applied before and rejects a gap. The error is
// errEventGap, or wraps codec.ErrUnreadable.
func (w *endpointWatch) applyLine(now float64, line []byte) error {
	update := listUpdate{watch: w, now: now, listed: map[*node]bool{}}
	last, err := codec.ReadLine(line, &update)
	switch {
	case err != nil:
		return err
	case update.gap || last > w.position:
		return errEventGap
	}
	switch {
	case update.accepted:
		update.end()
		w.pollRequested = false
	case !update.repeated && last == w.position:
		w.readUpTo = now
	}
	return nil
}

// listUpdate applies an event to the node list. It implements codec.EventReader.
type listUpdate struct {
	watch    *endpointWatch
	now      float64
	gap      bool           // events between the last applied one and this one are missing
	accepted bool           // an event is being applied
	repeated bool           // the event was applied before
	snapshot bool           // the event names all nodes
	listed   map[*node]bool // nodes that the event names
	changes  []endpointChange
}

// endpointChange is what an entry of the list changes beside the state of its node.
type endpointChange struct {
	node      *node // nil: the node is unavailable and was not known before
	restarted bool  // a later start is told than before
	displaced *node // the node that was listed at the address until now, nil if there was none
}

// BeginEvent accepts the event that follows the last applied one.
func (u *listUpdate) BeginEvent(position uint64, snapshot bool) bool {
	w := u.watch
	if position <= w.position {
		u.repeated = true
		return false
	}
	if position > w.position+1 {
		u.gap = true
		return false
	}
	w.position, u.accepted, u.snapshot = position, true, snapshot
	kind := logic.ListChanges
	if snapshot {
		kind = logic.ListFull
	}
	w.server.host.ListBegin(u.now, kind)
	return true
}

// AddEndpoint applies one endpoint of the event.
func (u *listUpdate) AddEndpoint(endpoint codec.Endpoint) {
	change := u.watch.apply(u.now, endpoint)
	if change.node != nil {
		u.listed[change.node] = true
	}
	if change.restarted || change.displaced != nil {
		u.changes = append(u.changes, change)
	}
}

// end completes the event. Nodes that a snapshot does not name become unavailable.
func (u *listUpdate) end() {
	s := u.watch.server
	if u.snapshot {
		for _, n := range s.nodes.sorted() {
			if !u.listed[n] {
				s.nodes.owners.Release(n.address, n.id)
				n.setAvailability(logic.Unavailable)
			}
		}
	}
	s.host.ListEnd()
	for _, change := range u.changes {
		if change.node.isUnavailable() {
			continue
		}
		for _, n := range s.nodes.nodesBeside(change.node) {
			n.displace(u.now, change.node, n == change.displaced)
		}
	}
}

// apply applies the state of a node. Where another node has its address, the node is taken for unavailable, whatever its entry says.
func (w *endpointWatch) apply(now float64, endpoint codec.Endpoint) (change endpointChange) {
	s := w.server
	n := s.nodes.named(endpoint.Name)
	if n == nil {
		if endpoint.Availability == logic.Unavailable {
			return endpointChange{}
		}
		n = s.nodes.add(endpoint.Name, endpoint.Address)
	}
	change.node = n
	wasInService := !n.isUnavailable()
	startedAt := endpoint.StartedAt
	if startedAt > 0 {
		startedAt -= epochUnixMs
	}
	s.telemetry.trace("listed", 0, func(e *zerolog.Event) {
		e.Str("node", n.name).Str("address", endpoint.Address).Uint8("availability", uint8(endpoint.Availability)).Float64("since", endpoint.StartedAt)
	})
	if endpoint.Address != "" && endpoint.Address != n.address {
		if n.address != "" {
			n.processes.OnAddressChanged()
		}
		s.nodes.setAddress(n, endpoint.Address)
		n.identity.OnStartListed()
	}
	availability := endpoint.Availability
	if availability == logic.Unavailable {
		s.nodes.owners.Release(n.address, n.id)
	} else {
		availability, change.displaced = s.nodes.claimAddress(n, availability, startedAt)
	}
	n.setAvailability(availability)
	change.restarted = n.onListed(nodefailure.Listing{Now: now, StartedAt: startedAt, ReadUpTo: w.readUpTo, WasInService: wasInService})
	zone, okZone := s.names.zones[endpoint.Zone]
	kind, okKind := s.names.kinds[endpoint.Kind]
	if !okZone || !okKind {
		s.log.Warn().Str("mode", "list").Str("node", n.name).Str("zone", endpoint.Zone).Str("kind", endpoint.Kind).
			Msg("node list entry names an unknown zone or kind")
	}
	n.entry = logic.ListEntry{
		Node: n.id, Availability: availability, StartedAt: startedAt, FreeCores: endpoint.FreeCores, FreeMemory: endpoint.FreeMemory,
		Zone: zone, Cell: endpoint.Cell, Kind: kind,
	}
	s.host.ListNode(n.entry)
	if change.displaced != nil {
		w.withdrawEntry(change.displaced, n)
	}
	return change
}

// withdrawEntry tells the module that a listed node is unavailable, as the list names another one at its address: one process listens there.
func (w *endpointWatch) withdrawEntry(displaced, owner *node) {
	s := w.server
	s.telemetry.count(countDisplaced)
	s.log.Info().Str("mode", "list").Str("node", owner.name).Str("address", owner.address).Str("former", displaced.name).
		Int("stood", len(displaced.running)).Int("links", len(displaced.conns)).Msg("another node has the address of a listed one, which counts as gone")
	displaced.setAvailability(logic.Unavailable)
	displaced.entry.Availability = logic.Unavailable
	s.host.ListNode(displaced.entry)
}
