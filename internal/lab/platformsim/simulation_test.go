package platformsim

import (
	"runtime"
	"strings"
	"testing"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// TestSeeds plays seeds of the platform's route: no rule breaks, nothing panics, and what can be served is.
func TestSeeds(t *testing.T) {
	all := Seeds(t.Context(), 1, 61, runtime.NumCPU())
	for _, v := range all {
		if v.Failure != "" {
			t.Errorf("seed %d: %.1500s", v.Seed, v.Failure)
		}
		if v.Seed%20 != 1 {
			continue
		}
		if again := Play(v.Seed, Faults{}); again != v {
			t.Errorf("played twice: %+v and %+v", v, again)
		}
	}
	var sum strings.Builder
	Print(&sum, all)
	t.Log(sum.String())
	var asks, served, floods [2]int
	found := 0
	for _, v := range all {
		i := 0
		if v.Overloaded {
			i = 1
		}
		asks[i], served[i], floods[i], found = asks[i]+v.Requests, served[i]+v.Served, floods[i]+1, found+v.Restored
	}
	for job, name := range jobNames { // each job type has its floor: none is served at the cost of another
		var of [2]struct{ asks, served int }
		for _, v := range all {
			i := 0
			if v.Overloaded {
				i = 1
			}
			of[i].asks += v.Jobs[job].Asks
			of[i].served += v.Jobs[job].Served
		}
		if of[0].served < of[0].asks*17/20 || of[1].served < of[1].asks/4 {
			t.Errorf("%s, calm and flooded: %+v", name, of)
		}
	}
	if served[0] < asks[0]*9/10 || served[1] < asks[1]/3 || found < 100 || floods[1] < 10 {
		t.Errorf("calm and flooded: %v asks, %v served in %v seeds, %d found again: the seeds show too little", asks, served, floods, found)
	}
}

// TestFlood plays floods alone: what one scheduler is given is five to ten times what it can do.
func TestFlood(t *testing.T) {
	for seed := range uint64(8) {
		if v := Play(1000+seed, Faults{AlwaysOverload: true}); v.Failure != "" {
			t.Errorf("seed %d: %.1500s", v.Seed, v.Failure)
		}
	}
}

// TestPlanted plants faults in the program and looks that the seeds find each.
func TestPlanted(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant Faults
		want  string
	}{
		{"gone and draining nodes are left out of what is known", Faults{InitialEvents: func(b []byte) []byte {
			return []byte(strings.NewReplacer(`"draining"`, `"ready"`, `"gone"`, `"ready"`).Replace(string(b)))
		}}, "rule 3"},
		{"the journal can't be reached at a second address", Faults{World: func(w env.Environment) env.Environment { return &once{Environment: w} }}, "rule"},
		{"what is sent in a flood leaves when its writer has its turn, after others", Faults{AlwaysOverload: true, World: func(w env.Environment) env.Environment {
			return slow{w}
		}}, "rule"},
		{"owners' connections are ended while asks are open on them", Faults{World: func(w env.Environment) env.Environment {
			return curt{w}
		}}, "rule 1"},
		{"an owner's close is read late, and nobody asks whether it has left", Faults{World: func(w env.Environment) env.Environment {
			return deaf{w, false}
		}}, "gone"},
		{"notes are not read, and an end before its answer counts as a reset on its way", Faults{World: func(w env.Environment) env.Environment {
			return forgetful{w}
		}}, "rule 1"},
		{"words to owners are lost", Faults{World: func(w env.Environment) env.Environment { return lossy{w} }}, "rule 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(40) {
				if v := Play(seed+1, c.plant); v.Failure != "" {
					if !strings.Contains(v.Failure, c.want) {
						t.Errorf("found as %s, want %s", v.Failure, c.want)
					}
					t.Logf("found by seed %d: %.120s", v.Seed, v.Failure)
					return
				}
			}
			t.Error("not found in 40 seeds")
		})
	}
}

// TestReadLate has owners' closes read 1.5 s late: what began for them after they left is nothing, as the scheduler asks whether they have.
func TestReadLate(t *testing.T) {
	for seed := range uint64(20) {
		if v := Play(seed+1, Faults{World: func(w env.Environment) env.Environment { return deaf{w, true} }}); strings.Contains(v.Failure, "gone") {
			t.Errorf("seed %d: %s", v.Seed, v.Failure)
		}
	}
}

// deaf has owners' closes read 1.5 s late, and tells whether they have left, or does not.
type deaf struct {
	env.Environment
	knows bool
}

