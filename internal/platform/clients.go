package platform

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/platform"
)

// client is a connection that clients opened.
type client struct {
	s         *Server
	no        uint64 // in the order of their coming
	conn      outside.Conn
	in        []byte // the part of a message that came
	halfAt    float64
	since     float64
	usedAt    float64
	open      map[uint64]*request // without a final answer, by task
	stands    map[*request]bool
	unsure    []*request // that stand, whose answers waited to be handed over when it was ended
	useful    bool       // it sent something that is of use
	requested bool       // a request that could be taken came on it
	proven    bool       // something that came on it was served
	guest     bool       // it came when there was no room, and has said nothing of use yet
	gone      bool
	turned    []byte // answers to requests that were turned away, until all that was read is looked at
}

// came takes a client's connection. While descriptors are short it is a guest until it says something: then one that does nothing
// gives way, else it is turned away with an answer. Of guests that say nothing the first one goes.
func (s *Server) came(c outside.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	s.accepted++
	o := &client{s: s, no: s.accepted, conn: c, since: now, usedAt: now, open: map[uint64]*request{}, stands: map[*request]bool{}}
	if len(s.clients)-s.guests >= s.parts.Clients {
		if s.guests >= s.parts.Guests {
			for _, first := range s.eachClient() {
				if first.guest {
					first.expel("a guest that says nothing")
					break
				}
			}
		}
		o.guest = true
		s.guests++
	}
	s.clients[o] = true
	c.Begin(o, connlimits.Stuck)
}

// letIn has a guest that said something of use take the place of a connection that does nothing. It tells whether the connection is in.
func (o *client) letIn(now float64) bool {
	s := o.s
	if !o.guest {
		return true
	}
	if len(s.clients)-s.guests >= s.parts.Clients {
		var idlest *client
		for _, x := range s.eachClient() {
			if !x.guest && len(x.open) == 0 && len(x.stands) == 0 && len(x.in) == 0 && now-x.usedAt > connlimits.IdleEnough &&
				(idlest == nil || x.before(idlest)) {
				idlest = x
			}
		}
		if idlest == nil {
			return false
		}
		idlest.expel("gives way")
	}
	o.guest = false
	s.guests--
	return true
}

// eachClient is all client connections in the order of their coming.
func (s *Server) eachClient() []*client {
	return slices.SortedFunc(maps.Keys(s.clients), func(x, y *client) int { return cmp.Compare(x.no, y.no) })
}

// before tells which of two idle connections is given up first.
func (o *client) before(x *client) bool {
	if o.useful != x.useful {
		return x.useful
	}
	return o.usedAt < x.usedAt
}

// listens tells whether what is said on the connection can still be heard: it is open on both sides.
func (o *client) listens() bool { return !o.gone && !o.conn.Left() }

// say sends a message; false if the connection is of no use for that any more.
func (o *client) say(message func(b []byte) []byte) bool {
	if o.gone {
		return false
	}
	return o.sends(message) > 0
}

// sends is how many bytes were ever sent on the connection with this message; 0 if it is of no use any more.
func (o *client) sends(message func(b []byte) []byte) uint64 {
	sent, waits, ok := o.conn.Send(message)
	switch {
	case !ok:
		return 0
	case waits > connlimits.MostWaits:
		o.expel("takes nothing")
		return 0
	}
	return sent
}

// expel ends a connection; what is open on it is given up, as the peer can't be answered or must not be.
func (o *client) expel(why string) {
	if o.gone {
		return
	}
	o.s.counts.expelled++
	o.s.trace("expel", 0, func(e *zerolog.Event) { e.Str("why", why).Int("open", len(o.open)) })
	o.part()
}

// part is how a connection ends from this side: what was said last is handed over, and what still comes is read to its end, so
// that the last words are not lost to a reset.
func (o *client) part() {
	o.leave()
	o.conn.End(true, nil)
}

// leave forgets the connection. Set-ups open on it are given up with it; what stands does not depend on it.
func (o *client) leave() {
	if o.gone {
		return
	}
	o.gone = true
	delete(o.s.clients, o)
	if o.guest {
		o.s.guests--
	}
	for _, task := range slices.Sorted(maps.Keys(o.open)) {
		o.s.withdraw(o.open[task])
	}
	handed := o.conn.Handed()
	for a := range o.stands {
		if a.client = nil; a.sent > handed {
			o.unsure = append(o.unsure, a)
		}
	}
	o.in = nil
	o.s.wake()
}

// Heard takes what clients send.
func (o *client) Heard(b []byte) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if o.gone {
		return
	}
	now := o.s.world.Now()
	if b == nil {
		o.part()
		return
	}
	if len(o.in) == 0 {
		o.halfAt = now
	}
	rest, err := messages(o.in, b, func(msg []byte) error {
		if !o.gone {
			o.halfAt, o.usedAt = now, now
			o.message(now, msg)
		}
		return nil
	})
	answered := len(o.turned) > 0
	if answered { // together: in a flood most of the work is to turn away
		turned := o.turned
		o.turned = nil
		o.say(func(b []byte) []byte { return append(b, turned...) })
	}
	switch {
	case err != nil:
		o.expel(err.Error())
	case (o.guest || o.s.parted) && answered && !o.gone: // it was let in to be answered
		o.expel("no room")
	}
	if o.gone {
		return
	}
	o.in = rest
	o.s.wake()
}

// Over hears that the connection has ended.
func (o *client) Over(error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.leave()
	handed := o.conn.Handed()
	slices.SortFunc(o.unsure, func(x, y *request) int { return cmp.Compare(x.alloc, y.alloc) })
	for _, a := range o.unsure { // whose answer broke off, or never left: their client can tell that they were not served
		if a.stands && a.sent > handed && o.s.requests[a.alloc] == a {
			o.s.withdraw(a)
		}
	}
	o.unsure = nil
}

func (o *client) message(now float64, msg []byte) {
	s, task := o.s, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.SetUp:
		o.setUp(now, task, msg)
	case codec.Test:
		o.useful = true
		o.letIn(now) // else it may still be when it sends a request
		o.say(func(b []byte) []byte { return codec.AppendTested(b, task, true) })
	case codec.End:
		a := s.tasks[task]
		if a != nil && (a.stands || a.client == o) { // else long over, or another's
			s.withdraw(a)
		}
	case codec.Progress, codec.EndHeard, codec.Note, codec.Tested:
	default:
		o.expel("a message that clients don't send")
	}
}

// clientsTick ends connections that say nothing or half a message, and tells what could not be told before.
func (s *Server) clientsTick(now float64) {
	for _, o := range s.eachClient() {
		switch {
		case !o.useful && now-o.since > connlimits.FirstWord:
			o.expel("says nothing of use")
		case len(o.in) > 0 && now-o.halfAt > connlimits.HalfWord:
			o.expel("half a message")
		case len(s.owed) > 0 && (o.proven || o.requested) && o.listens():
			for len(s.owed) > 0 && (o.proven || now-s.owed[0].since >= connlimits.EndWaits) && o.say(s.owed[0].append) {
				s.owed = s.owed[1:]
			}
			if len(s.owed) == 0 {
				s.owed = nil
			}
		}
	}
}
