package route

import (
	"fmt"

	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/platform"
)

const (
	goneFor  = 100 // ms after an owner left, or gave up, for which something may still begin for what it asked
	goneMost = 2   // times that it may begin later in a flood: a process that was given far more than it can do reads late
)

// watched is a scheduler's world in which each set-up that it sends is seen as it is sent.
type watched struct {
	outside.Environment
	g *play
}

func (w watched) Dial(address string, within float64, done func(outside.Conn, error)) {
	w.Environment.Dial(address, within, func(c outside.Conn, err error) {
		if err == nil {
			c = &sends{Conn: c, g: w.g}
		}
		done(c, err)
	})
}

type sends struct {
	outside.Conn
	g *play
}

func (s *sends) Send(f func([]byte) []byte) (uint64, int, bool) {
	return s.Conn.Send(func(b []byte) []byte {
		before := len(b)
		b = f(b)
		if msg, took, err := codec.Next(b[before:]); err == nil && took > 0 && codec.Kind(msg) == codec.SetUp {
			s.g.begins(codec.Task(msg))
		}
		return b
	})
}

// begins meets that an attempt begins.
func (g *play) begins(id uint64) {
	if t := g.tasks[id]; t != nil && t.gone > 0 && g.c.TrueTime() > t.gone+goneFor {
		if g.lateFor++; g.busy != nil && g.lateFor <= goneMost {
			return
		}
		g.fail(fmt.Sprintf("gone: an attempt for ask %d began %.0f ms after its owner had left it", id, g.c.TrueTime()-t.gone))
	}
}

// leaves has an owner close its connection under what it asked, and come again. Not in a flood: an end of this network hears nothing
// once it is closed, and its close lies behind all that it sent, so what is told it until that comes would be lost to it alone.
func (o *owner) leaves() {
	if e := o.e; e != nil && e.conn != nil && !e.over && o.s.ends == 0 {
		for _, id := range sorted(o.asks) {
			if t := o.asks[id]; t.e == e {
				t.gone = o.g.c.TrueTime()
			}
		}
		e.conn.Close(true, nil)
	}
}
