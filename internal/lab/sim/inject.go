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

// Times of faults in ms.
const (
	killedRestartDelay = 100  // until a process that was killed after a number of effects restarts
	stallGrace         = 100  // within which a stalled client reads the messages that arrived
	maxWindowJump      = 80   // largest jump of a wall clock that maintenance windows depend on; less than the guard of the site's drains
	windowNotice       = 1500 // between the announcement of a maintenance window and the start of its lead
	calendarInterval   = 1000 // within which a scheduler notices that a window begins
)

// injection is a fault that is being injected, with the scheduler and the node that it affects.
type injection struct {
	env       *environment
	clock     *Clock
	fault     Fault
	scheduler *scheduler    // nil if the fault affects no scheduler
	node      *standin.Node // nil if the fault affects no node
}

// injectors maps each kind of fault to the function that injects it.
var injectors = map[string]func(*injection){
	"kill":          (*injection).kill,
	"kill-in":       (*injection).killAfterEffects,
	"power":         (*injection).losePower,
	"pause":         (*injection).pause,
	"jump":          (*injection).jumpClock,
	"panic":         func(in *injection) { in.scheduler.effectsUntilPanic = max(1, int(in.fault.Size)) },
	"shards":        (*injection).resize,
	"reset":         func(in *injection) { in.resetConnections(true) },
	"half":          func(in *injection) { in.resetConnections(false) },
	"cut":           (*injection).cutLink,
	"refuse":        (*injection).refuseConnections,
	"slow":          (*injection).slowLink,
	"stall":         (*injection).stallPeer,
	"stall-back":    (*injection).stallReader,
	"list-away":     (*injection).failList,
	"list-behind":   (*injection).delayList,
	"hang":          (*injection).hang,
	"mute":          (*injection).loseAnswers,
	"deaf":          func(in *injection) { in.disturbDatagrams(DatagramLink{Cut: true}) },
	"lossy":         func(in *injection) { in.disturbDatagrams(DatagramLink{Loss: in.fault.Size}) },
	"errors":        func(in *injection) { in.failJob(false) },
	"silence":       func(in *injection) { in.failJob(true) },
	"restart":       func(in *injection) { in.crashNodes([]*standin.Node{in.node}) },
	"lost":          func(in *injection) { in.crashNodes([]*standin.Node{in.node}) },
	"hall":          (*injection).crashZone,
	"drain":         (*injection).drain,
	"flood":         (*injection).flood,
	"withdraw":      (*injection).withdraw,
	"window":        (*injection).addMaintenance,
	"tenant-pause":  func(in *injection) { in.env.pauseTenant(in.fault) },
	"tenant-limit":  func(in *injection) { in.env.limitTenant(in.fault) },
	"tenant-remove": func(in *injection) { in.env.removeTenant(in.fault) },
}

// inject injects a fault now.
func (e *environment) inject(f Fault) {
	e.clock.tracef("fault %s %s %s\n", f.Kind, f.Target, f.Peer)
	in := &injection{env: e, clock: e.clock, fault: f, node: e.node(f.Target)}
	for _, s := range e.schedulers {
		if s.name == f.Target {
			in.scheduler = s
		}
	}
	if in.node == nil {
		in.node = e.node(f.Peer)
	}
	if inject := injectors[f.Kind]; inject != nil {
		inject(in)
	}
}

// onEnd calls f when the fault ends.
func (in *injection) onEnd(f func()) { in.clock.schedule(nil, in.clock.now+in.fault.Duration, f) }

func (in *injection) kill() {
	in.scheduler.process.Kill(false)
	in.scheduler.restartAfter(in.fault.Duration)
}

// killAfterEffects kills a scheduler after a number of its effects, or when the fault ends if that comes first.
func (in *injection) killAfterEffects() {
	s := in.scheduler
	s.process.KillAfterEffects(max(1, int(in.fault.Size)))
	incarnation := s.process.incarnation
	in.onEnd(func() {
		if s.process.incarnation == incarnation {
			s.process.Kill(false)
		}
		s.restartAfter(killedRestartDelay)
	})
}

func (in *injection) losePower() {
	in.scheduler.process.Kill(true)
	in.scheduler.disk.PowerLost()
	in.scheduler.restartAfter(in.fault.Duration)
}

