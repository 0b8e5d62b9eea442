package platform

import (
	"math"
	"slices"

	"ravenpond/internal/decide/shutdown"
)

// shutdownSequence takes the steps of a planned shutdown. Server.mu guards all of it except done.
type shutdownSequence struct {
	server       *Server
	requested    bool
	requestedAt  float64
	plan         shutdown.Plan
	answered     bool          // the step that answers all open requests was taken
	disconnected bool          // the step that disconnects clients was taken
	exited       bool          // done is closed
	done         chan struct{} // it is closed when the shutdown is complete
}

func newShutdownSequence(s *Server) shutdownSequence {
	return shutdownSequence{server: s, done: make(chan struct{})}
}

// request begins the shutdown. Further calls have no effect.
func (q *shutdownSequence) request() {
	if q.requested {
		return
	}
	s := q.server
	q.requested, q.requestedAt = true, s.env.Now()
	q.plan = shutdown.NewPlan(q.requestedAt, slices.Max(s.settings.Deadlines))
	s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).Msg("shutdown requested")
}

// rejects reports whether new requests are rejected.
func (q *shutdownSequence) rejects(now float64) bool { return q.requested && now >= q.plan.RejectAt }

// hasDisconnected reports whether clients were disconnected. A connection that is accepted after that is closed once its requests are answered.
func (q *shutdownSequence) hasDisconnected() bool { return q.disconnected }

// step takes the steps of the shutdown that are due.
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
		q.server.log.Info().Str("mode", "stop").Float64("after_ms", math.Round(now-q.requestedAt)).Msg("shutdown complete")
		close(q.done)
	}
}

// answerAll sends all accepted requests their final answers.
func (q *shutdownSequence) answerAll(now float64) {
	s := q.server
	waiting := s.requests.waiting()
	s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("inbox", waiting).Int("stands", s.host.RunningTasks()).
		Msg("answering all open requests")
	s.requests.start(now, waiting)
	s.host.Close(now)
}
