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

// Sizes and limits of nodes.
const (
	nodeCores     = 32
	nodeMemory    = 48
	taskMemory    = 2 // per task, which also takes 1 core
	maxTasks      = 28
	cellCount     = 3
	maxUnsentEnds = 2048 // ends that are sent on the next connection
	rateBase      = 10   // fault rates are per this many attempts
)

// fallBlame is the fraction of the attempts by schedulers that had been told of a node's start above which its fall breaks the rule.
const fallBlame = 2.0 / 3

// Times of nodes, in ms.
const (
	arrivalDelay   = 1 // from a request's arrival until the node takes it; a withdrawal that arrives with the request comes first
	minStartTime   = 5
	startTimeRange = 40
	minTaskRuntime = 200
	maxTaskRuntime = 6000
)

var zoneNames = []string{"east", "west"}

// node is a simulated node.
type node struct {
	sim           *simulation
	id            uint32
	name, address string
	zone          string
	cell          int
	status        string
	startedAt     float64   // Unix ms by the clock of its machine, 0 if long ago
	clockStep     float64   // by which that clock was stepped before the last start, in ms
	starts        []float64 // true times in ms at which its processes started
	process       host
	conns         []*peerConn
	tasks         map[uint64]*attempt
	arriving      map[uint64]*peerConn // requests that were read less than arrivalDelay ago, by task
	unsentEnds    []unsentEnd
	unlisted      bool      // the node list has not told of it yet
	vanished      bool      // its machine has vanished, which the node list does not show
	announcements int       // announcements of its status so far
	announcedAt   float64   // true time in ms of the last one
	coldSince     float64   // true time in ms at which it started cold, 0 if it did not
	arrivals      []arrival // the attempts in the last slow-start window
	nodeFaults
}

// arrival is an attempt that arrived at a node in slow start.
type arrival struct {
	at       float64 // true time in ms
	isListed bool    // the node list had told of the node's start
}

// unsentEnd is the end of a task that a node sends on the next connection of its scheduler.
type unsentEnd struct {
	task      uint64
	scheduler string
}

// nodeFaults are the faults injected into a node. The rates are per rateBase attempts.
type nodeFaults struct {
	errorRate      int  // attempts that fail with an error
	answerLossRate int  // attempts whose answer is lost
	rejectRate     int  // attempts that are rejected
	lateAnswerRate int  // attempts whose end is sent before their answer
	hung           bool // the node does not start the attempts that it accepts, and answers no tests
}

// attempt is a placement attempt at a node.
type attempt struct {
	scheduler  string
	conn       *peerConn
	receivedAt float64 // true time in ms
	running    bool
	clientEnds bool   // its client ends it, and it does not end by itself before
	answered   bool   // the node has answered that it runs
	sentUpTo   uint64 // bytes sent on the connection up to the end of the answer
	number     uint8
	unlisted   bool // it may have been sent before its scheduler was told of the node, to another one at the address
}

// isNew reports whether the node was not there from the beginning, and runs its first process.
func (n *node) isNew() bool { return n.startedAt > 0 && len(n.starts) == 1 }

// describe returns the node's description of a task that it runs. Schedulers have to pass it on unchanged.
func (n *node) describe(id uint64) string { return fmt.Sprintf("%s holds %x\x00\xff", n.name, id) }

// hostName returns the name of the node's host.
func (n *node) hostName() string { return "p-" + n.name }

// addNode adds and starts a node. A node that is not cold is in the initial list; a cold one is announced.
func (sm *simulation) addNode(name, address string, cold bool) {
	n := sm.newNode(name, address)
	if cold {
		n.startedAt = math.Ceil(sm.unixTime()) // rounded up: the list has whole ms, and a node must not be announced as warmer than it is
	}
	n.start(cold)
	if cold {
		sm.announce(n)
	} else {
		sm.listChanges = append(sm.listChanges, listChange{n.name, n.address, n.zone, n.status, n.cell, 0})
	}
}

// newNode adds a node that has not started yet.
func (sm *simulation) newNode(name, address string) *node {
	n := &node{
		sim: sm, id: uint32(len(sm.nodes) + 1), name: name, address: address, cell: len(sm.nodes) % cellCount,
		zone: zoneNames[len(sm.nodes)%len(zoneNames)], status: statusReady,
	}
	n.process = sm.clock.NewHost(n.hostName())
	sm.nodes = append(sm.nodes, n)
	sm.rules.Nodes[n.id] = audit.Location{Zone: n.zone, Cell: fmt.Sprint(n.zone, n.cell)}
	return n
}

// unixTime returns the true time in Unix ms.
func (sm *simulation) unixTime() float64 {
	return sm.clock.UnixTime()
}

// isInService reports whether the node is up, and ready according to the node list.
func (n *node) isInService() bool { return n.status == statusReady && !n.vanished && !n.unlisted }

