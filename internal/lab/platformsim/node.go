package platformsim

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// Statuses of nodes in the node list.
const (
	statusReady    = "ready"
	statusDraining = "draining"
	statusGone     = "gone"
)

// Sizes of nodes.
const (
	nodeCores     = 32
	nodeMemory    = 48
	taskMemory    = 2 // a task takes 1 core
	maxTasks      = 28
	cellCount     = 3
	maxUnsentEnds = 64 // that are sent on the next connection
	rateBase      = 10 // of which the rates of faults are parts
)

// Times of nodes in ms.
const (
	arrivalDelay   = 1 // in which a withdrawal overtakes a request that waited on its way
	minStartTime   = 5
	startTimeRange = 40
	minTaskRuntime = 200
	maxTaskRuntime = 6000
)

var zoneNames = []string{"east", "west"}

// node is a node of the platform.
type node struct {
	sim           *simulation
	id            uint32
	name, address string
	zone          string
	cell          int
	status        string
	startedAt     float64 // Unix ms, 0: long ago
	process       host
	conns         []*peerConn
	tasks         map[uint64]*attempt
	arriving      map[uint64]*peerConn // requests that were read a moment ago
	unsentEnds    []uint64
	announcements int       // of its status
	coldSince     float64   // true time in ms at which it started cold, 0: it did not
	arrivals      []float64 // of attempts in the last slow-start window
	nodeFaults
}

// nodeFaults are injected into a node; the rates are parts of rateBase.
type nodeFaults struct {
	errorRate      int // of attempts that fail with an error
	answerLossRate int // of attempts whose answer is lost
	rejectRate     int // of attempts that are rejected
	lateAnswerRate int // of attempts whose end is sent before their answer
	hung           bool
}

// attempt is a placement attempt at a node.
type attempt struct {
	scheduler  string
	conn       *peerConn
	receivedAt float64 // true time in ms
	running    bool
	answered   bool   // that it runs
	sentUpTo   uint64 // bytes sent on the connection, the answer included
	number     uint8
}

// describe is what the node says of a task that it runs; schedulers have to hand it on as it is.
func (n *node) describe(id uint64) string { return fmt.Sprintf("%s holds %x\x00\xff", n.name, id) }

// hostName is the name of the node's host.
func (n *node) hostName() string { return "p-" + n.name }

// addNode starts a node. One that is not cold belongs to the initial list.
func (sm *simulation) addNode(name, address string, cold bool) {
	n := &node{
		sim: sm, id: uint32(len(sm.nodes) + 1), name: name, address: address, cell: len(sm.nodes) % cellCount,
		zone: zoneNames[len(sm.nodes)%len(zoneNames)], status: statusReady,
	}
	if cold {
		n.startedAt = math.Ceil(sm.unixTime()) // the list has whole ms, and a node is no warmer than it says
	}
	n.process = sm.clock.NewHost(n.hostName())
	sm.nodes = append(sm.nodes, n)
	sm.rules.Nodes[n.id] = audit.Location{Zone: n.zone, Cell: fmt.Sprint(n.zone, n.cell)}
	n.start(cold)
	if cold {
		sm.announce(n)
	} else {
		sm.listChanges = append(sm.listChanges, listChange{n.name, n.address, n.zone, n.status, n.cell, 0})
	}
}

// unixTime is the true time in Unix ms.
func (sm *simulation) unixTime() float64 {
	return sm.clock.UnixTime()
}

// start starts an incarnation of the node, without tasks and faults.
func (n *node) start(cold bool) {
	n.tasks, n.arriving, n.conns, n.unsentEnds = map[uint64]*attempt{}, map[uint64]*peerConn{}, nil, nil
	n.clearFaults()
	detail := ""
	n.coldSince, n.arrivals = 0, nil
	if cold {
		detail, n.coldSince = audit.StartedCold, n.sim.clock.TrueTime()
	}
	n.sim.record(audit.Record{Kind: audit.NodeStarted, Node: n.id, Detail: detail})
	if _, err := n.process.Listen(n.address, n.accept); err != nil {
		n.sim.fail(err.Error())
	}
}

// crash ends the node with all that it holds.
func (n *node) crash(powerLoss bool) {
	n.process.Kill(powerLoss)
	for id, att := range n.tasks {
		n.conclude(id, att, "cut")
	}
	n.tasks = map[uint64]*attempt{}
}

func (n *node) accept(c env.Conn) {
	pc := &peerConn{conn: c}
	pc.onMessage = func(msg []byte) { n.onMessage(pc, msg) }
	pc.onClose = func(error) { n.onClose(pc) }
	n.conns = append(n.conns, pc)
	c.Start(pc, peerWriteTimeout)
	ends := n.unsentEnds
	n.unsentEnds = nil
	for _, id := range ends {
		n.sendEnd(id, codec.CauseNormal, "")
	}
}

// onClose gives up the attempts of a connection whose answers have not reached the scheduler, those that were read a moment ago included; one
// that runs goes on all the same.
func (n *node) onClose(pc *peerConn) {
	n.conns = slices.DeleteFunc(n.conns, func(other *peerConn) bool { return other == pc })
	maps.DeleteFunc(n.arriving, func(_ uint64, from *peerConn) bool { return from == pc })
	for id, att := range n.tasks {
		if att.conn != pc || att.answered && pc.delivered() >= att.sentUpTo {
			continue
		}
		n.conclude(id, att, "cut")
		if !att.running {
			delete(n.tasks, id)
		}
	}
}

func (n *node) conclude(id uint64, att *attempt, outcome string) {
	n.sim.record(audit.Record{Kind: audit.AttemptConcluded, Scheduler: att.scheduler, Node: n.id, Ticket: id, Attempt: att.number, Detail: outcome})
}

