package platform

import (
	"math"

	"ravenpond/internal/env"
)

// Times in milliseconds.
const (
	tickInterval  = 100  // between two ticks of the parts
	statsInterval = 5000 // between two statistics lines
	minTurnWait   = 0.2  // between two turns
)

// turnLoop runs the scheduler's turns. Server.mu guards it.
type turnLoop struct {
	server   *Server
	loop     env.Loop
	nextTurn float64 // when the next turn is due
	lastTick float64
}

// start starts the loop. The first turn is due at once.
func (l *turnLoop) start() {
	l.nextTurn = l.server.env.Now()
	l.loop = l.server.env.StartLoop(l.turn)
}

// wake has the loop take a turn at once.
func (l *turnLoop) wake() {
	l.nextTurn = min(l.nextTurn, l.server.env.Now())
	l.loop.Wake()
}

// turn starts waiting requests, fires what is due in the host, and has the parts look after their connections. It returns the time until the
// next turn in ms.
func (l *turnLoop) turn() (wait float64) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	due := l.nextTurn
	l.nextTurn = math.Inf(1)
	s.host.SetTimeoutGrace(s.load.timeoutGrace(now))
	started := 0
	if now >= s.host.EarliestRound() { // else requests would wait in the host instead of the inbox
		started = s.requests.start(now, s.load.batchSize())
	}
	s.host.Round(now)
	if now >= l.lastTick+tickInterval {
		l.lastTick = now
		l.tick(now)
	}
	s.shutdown.step(now)
	next := min(s.host.NextRound(), l.lastTick+tickInterval)
	if s.requests.waiting() > 0 {
		next = min(next, s.host.EarliestRound())
	}
	ended := s.env.Now()
	s.load.onTurn(turnTimes{due: due, started: now, ended: ended}, started)
	wait = max(minTurnWait, next-ended)
	l.nextTurn = min(l.nextTurn, ended+wait)
	return wait
}

// tick does the regular work of the parts.
func (l *turnLoop) tick(now float64) {
	s := l.server
	s.endpoints.tick(now)
	for _, n := range s.nodes.sorted() {
		n.tick(now)
	}
	s.clients.tick(now)
	s.telemetry.tick(now)
}
