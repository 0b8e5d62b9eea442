package platformsim

import (
	"fmt"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// abandonGrace is the time after a request is abandoned during which attempts may still begin, in ms.
const abandonGrace = 100

// observedEnvironment wraps a scheduler's environment and observes each attempt when it is sent.
type observedEnvironment struct {
	env.Environment
	sim       *simulation
	scheduler *scheduler
}

// lateConnect is the time in ms from which on a dial was not answered at once.
const lateConnect = 100

// Dial implements env.Environment.
func (oe observedEnvironment) Dial(address string, within float64, done func(env.Conn, error)) {
	at, incarnation := oe.sim.clock.TrueTime(), oe.scheduler.incarnation
	oe.Environment.Dial(address, within, func(c env.Conn, err error) {
		if s := oe.scheduler; s.incarnation == incarnation {
			s.dials = append(s.dials, dial{address, at, err != nil || oe.sim.clock.TrueTime()-at >= lateConnect})
		}
		if err == nil {
			c = &observedConn{Conn: c, sim: oe.sim, address: address}
		}
		done(c, err)
	})
}

// Listen implements env.Environment.
func (oe observedEnvironment) Listen(address string, accept func(env.Conn)) (env.Listener, error) {
	return oe.Environment.Listen(address, func(c env.Conn) { accept(&observedClientConn{Conn: c, sim: oe.sim}) })
}

// observedClientConn is a connection of a client on which it is observed when the end of a task is sent.
type observedClientConn struct {
	env.Conn
	sim *simulation
}

// Send implements env.Conn.
func (oc *observedClientConn) Send(appendTo func([]byte) []byte) (uint64, int, bool) {
	return oc.Conn.Send(func(b []byte) []byte {
		before := len(b)
		b = appendTo(b)
		oc.sim.onSentToClient(b[before:])
		return b
	})
}

// onSentToClient records when a scheduler sends the ends of tasks, of which there may be several in one call.
func (sm *simulation) onSentToClient(b []byte) {
	for {
		msg, size, err := codec.Next(b)
		if err != nil || size == 0 {
			return
		}
		if t := sm.tasks[codec.Task(msg)]; t != nil && codec.Kind(msg) != codec.KindAnswer {
			t.releasedAt = sm.clock.TrueTime()
		}
		b = b[size:]
	}
}

// observedConn is a connection on which each attempt is observed when it is sent.
type observedConn struct {
	env.Conn
	sim     *simulation
	address string
}

// Send implements env.Conn.
func (oc *observedConn) Send(appendTo func([]byte) []byte) (uint64, int, bool) {
	return oc.Conn.Send(func(b []byte) []byte {
		before := len(b)
		b = appendTo(b)
		if msg, size, err := codec.Next(b[before:]); err == nil && size > 0 && codec.Kind(msg) == codec.KindSetUp {
			oc.sim.onAttempt(codec.Task(msg), oc.address)
		}
		return b
	})
}

// onAttempt checks that an attempt does not begin long after its request was abandoned. Where links may be cut it also records when the attempt
// was sent, because the rules on drains and slow starts then refer to that time. Under overload no link is cut and sending takes time, so these
// rules refer to the arrival.
func (sm *simulation) onAttempt(id uint64, address string) {
	t := sm.tasks[id]
	if t == nil {
		return
	}
	now := sm.clock.TrueTime()
	t.attempted = true
	if sm.overload == nil {
		if t.sentAt == nil {
			t.sentAt = map[string]float64{}
		}
		t.sentAt[address] = now
	}
	if t.abandonedAt == 0 || now <= t.abandonedAt+abandonGrace {
		return
	}
	sm.fail(fmt.Sprintf("gone: an attempt for request %d began %.0f ms after its client had abandoned it", id, now-t.abandonedAt))
}
