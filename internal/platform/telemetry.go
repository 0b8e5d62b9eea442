package platform

import (
	"fmt"
	"math"

	"github.com/rs/zerolog"

	codec "ravenpond/internal/proto/platform"
)

// stats are figures for the log.
type stats struct {
	accepted, rejected, served, shed, failed, withdrawn, ended, moved, recovered int
	attempts                                                                     int
	verdicts                                                                     [8]int
	dials, nodeChecks, dialsFailed, dialsExhausted, malformed, evicted, probes   int
	shedBehind                                                                   int     // turned away as they could not be done in time
	maxLag                                                                       float64 // the most since it was told
}

// logStats tells people how the scheduler fares.
func (s *Server) logStats() {
	c := &s.stats
	unhealthy, degraded := 0, 0
	for id := range s.nodes {
		if b, ok := s.host.Belief(id); ok && b.Unhealthy {
			unhealthy++
		} else if ok && b.Degradation > 0.5 {
			degraded++
		}
	}
	reports, cores, memory := s.host.BeliefError()
	s.log.Info().Str("mode", "counts").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).Int("owners", len(s.clients)).
		Int("links", s.nodeConns).Int("nodes", len(s.nodes)).Int("taken", c.accepted).Int("turned", c.rejected).Int("behind", c.shedBehind).
		Float64("lag_ms", math.Round(c.maxLag)).Int("served", c.served).
		Int("declined", c.shed).Int("failed", c.failed).Int("withdrawn", c.withdrawn).Int("over", c.ended).Int("moved", c.moved).
		Int("found", c.recovered).Int("offers", c.attempts).Ints("verdicts", c.verdicts[:]).Int("dials", c.dials).Int("looks", c.nodeChecks).
		Int("refused", c.dialsFailed).Int("spent", c.dialsExhausted).Int("spoilt", c.malformed).Int("expelled", c.evicted).Int("probes", c.probes).
		Int("ill", unhealthy).Int("strained", degraded).Int("reports", reports).
		Float64("off_cores", math.Round(cores*10)/10).Float64("off_memory", math.Round(memory*10)/10).Msg("")
	c.maxLag = 0
}

// trace tells of one message or effect, where the log's level wants it.
func (s *Server) trace(what string, task uint64, f func(*zerolog.Event)) {
	if e := s.log.Debug(); e.Enabled() {
		s.diagnostics.Do("trace: "+what, func() {
			e.Float64("at", s.env.Now()+s.epochUnixMs).Str("task", fmt.Sprintf("%016x", task))
			if f != nil {
				f(e)
			}
			e.Msg(what)
		})
	}
}

func (s *Server) traceNode(l *nodeConn, msg []byte) {
	s.trace("from node", codec.Task(msg), func(e *zerolog.Event) {
		cause, _ := codec.CauseOf(msg)
		word, _ := codec.Param(msg, codec.ParamReason)
		figure, _ := codec.Param(msg, codec.ParamValue)
		report, _ := codec.Param(msg, codec.ParamReport)
		d, _ := codec.Param(msg, codec.ParamDescription)
		e.Str("node", l.node.name).Uint8("kind", codec.Kind(msg)).Uint8("cause", cause).Bytes("word", word).
			Bytes("figure", figure).Bytes("report", report).Bytes("d", d[:min(len(d), 80)])
	})
}
