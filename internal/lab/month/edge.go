package month

import (
	"strconv"

	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

// hand is a process's edge and its keeper's hands. What it sends is encoded, travels, and is decoded at the node.
type hand struct{ p *proc }

// send carries a line to a node.
func (h hand) send(nd uint32, b []byte) {
	s, life := h.p.w.nodes[nd-1], h.p.life
	h.p.w.wire(func() {
		if !s.lost && h.p.life == life {
			s.hear(h.p, b)
		}
	})
}

func (h hand) Dial(nd uint32, _ string) {
	p, s, life := h.p, h.p.w.nodes[nd-1], h.p.life
	p.w.wire(func() {
		if p.down || p.life != life {
			return
		}
		if s.lost {
			p.eng.OnDialFailed(p.clock(), nd, "refused")
			return
		}
		p.eng.OnConnected(p.clock(), nd, s.life, 0)
		var b []byte
		s.m.EachHeld(p.w.now, p.name(), func(ticket uint64, try uint8, runs bool, job, tenant int, service, token uint64, cores, memory float64) {
			state := 0
			if runs {
				state = 1
			}
			b = node.AppendHeld(b, ticket, try, state, job, tenant, service, token, cores, memory)
		})
		p.hear(s, node.AppendHeldAll(b))
	})
}

func (h hand) Disconnect(uint32, string) {}

func (h hand) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int, service, token uint64,
	cores, memory float64,
) {
	h.p.w.rep.Offers++
	h.p.w.note("offer %d %x.%d to %d", h.p.index, ticket, try, nd)
	h.send(nd, node.AppendOffer(nil, ticket, try, epoch, h.p.clock(), timeout, jobType, tenant, service, token, cores, memory))
}

func (h hand) Recall(nd uint32, ticket uint64, try uint8) {
	if h.p.w.Plant != NoRecall {
		h.send(nd, node.AppendRecall(nil, ticket, try))
	}
}

func (h hand) Stop(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendStop(nil, ticket, try))
}

func (h hand) Claim(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendClaim(nil, ticket, try))
}

func (h hand) Probe(nd uint32, seq uint64) { h.send(nd, node.AppendProbe(nil, seq)) }

func (h hand) WatchList(bool) {}

func (h hand) ReloadList() {}

func (h hand) PermitAttempt(int, uint64, uint32, uint32, uint64, uint8) bool {
	return true
}

func (h hand) ExpireRequest(uint32, uint64) {}

func (h hand) SetClient(int, uint64, uint32, uint32, uint64) {}

func (h hand) RecordOutcome(int, uint64, uint32, bool) {}

func (h hand) RecoverTask(int, uint64, int, uint64, float64, float64, uint32, uint64, uint8) (uint32, uint32, uint64, bool) {
	return 1, 0, 0, true
}

func (h hand) ReleaseTask(int, uint64, uint64, uint32) {}

func (h hand) PermitAnswer(int, uint64, uint32, bool) bool { return true }

func (h hand) Answer(_ uint32, ref uint64, a engine.Answer, _ uint32, _ string, _ float64) {
	h.p.w.note("answer %d %d %s", h.p.index, ref, a)
}

func (h hand) NotifyEnd(uint32, uint64, logic.Outcome, logic.Reason) {}

func (h hand) Log(l string) { h.p.w.note("%d %s", h.p.index, l) }

// SetDraining and the others are the keeper's hands.
func (h hand) SetDraining(nodes []string, out bool) {
	var ids []uint32
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		ids = append(ids, uint32(id))
		if delete(h.p.out, uint32(id)); out {
			h.p.out[uint32(id)] = true
		}
	}
	h.p.eng.SetMaintenance(h.p.clock(), ids, out)
}

func (h hand) CountRunning(nodes []string) (there []int, all int) {
	there = make([]int, jobs)
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		h.p.eng.CountRunning(uint32(id), there)
	}
	return there, h.p.eng.Stats().Held
}

func (h hand) Evict(nodes []string, job, most int) (n int) {
	may := make([]bool, jobs)
	may[job] = true
	for _, name := range nodes {
		id, _ := strconv.Atoi(name)
		n += h.p.eng.MigrateFrom(h.p.clock(), uint32(id), may, most-n)
	}
	h.p.moved += n
	return n
}
