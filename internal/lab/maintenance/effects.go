package maintenance

import (
	"strconv"

	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

// effects carries out the decisions of a process's engine and of its maintenance controller. Messages to nodes are encoded, delayed as on a
// network, and decoded at the node.
type effects struct{ process *process }

// send sends an encoded message to a node. The message is lost if the node is lost or the process restarted before it arrives.
func (h effects) send(nd uint32, b []byte) {
	s, incarnation := h.process.sim.nodes[nd-1], h.process.incarnation
	h.process.sim.sendDelayed(func() {
		if !s.lost && h.process.incarnation == incarnation {
			s.receive(h.process, b)
		}
	})
}

func (h effects) Dial(nd uint32, _ string) {
	p, s, incarnation := h.process, h.process.sim.nodes[nd-1], h.process.incarnation
	p.sim.sendDelayed(func() {
		if p.down || p.incarnation != incarnation {
			return
		}
		if s.lost {
			p.engine.OnDialFailed(p.clock(), nd)
			return
		}
		p.engine.OnConnected(p.clock(), nd, s.incarnation, 0)
		var b []byte
		for _, held := range s.machine.Held(p.sim.now, p.name()) {
			b = held.Append(b)
		}
		p.receive(s, node.AppendHeldAll(b))
	})
}

func (h effects) Disconnect(uint32, string) {}

func (h effects) Offer(nd uint32, o engine.Offer) {
	h.process.sim.report.Offers++
	h.process.sim.tracef("offer %d %x.%d to %d", h.process.index, o.Attempt.Ticket, o.Attempt.Number, nd)
	h.send(nd, node.AppendOffer(nil, node.Offer{
		Attempt: node.AttemptID(o.Attempt), Epoch: o.Epoch, SentAt: h.process.clock(), Timeout: o.Timeout, Task: node.Task(o.Task),
	}))
}

func (h effects) Recall(nd uint32, attempt engine.AttemptID) {
	if h.process.sim.Fault != NoRecall {
		h.send(nd, node.AppendRecall(nil, node.AttemptID(attempt)))
	}
}

func (h effects) Stop(nd uint32, attempt engine.AttemptID) {
	h.send(nd, node.AppendStop(nil, node.AttemptID(attempt)))
}

func (h effects) Claim(nd uint32, attempt engine.AttemptID) {
	h.send(nd, node.AppendClaim(nil, node.AttemptID(attempt)))
}

func (h effects) Probe(nd uint32, seq uint64) { h.send(nd, node.AppendProbe(nil, seq)) }

func (h effects) WatchList(bool) {}

func (h effects) ReloadList() {}

func (h effects) PermitAttempt(engine.OwnedTask, uint32, engine.AttemptID) bool {
	return true
}

func (h effects) ExpireRequest(engine.RequestID) {}

func (h effects) SetClient(engine.OwnedTask, engine.RequestID) {}

func (h effects) RecordOutcome(engine.OwnedTask, bool) {}

func (h effects) RecoverTask(engine.RunningTask) (engine.RecoveredTask, bool) {
	return engine.RecoveredTask{Epoch: 1}, true
}

func (h effects) ReleaseTask(engine.OwnedTask, uint64) {}

func (h effects) PermitAnswer(engine.OwnedTask, bool) bool { return true }

func (h effects) Answer(request engine.RequestID, a engine.Answer) {
	h.process.sim.tracef("answer %d %d %s", h.process.index, request.Number, a.Kind)
}

func (h effects) NotifyEnd(engine.RequestID, logic.Outcome, logic.Reason) {}

func (h effects) Log(l string) { h.process.sim.tracef("%d %s", h.process.index, l) }

// SetDraining implements maintenance.Executor, as do CountRunning, Evict and Log.
func (h effects) SetDraining(nodes []string, draining bool) {
	var ids []uint32
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		ids = append(ids, uint32(id))
		if delete(h.process.draining, uint32(id)); draining {
			h.process.draining[uint32(id)] = true
		}
	}
	h.process.engine.SetMaintenance(h.process.clock(), ids, draining)
}

func (h effects) CountRunning(nodes []string) (byJob []int, fleet int) {
	byJob = make([]int, jobClasses)
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		h.process.engine.CountRunning(uint32(id), byJob)
	}
	return byJob, h.process.engine.Stats().Allocations
}

func (h effects) Evict(nodes []string, job, limit int) (n int) {
	selected := make([]bool, jobClasses)
	selected[job] = true
	for _, name := range nodes {
		id, _ := strconv.Atoi(name)
		n += h.process.engine.MigrateFrom(h.process.clock(), uint32(id), selected, limit-n)
	}
	h.process.evicted += n
	return n
}
