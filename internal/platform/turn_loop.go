package platform

import (
	"math"

	"ravenpond/internal/env"
)

// Times in milliseconds.
const (
	tickInterval  = 100  // between two ticks
	statsInterval = 5000 // between two statistics lines
	minTurnWait   = 0.2  // between two turns
)

// turnLoop is the scheduler's event loop. Each iteration is a turn, which calls Host.Round once; the host's rounds may be further apart than
// turns. Packages overload and admission call an iteration of an event loop a round. Server.mu guards it.
type turnLoop struct {
	server   *Server
	loop     env.Loop
	nextTurn float64 // when the next turn is due
	lastTick float64
}

// start starts the loop. The first turn is due immediately.
func (l *turnLoop) start() {
	l.nextTurn = l.server.env.Now()
	l.loop = l.server.env.StartLoop(l.turn)
}

// wake makes the next turn due immediately.
func (l *turnLoop) wake() {
	l.nextTurn = min(l.nextTurn, l.server.env.Now())
	l.loop.Wake()
}

// turn starts requests that wait in the inbox, runs a round of the host, ticks the parts when a tick is due, and takes the next steps of a
// shutdown. It returns the time until the next turn in ms. After a pause of the process the tick waits, as the host does: it would close connections
// as silent on which unread messages lie.
func (l *turnLoop) turn() (wait float64) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	due := l.nextTurn
	l.nextTurn = math.Inf(1)
	s.host.SetTimeoutGrace(s.load.timeoutGrace(now))
	s.host.SetAnswerLead(s.load.answerLead(due, now))
	started := 0
	if now >= s.host.EarliestRound() { // before that, requests would only wait in the host instead of the inbox
		started = s.requests.start(now, s.load.batchSize())
	}
	s.host.Round(now)
	if now >= l.nextTick() {
		l.lastTick = now
		l.tick(now)
	}
	s.shutdown.step(now)
	next := min(s.host.NextRound(), l.nextTick())
	if s.requests.waiting() > 0 {
		next = min(next, s.host.EarliestRound())
	}
	ended := s.env.Now()
	s.load.onTurn(turnTimes{due: due, started: now, ended: ended}, started)
	wait = max(minTurnWait, next-ended)
	l.nextTurn = min(l.nextTurn, ended+wait)
	return wait
}

// nextTick returns when the next tick is due.
func (l *turnLoop) nextTick() float64 { return max(l.lastTick+tickInterval, l.server.host.ResumeAt()) }

// tick does the periodic work of the parts, such as closing stale connections.
func (l *turnLoop) tick(now float64) {
	s := l.server
	s.endpoints.tick(now)
	for _, n := range s.nodes.sorted() {
		n.tick(now)
	}
	s.clients.tick(now)
	s.telemetry.tick(now)
}