func (in *injection) pause() {
	s, trace := in.scheduler, &in.env.testbed.Trace
	if s.process.dead || s.process.paused {
		return
	}
	incarnation := s.process.incarnation
	s.process.Pause()
	trace.Add(audit.Record{At: in.clock.now, Kind: audit.SchedulerPaused, Scheduler: s.name})
	in.onEnd(func() {
		if s.process.incarnation == incarnation {
			trace.Add(audit.Record{At: in.clock.now, Kind: audit.SchedulerResumed, Scheduler: s.name})
			s.process.Resume()
		}
	})
}

func (in *injection) jumpClock() {
	by := in.fault.Size
	if slices.ContainsFunc(in.env.Faults, func(f Fault) bool { return f.Kind == "window" }) {
		by = math.Mod(by, maxWindowJump)
	}
	in.scheduler.process.JumpClock(by)
}

func (in *injection) resize() {
	s := in.scheduler
	if s.process.dead || s.server == nil {
		return
	}
	shards := max(1, min(maxShards, int(in.fault.Size+0.5)))
	in.clock.schedule(s.process, in.clock.now, func() { _ = s.server.Resize(shards) }) // Resize fails while another change is under way
}

func (in *injection) resetConnections(both bool) {
	for _, c := range in.env.connections(in.fault.Target, in.fault.Peer) {
		c.Reset(both)
	}
}

func (in *injection) cutLink() {
	l := in.clock.link(in.fault.Target, in.fault.Peer)
	l.cut = true
	in.onEnd(func() { l.cut = false })
}

func (in *injection) refuseConnections() {
	l := in.clock.link(in.fault.Target, in.fault.Peer)
	l.refuse = true
	in.resetConnections(true)
	in.onEnd(func() { l.refuse = false })
}

func (in *injection) slowLink() {
	l := in.clock.link(in.fault.Target, in.fault.Peer)
	l.maxExtraDelay = in.fault.Size
	in.onEnd(func() { l.maxExtraDelay = 0 })
}

// stallPeer stops the peer's reads from the target.
func (in *injection) stallPeer() {
	for _, c := range in.env.connections(in.fault.Target, in.fault.Peer) {
		c.remote.Stall(in.fault.Duration)
	}
}

// stallReader stops the scheduler's reads from its peer, or a client's reads from the scheduler. Answers that a stalled client reads late
// are not the scheduler's fault.
func (in *injection) stallReader() {
	e, target, peer := in.env, in.fault.Target, in.fault.Peer
	reader := target
	if peer[0] == 'o' {
		i, _ := strconv.Atoi(peer[1:]) // Script.Check has validated the name
		e.stalledClients[i] = max(e.stalledClients[i], in.clock.now+in.fault.Duration+stallGrace)
		reader = peer
	}
	for _, c := range append(e.connections(target, peer), e.connections(peer, target)...) {
		if c.process.Name == reader {
			c.Stall(in.fault.Duration)
		}
	}
}

func (in *injection) failList() {
	list := in.env.list
	list.Update(func(l *standin.List) { l.Unavailable = true })
	in.onEnd(func() { list.Update(func(l *standin.List) { l.Unavailable = false }) })
}

func (in *injection) delayList() {
	list := in.env.list
	list.Update(func(l *standin.List) { l.ExtraDelay = in.fault.Size })
	in.onEnd(func() { list.Update(func(l *standin.List) { l.ExtraDelay = 0 }) })
}

func (in *injection) hang() {
	in.node.Machine.Hung = true
	in.onEnd(func() { in.node.Machine.Hung = false })
}

func (in *injection) loseAnswers() {
	in.node.Machine.AnswerLoss = in.fault.Size
	in.onEnd(func() { in.node.Machine.AnswerLoss = 0 })
}

// disturbDatagrams disturbs datagrams from the peer to the target.
func (in *injection) disturbDatagrams(disturbed DatagramLink) {
	l := in.clock.DatagramLink(in.fault.Peer, in.fault.Target)
	if disturbed.Cut {
		l.Cut = true
	} else {
		l.Loss = disturbed.Loss
	}
	in.onEnd(func() { *l = DatagramLink{} })
}

// failJob makes a fraction of the attempts of a random job class fail, silently or with an error.
func (in *injection) failJob(silently bool) {
	m := in.node.Machine
	m.FailingJob, m.FailingFraction, m.FailSilently = in.env.rng.IntN(len(jobRules)), in.fault.Size, silently
	in.onEnd(func() { m.FailingJob = -1 })
}

