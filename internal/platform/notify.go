package platform

import (
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
)

// released tells a client that what stood is over.
func (s *Server) released(a *request, cause byte) {
	if cause == 0 {
		cause = codec.Reset
	}
	s.tell(a, word{task: a.task, cause: cause})
}

// word is what a client is owed about what stood: its end with a cause, or a move.
type word struct {
	task  uint64
	cause byte    // 0: a move
	since float64 // when it was owed
}

func (w word) append(b []byte) []byte {
	if w.cause == 0 {
		return codec.AppendMove(b, w.task)
	}
	return codec.AppendEnd(b, w.task, w.cause)
}

// tell gives a client word of what stood: on the connection that it came on, else on another on which something was served, else on
// the next such; but if there is none in time, as in a flood in which all is declined, on one on which something was requested.
func (s *Server) tell(a *request, w word) {
	if a.client != nil && a.client.listens() && a.client.say(w.append) {
		return
	}
	for _, o := range s.eachClient() {
		if o.proven && o.listens() && o.say(w.append) {
			return
		}
	}
	w.since = s.world.Now()
	s.owed = append(s.owed[max(0, len(s.owed)-connlimits.MostEnds+1):], w)
}
