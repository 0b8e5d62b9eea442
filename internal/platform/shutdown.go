package platform

import (
	"math"
	"slices"

	"ravenpond/internal/decide/shutdown"
)

// shutdownSequence goes through the steps of a planned shutdown. Server.mu guards it, but for done.
type shutdownSequence struct {
	server       *Server
	requested    bool
	requestedAt  float64
	plan         shutdown.Plan
	answered     bool          // all open requests have been answered
	disconnected bool          // clients have been disconnected
	exited       bool          // done is closed
	done         chan struct{} // closed at the end
}

func newShutdownSequence(s *Server) shutdownSequence {
	return shutdownSequence{server: s, done: make(chan struct{})}
}

// request begins the shutdown. Further requests change nothing.
func (q *shutdownSequence) request() {
	if q.requested {
		return
	}
	s := q.server
	q.requested, q.requestedAt = true, s.env.Now()
	q.plan = shutdown.NewPlan(q.requestedAt, slices.Max(s.settings.Deadlines))
	s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).Msg("told to end")
}

// rejects returns whether new requests are rejected.
func (q *shutdownSequence) rejects(now float64) bool { return q.requested && now >= q.plan.RejectAt }

// hasDisconnected returns whether clients were disconnected: a connection that is accepted later gets its answers and is closed.
func (q *shutdownSequence) hasDisconnected() bool { return q.disconnected }

// step takes the steps that are due.
func (q *shutdownSequence) step(now float64) {
	if !q.requested {
		return
	}
	if now >= q.plan.AnswerAt && !q.answered {
		q.answered = true
		q.answerAll(now)
	}
	if now >= q.plan.CloseAt && !q.disconnected {
		q.disconnected = true
		q.server.clients.disconnectAll()
	}
	if now >= q.plan.ExitAt && !q.exited {
		q.exited = true
		q.server.log.Info().Str("mode", "stop").Float64("after_ms", math.Round(now-q.requestedAt)).Msg("ends")
		close(q.done)
	}
}

// answerAll gives all accepted requests their final answer.
func (q *shutdownSequence) answerAll(now float64) {
	s := q.server
	waiting := s.requests.waiting()
	s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("inbox", waiting).Int("stands", s.host.RunningTasks()).
		Msg("answers what is open")
	s.requests.start(now, waiting)
	s.host.Close(now)
}
