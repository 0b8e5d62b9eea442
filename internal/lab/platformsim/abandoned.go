package platformsim

import (
	"fmt"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

const (
	abandonGrace    = 100 // ms after an owner left, or gave up, for which something may still begin for what it asked
	maxLateAttempts = 2   // times that it may begin later in a flood: a process that was given far more than it can do reads late
)

// observedEnvironment is a scheduler's world in which each set-up that it sends is seen as it is sent.
type observedEnvironment struct {
	env.Environment
	sim *simulation
}

func (w observedEnvironment) Dial(address string, within float64, done func(env.Conn, error)) {
	w.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil {
			c = &observedConn{Conn: c, sim: w.sim}
		}
		done(c, err)
	})
}

type observedConn struct {
	env.Conn
	sim *simulation
}

func (s *observedConn) Send(f func([]byte) []byte) (uint64, int, bool) {
	return s.Conn.Send(func(b []byte) []byte {
		before := len(b)
		b = f(b)
		if msg, took, err := codec.Next(b[before:]); err == nil && took > 0 && codec.Kind(msg) == codec.KindSetUp {
			s.sim.onAttempt(codec.Task(msg))
		}
		return b
	})
}

// onAttempt meets that an attempt begins.
func (g *simulation) onAttempt(id uint64) {
	if t := g.tasks[id]; t != nil && t.abandonedAt > 0 && g.clock.TrueTime() > t.abandonedAt+abandonGrace {
		if g.lateAttempts++; g.overload != nil && g.lateAttempts <= maxLateAttempts {
			return
		}
		g.fail(fmt.Sprintf("gone: an attempt for ask %d began %.0f ms after its owner had left it", id, g.clock.TrueTime()-t.abandonedAt))
	}
}

// disconnect has an owner close its connection under what it asked, and come again. Not in a flood: an end of this network hears nothing
// once it is closed, and its close lies behind all that it sent, so what is told it until that comes would be lost to it alone.
func (o *client) disconnect() {
	if e := o.conn; e != nil && e.conn != nil && !e.closed && o.scheduler.stoppedAt == 0 {
		for _, id := range sorted(o.pending) {
			if t := o.pending[id]; t.conn == e {
				t.abandonedAt = o.sim.clock.TrueTime()
			}
		}
		e.conn.Close(true, nil)
	}
}
