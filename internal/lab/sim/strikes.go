package sim

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/engine"
	"ravenpond/internal/outside"
	"ravenpond/internal/standin"
)

// strike lets a fault happen.
func (st *stage) strike(f Fault) {
	c := st.c
	c.note("fault %s %s %s\n", f.Kind, f.A, f.B)
	after := func(run func()) { c.at(nil, c.now+f.For, run) }
	var s *sched
	for _, x := range st.scheds {
		if x.name == f.A {
			s = x
		}
	}
	n := st.node(f.A)
	if n == nil {
		n = st.node(f.B)
	}
	switch f.Kind {
	case "kill":
		s.p.Kill(false)
		s.back(f.For)
	case "kill-in":
		s.p.KillIn(max(1, int(f.Size)))
		dies := s.p.life
		after(func() {
			if s.p.life == dies { // nothing was done meanwhile
				s.p.Kill(false)
			}
			s.back(100)
		})
	case "power":
		s.p.Kill(true)
		s.disk.PowerLost()
		s.back(f.For)
	case "pause":
		if s.p.dead || s.p.paused {
			return
		}
		life := s.p.life
		s.p.Pause()
		st.w.Trace.Add(audit.Record{At: c.now, Kind: audit.SchedulerPaused, Scheduler: s.name})
		after(func() {
			if s.p.life == life {
				st.w.Trace.Add(audit.Record{At: c.now, Kind: audit.SchedulerResumed, Scheduler: s.name})
				s.p.Resume()
			}
		})
	case "jump":
		if slices.ContainsFunc(st.Faults, func(f Fault) bool { return f.Kind == "window" }) {
			f.Size = math.Mod(f.Size, 80) // windows go by the wall clock, which must be right within the guard
		}
		s.p.Jump(f.Size)
	case "panic":
		s.panics = max(1, int(f.Size))
	case "shards":
		if !s.p.dead && s.server != nil {
			want := max(1, min(mostShards, int(f.Size+0.5)))
			c.at(s.p, c.now, func() { _ = s.server.Resize(want) })
		}
	case "reset", "half":
		for _, x := range st.conns(f.A, f.B) {
			x.Reset(f.Kind == "reset")
		}
	case "cut":
		w := c.road(f.A, f.B)
		w.cut = true
		after(func() { w.cut = false })
	case "refuse":
		w := c.road(f.A, f.B)
		w.refuse = true
		for _, x := range st.conns(f.A, f.B) {
			x.Reset(true)
		}
		after(func() { w.refuse = false })
	case "slow":
		w := c.road(f.A, f.B)
		w.slow = f.Size
		after(func() { w.slow = 0 })
	case "stall":
		for _, x := range st.conns(f.A, f.B) {
			x.far.Stall(f.For)
		}
	case "stall-back":
		at := f.A
		if f.B[0] == 'o' { // it is the owner who does not read: its answers are late, but not the scheduler's fault
			i, _ := strconv.Atoi(f.B[1:])
			st.deaf[i] = max(st.deaf[i], c.now+f.For+100)
			at = f.B
		}
		for _, x := range append(st.conns(f.A, f.B), st.conns(f.B, f.A)...) {
			if x.p.Name == at {
				x.Stall(f.For)
			}
		}
	case "list-away":
		st.list.Update(func(l *standin.List) { l.Unavailable = true })
		after(func() { st.list.Update(func(l *standin.List) { l.Unavailable = false }) })
	case "list-behind":
		st.list.Update(func(l *standin.List) { l.ExtraDelay = f.Size })
		after(func() { st.list.Update(func(l *standin.List) { l.ExtraDelay = 0 }) })
	case "hang":
		n.Machine.Hung = true
		after(func() { n.Machine.Hung = false })
	case "mute":
		n.Machine.AnswerLoss = f.Size
		after(func() { n.Machine.AnswerLoss = 0 })
	case "deaf", "lossy":
		l := c.Lane(f.B, f.A)
		if f.Kind == "deaf" {
			l.Cut = true
		} else {
			l.Loss = f.Size
		}
		after(func() { *l = Lane{} })
	case "errors", "silence":
		n.Machine.FailingJob, n.Machine.FailingFraction, n.Machine.FailSilently = st.rng.IntN(len(rulesOfJobs)), f.Size, f.Kind == "silence"
		after(func() { n.Machine.FailingJob = -1 })
	case "restart", "lost":
		st.lose([]*standin.Node{n}, f.For)
	case "hall":
		zone, half := st.place.Zones[st.rng.IntN(2)], []*standin.Node(nil)
		for _, x := range st.nodes {
			if x.Zone == zone {
				half = append(half, x)
			}
		}
		st.lose(half, f.For)
	case "drain":
		if n.Lost {
			return
		}
		n.Draining = true
		n.Machine.Drain(c.now, true, false)
		after(func() { n.Draining = false; n.Machine.Undrain() })
	case "flood":
		st.flood = max(1, f.Size)
		after(func() { st.flood = 1 })
	case "withdraw":
		if i, err := strconv.Atoi(strings.TrimPrefix(f.A, "o")); err == nil {
			st.owners[i].Withdraw(f.Size)
		}
	case "window":
		st.window(n, f)
	case "tenant-pause", "tenant-limit", "tenant-remove":
		st.tenant(f)
	}
}

