package host

import "ravenpond/logic"

// pendingProbe is a health check whose result has not arrived.
type pendingProbe struct {
	seq    uint32
	sentAt float64
}

// sendProbe sends a health check to a node. It replaces a pending one to the same node.
func (h *Host) sendProbe(node uint32) {
	h.lastID++
	p := pendingProbe{seq: h.lastID, sentAt: h.now}
	h.probes[node] = p
	h.timers.Set(h.now+h.probeTimeout, timerProbe, probeKey(node, p.seq))
	h.effects.Probe(node, p.seq)
}

// OnProbeResult handles the result of a health check. The result of one that has timed out or was replaced is ignored.
func (h *Host) OnProbeResult(now float64, node, seq uint32, verdict logic.Outcome, report []float64) {
	p, ok := h.probes[node]
	if !ok || p.seq != seq {
		return
	}
	h.recordEvent(now)
	delete(h.probes, node)
	h.recordEstimateError(node, report)
	h.callModule(func(m *logic.Scheduler) {
		m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: verdict, Duration: h.now - p.sentAt, Report: report})
	})
}

func (h *Host) onProbeTimeout(node, seq uint32) {
	p, ok := h.probes[node]
	if !ok || p.seq != seq {
		return
	}
	delete(h.probes, node)
	h.callModule(func(m *logic.Scheduler) {
		m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: logic.TimedOut, Duration: h.now - p.sentAt})
	})
}