func (d deaf) Listen(address string, came func(env.Conn)) (env.Listener, error) {
	return d.Environment.Listen(address, func(c env.Conn) { came(&late{Conn: c, d: d}) })
}

type late struct {
	env.Conn
	d deaf
}

func (l *late) PeerClosed() bool { return l.d.knows && l.Conn.PeerClosed() }

func (l *late) Start(p env.ConnHandler, stuck float64) { l.Conn.Start(lateEar{p, l.d}, stuck) }

type lateEar struct {
	env.ConnHandler
	d deaf
}

func (l lateEar) OnData(b []byte) {
	if b != nil {
		l.ConnHandler.OnData(b)
	}
}

func (l lateEar) OnClose(err error) { l.d.After(1500, func() { l.ConnHandler.OnClose(err) }) }

// forgetful hears nodes without their notes, and every end of a task that was cut or ended as a reset that gives no reason.
type forgetful struct{ env.Environment }

func (f forgetful) Dial(address string, within float64, done func(env.Conn, error)) {
	f.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil {
			c = &forgetfulConn{Conn: c}
		}
		done(c, err)
	})
}

type forgetfulConn struct{ env.Conn }

func (c *forgetfulConn) Start(p env.ConnHandler, stuck float64) {
	c.Conn.Start(&forgetfulPeer{ConnHandler: p, answered: map[uint64]bool{}}, stuck)
}

type forgetfulPeer struct {
	env.ConnHandler
	in       []byte
	answered map[uint64]bool
}

func (p *forgetfulPeer) OnData(b []byte) {
	if b == nil {
		p.ConnHandler.OnData(nil)
		return
	}
	p.in = append(p.in, b...)
	var out []byte
	for {
		msg, took, err := codec.Next(p.in)
		if err != nil || took == 0 {
			break
		}
		out = append(out, p.forgets(msg, p.in[:took])...)
		p.in = p.in[took:]
	}
	if len(out) > 0 {
		p.ConnHandler.OnData(out)
	}
}

func (p *forgetfulPeer) forgets(msg, whole []byte) []byte {
	task := codec.Task(msg)
	switch cause, _ := codec.CauseOf(msg); codec.Kind(msg) {
	case codec.KindAnswer:
		p.answered[task] = true
	case codec.KindNote:
		return nil
	case codec.KindEnd:
		if !p.answered[task] && (cause == codec.CauseNormal || cause == codec.CauseReset) {
			return codec.AppendEnd(nil, task, codec.CauseReset)
		}
	}
	return whole
}

// once reaches the first address of a journal service alone.
type once struct {
	env.Environment
	journal string
}

func (o *once) Dial(address string, within float64, done func(env.Conn, error)) {
	if strings.HasPrefix(address, "journal") {
		if o.journal == "" {
			o.journal = address
		}
		address = o.journal
	}
	o.Environment.Dial(address, within, done)
}

// slow has connections hand over what is sent 200 ms later where several wait.
type slow struct{ env.Environment }

func (s slow) Dial(address string, within float64, done func(env.Conn, error)) {
	s.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil {
			c = &behind{Conn: c, w: s.Environment}
		}
		done(c, err)
	})
}

type behind struct {
	env.Conn
	w    env.Environment
	sent uint64
}

func (b *behind) Send(f func([]byte) []byte) (uint64, int, bool) {
	msg := f(nil)
	b.sent += uint64(len(msg))
	b.w.After(200, func() { b.Conn.Send(func(q []byte) []byte { return append(q, msg...) }) })
	return b.sent, len(msg), true
}

func (b *behind) Unsend(uint64, int) bool { return false }

// curt ends a connection to owners after some messages, whatever is open on it.
type curt struct{ env.Environment }

func (c curt) Listen(address string, came func(env.Conn)) (env.Listener, error) {
	return c.Environment.Listen(address, func(x env.Conn) { came(&short{Conn: x}) })
}

type short struct {
	env.Conn
	n int
}

func (s *short) Send(f func([]byte) []byte) (uint64, int, bool) {
	if s.n++; s.n%30 == 0 {
		s.Conn.Close(true, nil)
	}
	return s.Conn.Send(f)
}

// lossy hands over every hundredth message to owners to nobody.
type lossy struct{ env.Environment }

func (l lossy) Listen(address string, came func(env.Conn)) (env.Listener, error) {
	return l.Environment.Listen(address, func(c env.Conn) { came(&losing{Conn: c}) })
}

type losing struct {
	env.Conn
	n int
}

func (l *losing) Send(f func([]byte) []byte) (uint64, int, bool) {
	if l.n++; l.n%100 == 0 {
		return 0, 0, true
	}
	return l.Conn.Send(f)
}
