package engine

import (
	"math"

	"ravenpond/internal/decide/outcome"
)

// host carries out what the module decides.
type host struct{ e *Engine }

func (h host) Offer(id, nodeID uint32, timeout float64) {
	e := h.e
	p := e.at[id]
	a := &e.allocs[p]
	nd := e.nodeAt[nodeID]
	if a.tried {
		a.try++
	}
	a.tried = true
	a.sentAt, a.recalled, a.doubtAt = e.now, false, 0
	a.dueAt = min(e.now+timeout, a.expiry)
	e.stats.Offers++
	e.put(p, nd)
	if n := &e.nodes[nd]; n.ready {
		e.send(a, n)
		return
	}
	a.phase = held
	e.pacer.Want(e.now, nd)
	e.bells.Set(e.now+min(outcome.LinkFor(), timeout), dueLink, tryKey(id, a.try))
}

func (e *Engine) send(a *alloc, n *node) {
	a.phase = out
	if !e.edge.PermitAttempt(a.tenant, a.token, a.epoch, n.id, a.ticket, a.try) {
		a.phase = held // never sent, and no other try will be either
		e.unsend(a)
		return
	}
	e.bells.Set(a.dueAt, dueTry, tryKey(a.id, a.try))
	e.edge.Offer(n.id, a.ticket, a.try, a.epoch, a.dueAt-e.now, a.job, a.tenant, a.service, a.token, a.cores, a.memory)
}

func (h host) Decline(id uint32, holdOff float64) { h.e.final(id, Declined, holdOff) }

func (h host) Fail(id uint32) { h.e.final(id, Failed, 0) }

func (e *Engine) final(id uint32, answer Answer, holdOff float64) {
	p, ok := e.at[id]
	if !ok || e.allocs[p].answered {
		return
	}
	a := &e.allocs[p]
	e.answer(a, answer, 0, "", holdOff)
	late := a.late
	a.late = tryName{}
	if a.phase == waits {
		e.drop(p)
	}
	e.lapseLate(late)
}

func (h host) Recall(id uint32, try uint8) {
	e := h.e
	p, ok := e.at[id]
	if !ok || e.allocs[p].try != try {
		return
	}
	switch a := &e.allocs[p]; a.phase {
	case held:
		e.unsend(a)
	case out:
		if !a.recalled {
			e.recall(a)
		}
	}
}

func (h host) Move(id uint32) {
	if p, ok := h.e.at[id]; ok && h.e.allocs[p].phase == runs {
		h.e.stop(&h.e.allocs[p])
	}
}

func (h host) Probe(nodeID uint32) {
	e := h.e
	nd := e.nodeAt[nodeID]
	n := &e.nodes[nd]
	if n.probing {
		return
	}
	n.probing, n.sent, n.probeAt = true, n.ready, e.now
	n.probeSeq++
	e.bells.Set(e.now+outcome.ProbeFor(), dueProbe, uint64(uint32(n.probeSeq))<<32|uint64(uint32(nd)))
	if n.ready {
		e.edge.Probe(n.id, n.probeSeq)
	} else {
		e.pacer.Want(e.now, nd)
	}
}

func (h host) Follow(active bool) { h.e.edge.WatchList(active) }

func (h host) Reload() { h.e.edge.ReloadList() }

func (h host) Wake(delay float64, key uint64) {
	h.e.bells.Set(h.e.now+math.Max(0, delay), dueWake, key)
}

func (h host) Log(line string) { h.e.edge.Log(line) }
