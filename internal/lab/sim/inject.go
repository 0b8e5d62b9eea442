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
	"ravenpond/internal/env"
	"ravenpond/internal/standin"
)

// inject lets a fault happen.
func (st *environment) inject(f Fault) {
	c := st.clock
	c.tracef("fault %s %s %s\n", f.Kind, f.Target, f.Peer)
	after := func(run func()) { c.schedule(nil, c.now+f.Duration, run) }
	var s *scheduler
	for _, x := range st.schedulers {
		if x.name == f.Target {
			s = x
		}
	}
	n := st.node(f.Target)
	if n == nil {
		n = st.node(f.Peer)
	}
	switch f.Kind {
	case "kill":
		s.process.Kill(false)
		s.restartAfter(f.Duration)
	case "kill-in":
		s.process.KillAfterEffects(max(1, int(f.Size)))
		dies := s.process.incarnation
		after(func() {
			if s.process.incarnation == dies { // nothing was done meanwhile
				s.process.Kill(false)
			}
			s.restartAfter(100)
		})
	case "power":
		s.process.Kill(true)
		s.disk.PowerLost()
		s.restartAfter(f.Duration)
	case "pause":
		if s.process.dead || s.process.paused {
			return
		}
		life := s.process.incarnation
		s.process.Pause()
		st.testbed.Trace.Add(audit.Record{At: c.now, Kind: audit.SchedulerPaused, Scheduler: s.name})
		after(func() {
			if s.process.incarnation == life {
				st.testbed.Trace.Add(audit.Record{At: c.now, Kind: audit.SchedulerResumed, Scheduler: s.name})
				s.process.Resume()
			}
		})
	case "jump":
		if slices.ContainsFunc(st.Faults, func(f Fault) bool { return f.Kind == "window" }) {
			f.Size = math.Mod(f.Size, 80) // windows go by the wall clock, which must be right within the guard
		}
		s.process.JumpClock(f.Size)
	case "panic":
		s.effectsUntilPanic = max(1, int(f.Size))
	case "shards":
		if !s.process.dead && s.server != nil {
			want := max(1, min(maxShards, int(f.Size+0.5)))
			c.schedule(s.process, c.now, func() { _ = s.server.Resize(want) })
		}
	case "reset", "half":
		for _, x := range st.connections(f.Target, f.Peer) {
			x.Reset(f.Kind == "reset")
		}
	case "cut":
		w := c.link(f.Target, f.Peer)
		w.cut = true
		after(func() { w.cut = false })
	case "refuse":
		w := c.link(f.Target, f.Peer)
		w.refuse = true
		for _, x := range st.connections(f.Target, f.Peer) {
			x.Reset(true)
		}
		after(func() { w.refuse = false })
	case "slow":
		w := c.link(f.Target, f.Peer)
		w.maxExtraDelay = f.Size
		after(func() { w.maxExtraDelay = 0 })
	case "stall":
		for _, x := range st.connections(f.Target, f.Peer) {
			x.remote.Stall(f.Duration)
		}
	case "stall-back":
		at := f.Target
		if f.Peer[0] == 'o' { // it is the owner who does not read: its answers are late, but not the scheduler's fault
			i, _ := strconv.Atoi(f.Peer[1:])
			st.stalledClients[i] = max(st.stalledClients[i], c.now+f.Duration+100)
			at = f.Peer
		}
		for _, x := range append(st.connections(f.Target, f.Peer), st.connections(f.Peer, f.Target)...) {
			if x.process.Name == at {
				x.Stall(f.Duration)
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
		l := c.DatagramLink(f.Peer, f.Target)
		if f.Kind == "deaf" {
			l.Cut = true
		} else {
			l.Loss = f.Size
		}
		after(func() { *l = DatagramLink{} })
	case "errors", "silence":
		n.Machine.FailingJob, n.Machine.FailingFraction, n.Machine.FailSilently = st.rng.IntN(len(jobRules)), f.Size, f.Kind == "silence"
		after(func() { n.Machine.FailingJob = -1 })
	case "restart", "lost":
		st.crashNodes([]*standin.Node{n}, f.Duration)
	case "hall":
		zone, half := st.site.Zones[st.rng.IntN(2)], []*standin.Node(nil)
		for _, x := range st.nodes {
			if x.Zone == zone {
				half = append(half, x)
			}
		}
		st.crashNodes(half, f.Duration)
	case "drain":
		if n.Lost {
			return
		}
		n.Draining = true
		n.Machine.Drain(c.now, true, false)
		after(func() { n.Draining = false; n.Machine.Undrain() })
	case "flood":
		st.loadFactor = max(1, f.Size)
		after(func() { st.loadFactor = 1 })
	case "withdraw":
		if i, err := strconv.Atoi(strings.TrimPrefix(f.Target, "o")); err == nil {
			st.clients[i].Withdraw(f.Size)
		}
	case "window":
		st.addMaintenance(n, f)
	case "tenant-pause", "tenant-limit", "tenant-remove":
		st.injectTenantFault(f)
	}
}

// addMaintenance takes a node out for maintenance by every scheduler's calendar, with a lead.
func (st *environment) addMaintenance(n *standin.Node, f Fault) {
	c := st.clock
	start := env.Epoch.Add(time.Duration((clockOrigin + c.now + f.Size + 1500) * 1e6)).Truncate(time.Second)
	w := calendar.Window{
		ID: fmt.Sprintf("w%.0f", f.At), Scope: calendar.OneNode, Target: strconv.Itoa(int(n.ID)), Start: start,
		Duration: time.Duration(max(1, f.Duration/1000)) * time.Second, Lead: time.Duration(math.Ceil(f.Size/1000)) * time.Second, CreatedAt: start,
	}
	for _, s := range st.schedulers {
		s.maintenance.calendar.Windows = append(s.maintenance.calendar.Windows, w)
	}
	ms := func(t time.Time) float64 { return float64(t.Sub(env.Epoch))/1e6 - clockOrigin }
	mark := func(at float64, word string) {
		c.schedule(nil, at, func() {
			st.testbed.Trace.Add(audit.Record{At: c.now, Kind: audit.MaintenanceChanged, Node: n.ID, Detail: word})
		})
	}
	skew := 0.0 // clocks that the script has set wrong
	for _, s := range st.schedulers {
		skew = max(skew, math.Abs(s.process.clockError))
	}
	out, back := ms(start.Add(-w.Lead))+1000+skew, ms(start.Add(w.Duration))-1000-skew // a scheduler looks once a second
	if out < back {
		mark(out, "out")
		mark(back, "back")
	}
}

// crashNodes takes nodes away and brings them back cold.
func (st *environment) crashNodes(nodes []*standin.Node, after float64) {
	for _, n := range nodes {
		if n.Lost {
			continue
		}
		n.Crash(st.clock.now)
		st.clock.schedule(nil, st.clock.now+after, func() {
			if err := n.Restart(); err != nil {
				st.fail(0, err.Error())
			}
		})
	}
}

const plannedPanic = "of the script"

// panicInjector lets a shard panic in the midst of its effects.
type panicInjector struct {
	engine.Effects
	scheduler *scheduler
}

func (e panicInjector) step() {
	if e.scheduler.effectsUntilPanic > 0 {
		if e.scheduler.effectsUntilPanic--; e.scheduler.effectsUntilPanic == 0 {
			panic(plannedPanic)
		}
	}
}

func (e panicInjector) PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool {
	e.step()
	ok := e.Effects.PermitAttempt(tenant, token, epoch, nd, ticket, try)
	e.step()
	return ok
}

func (e panicInjector) RecordOutcome(tenant int, token uint64, epoch uint32, never bool) {
	e.step()
	e.Effects.RecordOutcome(tenant, token, epoch, never)
	e.step()
}

func (e panicInjector) PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool {
	e.step()
	return e.Effects.PermitAnswer(tenant, token, epoch, served)
}