// start starts an incarnation of the node, without tasks and without injected faults.
func (n *node) start(cold bool) {
	n.tasks, n.arriving, n.conns, n.unsentEnds = map[uint64]*attempt{}, map[uint64]*peerConn{}, nil, nil
	n.clearFaults()
	n.starts = append(n.starts, n.sim.clock.TrueTime())
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

// crash ends the node and all its tasks.
func (n *node) crash(powerLoss bool) {
	n.process.Kill(powerLoss)
	n.cutTasks()
}

// cutTasks ends all tasks without a message.
func (n *node) cutTasks() {
	for _, id := range slices.Sorted(maps.Keys(n.tasks)) {
		n.conclude(id, n.tasks[id], "cut")
		n.sim.expectRelease(n.sim.tasks[id], n)
	}
	n.tasks = map[uint64]*attempt{}
}

// accept starts a scheduler's connection and sends the unsent ends of tasks on it.
func (n *node) accept(c env.Conn) {
	pc := &peerConn{conn: c}
	pc.onMessage = func(msg []byte) { n.onMessage(pc, msg) }
	pc.onClose = func(error) { n.onClose(pc) }
	n.conns = append(n.conns, pc)
	c.Start(pc, peerWriteTimeout)
	n.sendUnsentEnds(pc)
}

// sendUnsentEnds sends the ends of the tasks of a connection's scheduler that were not sent on a new connection yet. Where the scheduler of a
// connection is unknown, all ends are sent, on all connections.
func (n *node) sendUnsentEnds(pc *peerConn) {
	peer := pc.peerName()
	ends := n.unsentEnds
	n.unsentEnds = nil
	for _, end := range ends {
		switch {
		case peer == "" || n.sim.overload != nil:
			n.sendEnd(end, codec.CauseNormal, "")
		case peer == end.scheduler:
			n.sim.recordReport(end, pc, pc.send(n.endMessage(end.task, codec.CauseNormal, "")))
		default:
			n.unsentEnds = append(n.unsentEnds, end)
		}
	}
}

// onClose drops the connection's requests that the node has not taken yet, and concludes the attempts whose answers have not reached the
// scheduler. Attempts that run are concluded too, but keep running.
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

// conclude records the outcome of an attempt.
func (n *node) conclude(id uint64, att *attempt, outcome string) {
	n.sim.record(audit.Record{Kind: audit.AttemptConcluded, Scheduler: att.scheduler, Node: n.id, Ticket: id, Attempt: att.number, Detail: outcome})
}

// onMessage handles a message from a scheduler.
func (n *node) onMessage(pc *peerConn, msg []byte) {
	id := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp: // a request that a cut link delayed may arrive together with its withdrawal
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

// onEnd ends a task at its scheduler's request.
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

// report returns the load report: free cores and free memory.
func (n *node) report() string {
	return fmt.Sprintf("x0:%d;x1:%d", nodeCores-len(n.tasks), nodeMemory-taskMemory*len(n.tasks))
}

// onPlacement accepts or rejects an attempt.
func (n *node) onPlacement(pc *peerConn, id uint64, msg []byte) {
	sm := n.sim
	t := sm.tasks[id]
	if t == nil {
		sm.fail(fmt.Sprintf("a request for task %x arrived that no client sent", id))
		return
	}
	timeLeft, _ := codec.Number(msg, codec.ParamTimeLeft)
	sm.result.Starts++
	att := &attempt{scheduler: t.scheduler.name, conn: pc, receivedAt: sm.clock.TrueTime(), number: t.attempts}
	att.unlisted = n.isNew() && (n.unlisted || att.receivedAt < n.announcedAt+noticeLimit || t.scheduler.journal.isSilentSince(n.announcedAt))
	t.attempts++
	n.countArrival(t.scheduler, att.receivedAt)
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
		if n.tasks[id] == att && !att.clientEnds {
			n.conclude(id, att, "ended")
			delete(n.tasks, id)
			n.sendTaskEnd(att, unsentEnd{id, att.scheduler}, codec.CauseNormal, "")
			sm.expectEnd(t, n, pc)
			sm.expectRelease(t, n)
		}
	})
}

// countArrival checks that a node in slow start gets no more attempts per window than its limit and an allowance for random clustering. Attempts
// that a cut link delayed count too, but not those of a scheduler that could not be told of the start. A node that falls before a sufficient part of the
// attempts was sent with its start in the list stays down, and breaks no rule.
func (n *node) countArrival(s *scheduler, now float64) {
	if n.coldSince == 0 || now > n.coldSince+slowStartDuration || !n.unlisted && s.journal.isSilentSince(n.announcedAt) {
		return
	}
	n.arrivals = slices.DeleteFunc(n.arrivals, func(a arrival) bool { return a.at <= now-slowStartWindow })
	n.arrivals = append(n.arrivals, arrival{now, !n.unlisted})
	if float64(len(n.arrivals)) <= slowStartLimit+2*math.Sqrt(slowStartLimit)+2 {
		return
	}
	listed := 0
	for _, a := range n.arrivals {
		if a.isListed {
			listed++
		}
	}
	if float64(listed) > fallBlame*float64(len(n.arrivals)) {
		n.sim.record(audit.Record{Kind: audit.NodeOverloaded, Node: n.id})
	}
	n.coldSince = 0
}

// runTask starts a task and sends the answer, unless an injected fault prevents it.
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

// sendTaskEnd sends the end of a task. Under overload, and where the scheduler of a connection is unknown, it is sent on all connections.
func (n *node) sendTaskEnd(att *attempt, end unsentEnd, cause byte, reason string) {
	if n.sim.overload != nil || att.conn.peerName() == "" {
		n.sendEnd(end, cause, reason)
		return
	}
	n.reportEnd(att, end, cause, reason)
}

// sendEnd sends the end of a task on all connections and on the next new one. Schedulers that do not know the task ignore it.
func (n *node) sendEnd(end unsentEnd, cause byte, reason string) {
	msg := n.endMessage(end.task, cause, reason)
	for _, pc := range n.conns {
		n.sim.recordReport(end, pc, pc.send(msg))
	}
	n.unsentEnds = append(n.unsentEnds[max(0, len(n.unsentEnds)-maxUnsentEnds):], end)
}

// endMessage encodes the end of a task.
func (n *node) endMessage(id uint64, cause byte, reason string) []byte {
	params := []param{{codec.ParamCause, string(cause)}, {codec.ParamReport, n.report()}}
	if reason != "" {
		params = append(params, param{codec.ParamReason, reason})
	}
	return message(codec.KindEnd, id, params...)
}
