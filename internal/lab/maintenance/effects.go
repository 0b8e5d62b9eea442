package maintenance

import (
	"strconv"

	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

// effects is a process's edge and its keeper's hands. What it sends is encoded, travels, and is decoded at the node.
type effects struct{ process *process }

// send carries a line to a node.
func (h effects) send(nd uint32, b []byte) {
	s, life := h.process.sim.nodes[nd-1], h.process.incarnation
	h.process.sim.sendDelayed(func() {
		if !s.lost && h.process.incarnation == life {
			s.receive(h.process, b)
		}
	})
}

func (h effects) Dial(nd uint32, _ string) {
	p, s, life := h.process, h.process.sim.nodes[nd-1], h.process.incarnation
	p.sim.sendDelayed(func() {
		if p.down || p.incarnation != life {
			return
		}
		if s.lost {
			p.engine.OnDialFailed(p.clock(), nd, "refused")
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

func (h effects) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int, service, token uint64,
	cores, memory float64,
) {
	h.process.sim.report.Offers++
	h.process.sim.tracef("offer %d %x.%d to %d", h.process.index, ticket, try, nd)
	h.send(nd, node.AppendOffer(nil, ticket, try, epoch, h.process.clock(), timeout, jobType, tenant, service, token, cores, memory))
}

func (h effects) Recall(nd uint32, ticket uint64, try uint8) {
	if h.process.sim.Fault != NoRecall {
		h.send(nd, node.AppendRecall(nil, ticket, try))
	}
}

func (h effects) Stop(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendStop(nil, ticket, try))
}

func (h effects) Claim(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendClaim(nil, ticket, try))
}

func (h effects) Probe(nd uint32, seq uint64) { h.send(nd, node.AppendProbe(nil, seq)) }

func (h effects) WatchList(bool) {}

func (h effects) ReloadList() {}

func (h effects) PermitAttempt(int, uint64, uint32, uint32, uint64, uint8) bool {
	return true
}

func (h effects) ExpireRequest(uint32, uint64) {}

func (h effects) SetClient(int, uint64, uint32, uint32, uint64) {}

func (h effects) RecordOutcome(int, uint64, uint32, bool) {}

func (h effects) RecoverTask(int, uint64, int, uint64, float64, float64, uint32, uint64, uint8) (uint32, uint32, uint64, bool) {
	return 1, 0, 0, true
}

func (h effects) ReleaseTask(int, uint64, uint64, uint32) {}

func (h effects) PermitAnswer(int, uint64, uint32, bool) bool { return true }

func (h effects) Answer(_ uint32, ref uint64, a engine.Answer, _ uint32, _ string, _ float64) {
	h.process.sim.tracef("answer %d %d %s", h.process.index, ref, a)
}

func (h effects) NotifyEnd(uint32, uint64, logic.Outcome, logic.Reason) {}

func (h effects) Log(l string) { h.process.sim.tracef("%d %s", h.process.index, l) }

// SetDraining and the others are the keeper's hands.
func (h effects) SetDraining(nodes []string, out bool) {
	var ids []uint32
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		ids = append(ids, uint32(id))
		if delete(h.process.out, uint32(id)); out {
			h.process.out[uint32(id)] = true
		}
	}
	h.process.engine.SetMaintenance(h.process.clock(), ids, out)
}

func (h effects) CountRunning(nodes []string) (there []int, all int) {
	there = make([]int, jobClasses)
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		h.process.engine.CountRunning(uint32(id), there)
	}
	return there, h.process.engine.Stats().Held
}

func (h effects) Evict(nodes []string, job, most int) (n int) {
	may := make([]bool, jobClasses)
	may[job] = true
	for _, name := range nodes {
		id, _ := strconv.Atoi(name)
		n += h.process.engine.MigrateFrom(h.process.clock(), uint32(id), may, most-n)
	}
	h.process.movedOff += n
	return n
}