// onMessage takes a message of a scheduler.
func (n *node) onMessage(pc *peerConn, msg []byte) {
	id := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp: // one that was withdrawn on its way, as behind a cut, arrives with its end
		n.arriving[id] = pc
		n.process.After(arrivalDelay, func() {
			if n.arriving[id] == pc {
				delete(n.arriving, id)
				n.onPlacement(pc, id, msg)
			}
		})
	case codec.KindEnd:
		n.onEnd(pc, id)
	case codec.KindHealthCheck:
		if !n.hung {
			pc.send(message(codec.KindHealthCheckResult, id, param{codec.ParamCause, "\x01"}, param{codec.ParamReport, n.report()}))
		}
	}
}

// onEnd ends a task for its scheduler.
func (n *node) onEnd(pc *peerConn, id uint64) {
	delete(n.arriving, id)
	att := n.tasks[id]
	if att == nil {
		return
	}
	n.conclude(id, att, "ended")
	delete(n.tasks, id)
	if att.running {
		pc.send(codec.AppendEnd(nil, id, codec.CauseElsewhere))
	}
}

// report is the load report: free cores and memory.
func (n *node) report() string {
	return fmt.Sprintf("x0:%d;x1:%d", nodeCores-len(n.tasks), nodeMemory-taskMemory*len(n.tasks))
}

// onPlacement takes an attempt, or rejects it.
func (n *node) onPlacement(pc *peerConn, id uint64, msg []byte) {
	sm := n.sim
	t := sm.tasks[id]
	if t == nil {
		sm.fail(fmt.Sprintf("a set-up %x that no owner sent", id))
		return
	}
	timeLeft, _ := codec.Number(msg, codec.ParamTimeLeft)
	sm.result.Starts++
	att := &attempt{scheduler: t.scheduler.name, conn: pc, receivedAt: sm.clock.TrueTime(), number: t.attempts}
	t.attempts++
	n.countArrival(att.receivedAt)
	sm.record(audit.Record{
		Kind: audit.PlacementReceived, Scheduler: att.scheduler, Node: n.id, Ticket: id, Attempt: att.number, Job: t.job, Token: t.key,
		Service: t.service, Deadline: att.receivedAt + timeLeft, SentAt: t.sentAt[n.address],
	})
	if sm.rng.IntN(rateBase) < n.rejectRate || len(n.tasks) >= maxTasks || n.tasks[id] != nil {
		n.conclude(id, att, audit.OutcomeRefused)
		pc.send(message(codec.KindEnd, id, param{codec.ParamCause, string(byte(codec.CauseFull))}, param{codec.ParamReason, "no_cores"},
			param{codec.ParamReport, n.report()}))
		return
	}
	n.tasks[id] = att
	if n.hung {
		return
	}
	n.process.After(minStartTime+startTimeRange*sm.rng.Float64(), func() {
		if n.tasks[id] == att {
			n.runTask(t, att)
		}
	})
	n.process.After(minTaskRuntime+float64(maxTaskRuntime-minTaskRuntime)*sm.rng.Float64(), func() {
		if n.tasks[id] == att {
			n.conclude(id, att, "ended")
			delete(n.tasks, id)
			n.sendEnd(id, codec.CauseNormal, "")
			sm.expectEnd(t, n, pc)
		}
	})
}

// countArrival checks what arrives at a node that warms up, also what waited on a link that was cut: not more than its limit and what may come
// together by chance.
func (n *node) countArrival(now float64) {
	if n.coldSince == 0 || now > n.coldSince+slowStartDuration {
		return
	}
	n.arrivals = slices.DeleteFunc(n.arrivals, func(at float64) bool { return at <= now-slowStartWindow })
	n.arrivals = append(n.arrivals, now)
	if float64(len(n.arrivals)) > slowStartLimit+2*math.Sqrt(slowStartLimit)+2 {
		n.sim.record(audit.Record{Kind: audit.NodeOverloaded, Node: n.id})
	}
}

// runTask starts a task and answers, but for the node's faults.
func (n *node) runTask(t *task, att *attempt) {
	sm := n.sim
	sm.record(audit.Record{Kind: audit.TaskStarted, Scheduler: att.scheduler, Node: n.id, Ticket: t.id, Attempt: att.number})
	if sm.rng.IntN(rateBase) < n.errorRate {
		n.conclude(t.id, att, "error")
		delete(n.tasks, t.id)
		att.conn.send(codec.AppendEnd(nil, t.id, codec.CauseErrored))
		return
	}
	att.running = true
	if sm.rng.IntN(rateBase) < n.answerLossRate {
		return
	}
	if n.lateAnswerRate > 0 && sm.rng.IntN(rateBase) < n.lateAnswerRate {
		n.answerAfterEnd(t, att)
		return
	}
	att.answered = true
	sm.record(audit.Record{Kind: audit.StartConfirmed, Scheduler: att.scheduler, Node: n.id, Ticket: t.id, Attempt: att.number})
	att.sentUpTo = att.conn.send(codec.AppendAnswer(nil, t.id, []byte(n.describe(t.id))))
}

// sendEnd sends the end of a task on all connections, and on the next that is made: other schedulers know of no such task.
func (n *node) sendEnd(id uint64, cause byte, reason string) {
	params := []param{{codec.ParamCause, string(cause)}, {codec.ParamReport, n.report()}}
	if reason != "" {
		params = append(params, param{codec.ParamReason, reason})
	}
	msg := message(codec.KindEnd, id, params...)
	for _, pc := range n.conns {
		pc.send(msg)
	}
	n.unsentEnds = append(n.unsentEnds[max(0, len(n.unsentEnds)-maxUnsentEnds):], id)
}
