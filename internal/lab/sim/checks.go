package sim

import (
	"fmt"
	"strconv"
	"strings"

	"ravenpond/internal/engine"

	"ravenpond/internal/standin"
)

// resumeGrace is the time in ms after a pause in which a scheduler reads the messages that arrived during it.
const resumeGrace = 1000

// checkInvariants checks the invariants of the program's own state and the limits of tenants.
func (e *environment) checkInvariants() {
	if e.simulation.CountViolations {
		return
	}
	e.checkTenantLimits()
	for _, s := range e.schedulers {
		if s.server == nil || s.process.dead || s.process.paused || e.clock.now < s.process.resumedAt+resumeGrace {
			continue
		}
		if err := s.server.CheckInvariants(); err != nil && e.clock.now > s.process.startedAt+1 {
			e.fail(0, fmt.Sprintf("scheduler %s: %v", s.name, err))
		}
	}
}

// checkFinalState runs after the settle time. It checks that each request was answered and that no node holds an attempt that its scheduler
// does not know.
func (e *environment) checkFinalState() {
	if violations := e.auditor.Finish(); len(violations) > 0 {
		e.fail(int(violations[0].Rule), violations[0].String())
	}
	for _, s := range e.schedulers {
		e.checkLostTasks(s)
	}
	for _, n := range e.nodes {
		if n.Gone || n.Machine.Hung {
			continue
		}
		for _, s := range e.schedulers {
			for _, name := range s.shardNames() {
				if n.IsConnected(name) {
					e.checkHeldAttempts(n, s, name)
				}
			}
		}
	}
}

// checkLostTasks checks that a scheduler holds no allocation that its nodes do not have, as after a restart of both: it would be held for good.
func (e *environment) checkLostTasks(s *scheduler) {
	if s.process.dead || s.process.paused || s.server == nil {
		return
	}
	atNodes := 0
	for _, n := range e.nodes {
		for _, name := range s.shardNames() {
			atNodes += len(n.Machine.Held(e.clock.now, name))
		}
	}
	if held := s.server.HeldAllocations(); held > atNodes {
		e.fail(0, fmt.Sprintf("scheduler %s holds %d allocations, nodes have %d of them", s.name, held, atNodes))
	}
}

// checkHeldAttempts checks that a scheduler knows each attempt that a node holds under one of the scheduler's names.
func (e *environment) checkHeldAttempts(n *standin.Node, s *scheduler, name string) {
	for _, held := range n.Machine.Held(e.clock.now, name) {
		if !s.process.dead && !s.server.KnowsAttempt(engine.AttemptID{Ticket: held.ID.Ticket, Number: held.ID.Attempt}) {
			e.fail(0, fmt.Sprintf("node %d holds attempt %x.%d of task %x for scheduler %s, which does not know it", n.ID, held.ID.Ticket, held.ID.Attempt, held.Token, name))
		}
	}
}

// connections returns the first host's ends of its connections to the second.
func (e *environment) connections(a, b string) (conns []*conn) {
	if p := e.hosts[a]; p != nil {
		for _, c := range p.conns {
			if c.remote.process.Name == b {
				conns = append(conns, c)
			}
		}
	}
	return conns
}

// node returns the node that a script calls by this name, or nil if the name is not that of a node.
func (e *environment) node(name string) *standin.Node {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 1 || i > len(e.nodes) {
		return nil
	}
	return e.nodes[i-1]
}
