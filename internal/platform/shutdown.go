package platform

import (
	"math"
)

// shutdown goes through what is due for a scheduler that was told to end.
func (s *Server) shutdown(now float64) {
	if now >= s.shutdownPlan.AnswerAt && !s.answeredAll {
		s.answeredAll = true
		s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("inbox", len(s.inbox)).Int("stands", s.host.RunningTasks()).
			Msg("answers what is open")
		s.startRequests(now, len(s.inbox))
		s.host.Close(now)
	}
	if now >= s.shutdownPlan.CloseAt && !s.clientsDisconnected {
		s.clientsDisconnected = true
		s.listener.Close() // who waits at it is let in first, and answered until the end
		for _, o := range s.sortedClients() {
			if owed := len(o.openRequests); owed > 0 {
				s.log.Error().Str("mode", "stop").Int("open", owed).Msg("a connection is ended on which answers are owed")
			}
			o.close()
		}
	}
	if now >= s.shutdownPlan.ExitAt && !s.ended {
		s.ended = true
		s.log.Info().Str("mode", "stop").Float64("after_ms", math.Round(now-s.stopRequestedAt)).Msg("ends")
		close(s.done)
	}
}