// crashNodes crashes nodes and restarts them cold when the fault ends.
func (in *injection) crashNodes(nodes []*standin.Node) {
	for _, n := range nodes {
		if n.Gone {
			continue
		}
		n.Crash(in.clock.now)
		in.onEnd(func() {
			if err := n.Restart(); err != nil {
				in.env.fail(0, err.Error())
			}
		})
	}
}

// crashZone crashes all nodes of a random zone.
func (in *injection) crashZone() {
	zone, nodes := in.env.site.Zones[in.env.rng.IntN(2)], []*standin.Node(nil)
	for _, n := range in.env.nodes {
		if n.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	in.crashNodes(nodes)
}

func (in *injection) drain() {
	n := in.node
	if n.Gone {
		return
	}
	n.Draining = true
	n.Machine.Drain(in.clock.now, true, false)
	in.onEnd(func() { n.Draining = false; n.Machine.Undrain() })
}

func (in *injection) flood() {
	in.env.loadFactor = max(1, in.fault.Size)
	in.onEnd(func() { in.env.loadFactor = 1 })
}

func (in *injection) withdraw() {
	if i, err := strconv.Atoi(strings.TrimPrefix(in.fault.Target, "o")); err == nil {
		in.env.clients[i].Withdraw(in.fault.Size)
	}
}

// addMaintenance adds a maintenance window of a node to the calendar of every scheduler, with a lead of the fault's size in ms. The auditor
// gets the part of the window that all schedulers notice despite the errors of their clocks.
func (in *injection) addMaintenance() {
	e, f, node := in.env, in.fault, in.node
	start := env.Epoch.Add(time.Duration((clockOrigin + in.clock.now + f.Size + windowNotice) * 1e6)).Truncate(time.Second)
	w := calendar.Window{
		ID: fmt.Sprintf("w%.0f", f.At), Scope: calendar.OneNode, Target: strconv.Itoa(int(node.ID)), Start: start,
		Duration: time.Duration(max(1, f.Duration/1000)) * time.Second, Lead: time.Duration(math.Ceil(f.Size/1000)) * time.Second, CreatedAt: start,
	}
	maxClockError := 0.0
	for _, s := range e.schedulers {
		s.maintenance.calendar.Windows = append(s.maintenance.calendar.Windows, w)
		maxClockError = max(maxClockError, math.Abs(s.process.clockError))
	}
	trueTime := func(t time.Time) float64 { return float64(t.Sub(env.Epoch))/1e6 - clockOrigin }
	record := func(at float64, detail string) {
		in.clock.schedule(nil, at, func() {
			e.testbed.Trace.Add(audit.Record{At: in.clock.now, Kind: audit.MaintenanceChanged, Node: node.ID, Detail: detail})
		})
	}
	noticedFrom := trueTime(start.Add(-w.Lead)) + calendarInterval + maxClockError
	noticedUntil := trueTime(start.Add(w.Duration)) - calendarInterval - maxClockError
	if noticedFrom < noticedUntil {
		record(noticedFrom, "out")
		record(noticedUntil, audit.MaintenanceOver)
	}
}

// plannedPanic is the value of a panic that a script injects into a shard. The log line of such a panic contains it.
const plannedPanic = "injected by the script"

// panicInjector makes a shard panic before or after an effect that the engine requests from its router.
type panicInjector struct {
	engine.Effects
	scheduler *scheduler
}

func (e panicInjector) countEffect() {
	if e.scheduler.effectsUntilPanic > 0 {
		if e.scheduler.effectsUntilPanic--; e.scheduler.effectsUntilPanic == 0 {
			panic(plannedPanic)
		}
	}
}

func (e panicInjector) PermitAttempt(task engine.OwnedTask, node uint32, attempt engine.AttemptID) bool {
	e.countEffect()
	ok := e.Effects.PermitAttempt(task, node, attempt)
	e.countEffect()
	return ok
}

func (e panicInjector) RecordOutcome(task engine.OwnedTask, neverRan bool) {
	e.countEffect()
	e.Effects.RecordOutcome(task, neverRan)
	e.countEffect()
}

func (e panicInjector) PermitAnswer(task engine.OwnedTask, served bool) bool {
	e.countEffect()
	return e.Effects.PermitAnswer(task, served)
}
