package platformsim

import (
	"fmt"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

const (
	abandonGrace    = 100 // ms after a request was abandoned in which attempts may still begin
	maxLateAttempts = 2   // that may begin later under overload: a scheduler that is overloaded reads late
)

// observedEnvironment is a scheduler's environment in which each attempt is observed as it is sent.
type observedEnvironment struct {
	env.Environment
	sim *simulation
}

// Dial implements env.Environment.
func (oe observedEnvironment) Dial(address string, within float64, done func(env.Conn, error)) {
	oe.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil {
			c = &observedConn{Conn: c, sim: oe.sim}
		}
		done(c, err)
	})
}

type observedConn struct {
	env.Conn
	sim *simulation
}

// Send implements env.Conn.
func (oc *observedConn) Send(appendTo func([]byte) []byte) (uint64, int, bool) {
	return oc.Conn.Send(func(b []byte) []byte {
		before := len(b)
		b = appendTo(b)
		if msg, size, err := codec.Next(b[before:]); err == nil && size > 0 && codec.Kind(msg) == codec.KindSetUp {
			oc.sim.onAttempt(codec.Task(msg))
		}
		return b
	})
}

// onAttempt checks that an attempt does not begin long after its request was abandoned.
func (sm *simulation) onAttempt(id uint64) {
	t := sm.tasks[id]
	if t == nil || !(t.abandonedAt > 0) || !(sm.clock.TrueTime() > t.abandonedAt+abandonGrace) {
		return
	}
	if sm.lateAttempts++; sm.overload != nil && sm.lateAttempts <= maxLateAttempts {
		return
	}
	sm.fail(fmt.Sprintf("gone: an attempt for ask %d began %.0f ms after its owner had left it", id, sm.clock.TrueTime()-t.abandonedAt))
}
