package platform

import (
	"errors"

	"ravenpond/internal/decide/watchretry"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// errEventGap reports that the journal service left out events. The watch is begun anew from the last event that was applied.
var errEventGap = errors.New("events are missing")

// endpointWatch keeps the node list up to date by the events of the journal service. Server.mu guards it, with its connection.
type endpointWatch struct {
	server        *Server
	address       string // of the journal service
	retrier       watchretry.Retrier
	current       *watchConn // the last connection that was made or begun
	position      uint64     // of the last event that was applied
	pollRequested bool       // the module waits for changes, or for word that there are none
}

func newEndpointWatch(s *Server, address string) endpointWatch {
	return endpointWatch{server: s, address: address}
}

// poll has the module told of changes, or that there are none, or that the list can't be read.
func (w *endpointWatch) poll() { w.pollRequested = true }

// loadInitial applies the events that the scheduler is configured with. The error wraps codec.ErrUnreadable.
func (w *endpointWatch) loadInitial(now float64, events []byte) error {
	s := w.server
	s.host.ListBegin(now, logic.ListCached)
	last, err := codec.ReadInitialEvents(events, &initialEvents{w})
	if err != nil {
		return err
	}
	w.position = max(w.position, last)
	s.nodes.removeUnavailable()
	s.host.ListEnd()
	return nil
}

// initialEvents applies the initial events, as one message of the list. It implements codec.EventReader.
type initialEvents struct{ watch *endpointWatch }

// BeginEvent takes every event.
func (e *initialEvents) BeginEvent(position uint64, _ bool) bool {
	e.watch.position = max(e.watch.position, position)
	return true
}

// AddEndpoint applies one endpoint.
func (e *initialEvents) AddEndpoint(endpoint codec.Endpoint) { e.watch.apply(endpoint) }

// tick connects to the journal service when that is due, and answers the module's poll.
func (w *endpointWatch) tick(now float64) {
	s := w.server
	if w.retrier.IsSilent(now) {
		s.log.Info().Str("mode", "journal").Uint64("pos", w.position).Msg("silent, asked anew")
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

// answerPoll tells the module that there are no changes, or that the list can't be read.
func (w *endpointWatch) answerPoll(now float64, kind logic.ListKind) {
	w.pollRequested = false
	w.server.host.ListBegin(now, kind)
	w.server.host.ListEnd()
}

// setAddress has the journal service watched at another address.
func (w *endpointWatch) setAddress(address string) {
	s := w.server
	now := s.env.Now()
	if address == w.address {
		return
	}
	s.log.Info().Str("mode", "journal").Str("address", address).Uint64("pos", w.position).Msg("moved")
	if w.current != nil {
		w.current.discard()
	}
	w.address = address
	w.retrier.OnAddressChanged(now)
	w.tick(now)
}

// applyLine applies a line of the journal: each event once, in order, and none left out. The error is errEventGap, or wraps
// codec.ErrUnreadable.
func (w *endpointWatch) applyLine(now float64, line []byte) error {
	update := listUpdate{watch: w, now: now, listed: map[*node]bool{}}
	last, err := codec.ReadLine(line, &update)
	switch {
	case err != nil:
		return err
	case update.gap || last > w.position:
		return errEventGap
	}
	if update.begun {
		update.end()
		w.pollRequested = false
	}
	return nil
}

// listUpdate applies one event. It implements codec.EventReader.
type listUpdate struct {
	watch    *endpointWatch
	now      float64
	gap      bool // events before this one are missing
	begun    bool // the event is applied
	snapshot bool // it names all nodes
	listed   map[*node]bool
}

// BeginEvent takes the event that follows the last one.
func (u *listUpdate) BeginEvent(position uint64, snapshot bool) bool {
	w := u.watch
	if position <= w.position { // a repeated event
		return false
	}
	if position > w.position+1 {
		u.gap = true
		return false
	}
	w.position, u.begun, u.snapshot = position, true, snapshot
	kind := logic.ListChanges
	if snapshot {
		kind = logic.ListFull
	}
	w.server.host.ListBegin(u.now, kind)
	return true
}

// AddEndpoint applies one endpoint of the event.
func (u *listUpdate) AddEndpoint(endpoint codec.Endpoint) {
	if n := u.watch.apply(endpoint); n != nil {
		u.listed[n] = true
	}
}

// end ends the event. Nodes that a snapshot does not name are unavailable.
func (u *listUpdate) end() {
	s := u.watch.server
	if u.snapshot {
		for _, n := range s.nodes.sorted() {
			if !u.listed[n] {
				n.setState("", logic.Unavailable)
			}
		}
	}
	s.host.ListEnd()
}

// apply takes the state of a node. It returns the node, nil for one that is unavailable and was never known.
func (w *endpointWatch) apply(endpoint codec.Endpoint) *node {
	s := w.server
	n := s.nodes.named(endpoint.Name)
	if n == nil {
		if endpoint.Availability == logic.Unavailable {
			return nil
		}
		n = s.nodes.add(endpoint.Name)
	}
	startedAt := endpoint.StartedAt
	if startedAt > 0 {
		startedAt -= epochUnixMs
	}
	n.setState(endpoint.Address, endpoint.Availability)
	zone, okZone := s.names.zones[endpoint.Zone]
	kind, okKind := s.names.kinds[endpoint.Kind]
	if !okZone || !okKind {
		s.log.Warn().Str("mode", "list").Str("node", n.name).Str("zone", endpoint.Zone).Str("kind", endpoint.Kind).Msg("unknown zone or kind")
	}
	s.host.ListNode(logic.ListEntry{
		Node: n.id, Availability: endpoint.Availability, StartedAt: startedAt, FreeCores: endpoint.FreeCores, FreeMemory: endpoint.FreeMemory,
		Zone: zone, Cell: endpoint.Cell, Kind: kind,
	})
	return n
}