// window takes a node out for maintenance by every scheduler's calendar, with a lead.
func (st *stage) window(n *standin.Node, f Fault) {
	c := st.c
	start := outside.Epoch.Add(time.Duration((day + c.now + f.Size + 1500) * 1e6)).Truncate(time.Second)
	w := calendar.Window{
		ID: fmt.Sprintf("w%.0f", f.At), Scope: calendar.OneNode, Target: strconv.Itoa(int(n.ID)), Start: start,
		Duration: time.Duration(max(1, f.For/1000)) * time.Second, Lead: time.Duration(math.Ceil(f.Size/1000)) * time.Second, CreatedAt: start,
	}
	for _, s := range st.scheds {
		s.store.cal.Windows = append(s.store.cal.Windows, w)
	}
	ms := func(t time.Time) float64 { return float64(t.Sub(outside.Epoch))/1e6 - day }
	mark := func(at float64, word string) {
		c.at(nil, at, func() {
			st.w.Trace.Add(audit.Record{At: c.now, Kind: audit.MaintenanceChanged, Node: n.ID, Detail: word})
		})
	}
	skew := 0.0 // clocks that the script has set wrong
	for _, s := range st.scheds {
		skew = max(skew, math.Abs(s.p.err))
	}
	out, back := ms(start.Add(-w.Lead))+1000+skew, ms(start.Add(w.Duration))-1000-skew // a scheduler looks once a second
	if out < back {
		mark(out, "out")
		mark(back, "back")
	}
}

// lose takes nodes away and brings them back cold.
func (st *stage) lose(nodes []*standin.Node, after float64) {
	for _, n := range nodes {
		if n.Lost {
			continue
		}
		n.Crash(st.c.now)
		st.c.at(nil, st.c.now+after, func() {
			if err := n.Restart(); err != nil {
				st.fail(0, err.Error())
			}
		})
	}
}

const planned = "of the script"

// panicky lets a shard panic in the midst of its effects.
type panicky struct {
	engine.Effects
	s *sched
}

func (e panicky) due() {
	if e.s.panics > 0 {
		if e.s.panics--; e.s.panics == 0 {
			panic(planned)
		}
	}
}

func (e panicky) PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool {
	e.due()
	ok := e.Effects.PermitAttempt(tenant, token, epoch, nd, ticket, try)
	e.due()
	return ok
}

func (e panicky) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	e.due()
	e.Effects.RecordOutcome(tenant, token, epoch, never)
	e.due()
}

func (e panicky) PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool {
	e.due()
	return e.Effects.PermitAnswer(tenant, token, epoch, served)
}
