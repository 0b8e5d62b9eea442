package platform

import (
	"math"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/overload"
)

// loadMonitor measures how far the process lags behind its events, and how long it takes to place a request. Server.mu guards it.
type loadMonitor struct {
	server     *Server
	delay      overload.Monitor
	gate       admission.Gate
	inboxSince float64 // the end of the last turn if it left requests in the inbox, else 0
}

// newLoadMonitor returns a monitor that bounds the wait of requests by the lowest latency objective of the job classes.
func newLoadMonitor(s *Server) loadMonitor {
	minObjective := math.Inf(1)
	for i := range s.settings.Cluster.JobClasses {
		minObjective = min(minObjective, s.settings.Cluster.JobClasses[i].LatencyObjective)
	}
	return loadMonitor{server: s, gate: admission.NewGate(minObjective)}
}

// timeoutGrace returns by how much time-outs are postponed, in ms, as answers may have been received and not yet read.
func (m *loadMonitor) timeoutGrace(now float64) float64 { return m.delay.TimeoutGrace(now) }

// answerLead returns by how many ms before their deadlines requests have to be answered in a turn that was due at a time, as what is decided in
// the next one may leave that much later.
func (m *loadMonitor) answerLead(due, now float64) float64 { return m.delay.AnswerLead(due, now) }

// remainingTime returns how much of a client's time is left, in ms, less the time that its request has waited to be read.
func (m *loadMonitor) remainingTime(now, left float64) float64 {
	return m.delay.RemainingTime(now, left)
}

// batchSize returns how many requests a turn may start.
func (m *loadMonitor) batchSize() int { return overload.BatchSize(m.gate.CostPerRequest()) }

// admit reports whether a new request can be answered in time.
func (m *loadMonitor) admit(now float64) bool {
	return m.gate.Admit(now, m.delay.Delay(now), m.server.requests.waiting())
}

// turnTimes holds the times at which a turn was due, started and ended.
type turnTimes struct{ due, started, ended float64 }

// onTurn records the times of a turn and the number of requests that it started.
func (m *loadMonitor) onTurn(t turnTimes, requests int) {
	s := m.server
	wasOverloaded := m.gate.IsOverloaded()
	m.delay.OnRound(t.due, t.started, t.ended)
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
			Float64("ask_ms", math.Round(m.gate.CostPerRequest()*100)/100).Msg("overloaded; rejecting requests that can't be answered in time")
	}
}
