package sim

import (
	"fmt"
	"strconv"
	"strings"

	"ravenpond/internal/engine"

	"ravenpond/internal/standin"
)

// resumeTime is how long after a pause a scheduler reads what arrived during it, ms.
const resumeTime = 1000

// checkInvariants checks the program's own invariants, and tenants' limits.
func (e *environment) checkInvariants() {
	if e.simulation.CountViolations {
		return
	}
	e.checkTenantLimits()
	for _, s := range e.schedulers {
		if s.server == nil || s.process.dead || s.process.paused || e.clock.now < s.process.resumedAt+resumeTime {
			continue
		}
		if err := s.server.CheckInvariants(); err != nil && e.clock.now > s.process.startedAt+1 {
			e.fail(0, fmt.Sprintf("scheduler %s: %v", s.name, err))
		}
	}
}

// checkFinalState checks, when all has settled, that each request was answered, and that nodes hold no attempt that its scheduler does not
// know.
func (e *environment) checkFinalState() {
	if violations := e.auditor.Finish(); len(violations) > 0 {
		e.fail(int(violations[0].Rule), violations[0].String())
	}
	for _, n := range e.nodes {
		if n.Lost || n.Machine.Hung {
			continue
		}
		for _, s := range e.schedulers {
			for _, name := range s.shardNames() {
				if n.IsConnected(name) {
					e.checkHeld(n, s, name)
				}
			}
		}
	}
}

// checkHeld checks that a scheduler knows what a node holds for one of its names.
func (e *environment) checkHeld(n *standin.Node, s *scheduler, name string) {
	for _, held := range n.Machine.Held(e.clock.now, name) {
		if !s.process.dead && !s.server.KnowsAttempt(engine.AttemptID{Ticket: held.ID.Ticket, Number: held.ID.Attempt}) {
			e.fail(0, fmt.Sprintf("node %d holds try %x.%d of %x for %s, which does not know it", n.ID, held.ID.Ticket, held.ID.Attempt, held.Token, name))
		}
	}
}

// connections returns the connections between two hosts, as the first has them.
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

// node returns the node of a name in a script, nil if it is no node's.
func (e *environment) node(name string) *standin.Node {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 1 || i > len(e.nodes) {
		return nil
	}
	return e.nodes[i-1]
}
