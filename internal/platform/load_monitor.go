package platform

import (
	"math"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/overload"
)

// loadMonitor measures how far the process is behind its events, and what a request costs. Server.mu guards it.
type loadMonitor struct {
	server     *Server
	delay      overload.Monitor
	gate       admission.Gate
	inboxSince float64 // since when requests have been waiting in the inbox, 0: it was empty after the last turn
}

// newLoadMonitor bounds the wait of requests by the least latency objective of the job classes.
func newLoadMonitor(s *Server) loadMonitor {
	minObjective := math.Inf(1)
	for i := range s.settings.Cluster.JobClasses {
		minObjective = min(minObjective, s.settings.Cluster.JobClasses[i].LatencyObjective)
	}
	return loadMonitor{server: s, gate: admission.NewGate(minObjective)}
}

// timeoutGrace returns how long time-outs are put off, in ms, as answers may lie unread.
func (m *loadMonitor) timeoutGrace(now float64) float64 { return m.delay.TimeoutGrace(now) }

// remainingTime returns how much of a client's time is left, in ms, after what its request has waited to be read.
func (m *loadMonitor) remainingTime(now, left float64) float64 {
	return m.delay.RemainingTime(now, left)
}

// batchSize returns how many requests a turn may start.
func (m *loadMonitor) batchSize() int { return overload.BatchSize(m.gate.CostPerRequest()) }

// admit returns whether a new request can be answered in time.
func (m *loadMonitor) admit(now float64) bool {
	return m.gate.Admit(now, m.delay.Delay(now), m.server.requests.waiting())
}

// turnTimes says when a turn was due, and when it began and ended.
type turnTimes struct{ due, started, ended float64 }

// onTurn measures a turn that started so many requests.
func (m *loadMonitor) onTurn(t turnTimes, requests int) {
	s := m.server
	wasOverloaded := m.gate.IsOverloaded()
	m.delay.OnTurn(t.due, t.started, t.ended)
	delay := m.delay.Delay(t.ended)
	s.telemetry.recordDelay(delay)
	if requests > 0 {
		since := t.started
		if m.inboxSince > 0 {
			since = m.inboxSince
		}
		m.gate.OnRound(t.ended-since, requests)
	}
	waiting := s.requests.waiting()
	m.inboxSince = 0
	if waiting > 0 {
		m.inboxSince = t.ended
	}
	if !wasOverloaded && m.gate.IsOverloaded() {
		s.log.Info().Str("mode", "behind").Float64("ms", math.Round(delay)).Int("inbox", waiting).Int("open", s.host.OpenRequests()).
			Float64("ask_ms", math.Round(m.gate.CostPerRequest()*100)/100).Msg("takes only what it can do in time")
	}
}
