package platform

import (
	"fmt"
	"math"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// epochUnixMs is the zero of the scheduler's clock, in Unix ms.
var epochUnixMs = float64(env.Epoch.UnixMilli())

// maxTracedBytes bounds what a trace shows of a description.
const maxTracedBytes = 80

// degradedAbove is the degradation from which a node counts as degraded in the statistics.
const degradedAbove = 0.5

// counter is a figure of the statistics line.
type counter uint8

const (
	countAccepted       counter = iota // requests
	countRejected                      // requests that were not accepted
	countShedBehind                    // of them, those that could not have been answered in time
	countServed                        // requests whose tasks were started
	countShed                          // requests that were answered with a retry
	countFailed                        // requests that were answered with a failure
	countWithdrawn                     // requests and tasks that clients gave up
	countEnded                         // tasks whose ends were notified
	countMoved                         // tasks that were to be requested anew
	countRecovered                     // running tasks that were taken over
	countAttempts                      // sent to nodes
	countDials                         // to nodes
	countNodeChecks                    // dials to see whether a node is there
	countDialsFailed                   // for reasons of the node or the network
	countDialsExhausted                // for want of descriptors or ports here
	countMalformed                     // connections to nodes on which something could not be read
	countEvicted                       // connections of clients
	countProbes                        // health checks
	numCounters
)

// numOutcomes is the number of values of logic.Outcome.
const numOutcomes = 8

// telemetry writes traces and statistics to the log. A panic in one of them switches it off. Server.mu guards it.
type telemetry struct {
	server      *Server
	diagnostics besteffort.Guard
	counts      [numCounters]int // since the start
	outcomes    [numOutcomes]int // of attempts and running tasks, since the start
	maxDelay    float64          // ms that the process was behind at most, since the last statistics line
	lastStats   float64
}

func newTelemetry(s *Server) telemetry {
	return telemetry{server: s, diagnostics: besteffort.Guard{Report: func(what, why string) {
		s.log.Error().Str("mode", "words").Str("what", what).Str("why", why).Msg("switched off")
	}}}
}

// count counts one more of a figure.
func (t *telemetry) count(c counter) { t.counts[c]++ }

// countOutcome counts the outcome of an attempt or of a running task.
func (t *telemetry) countOutcome(verdict logic.Outcome) { t.outcomes[verdict]++ }

// recordDelay takes note of how far the process is behind, in ms.
func (t *telemetry) recordDelay(ms float64) { t.maxDelay = max(t.maxDelay, ms) }

// tick writes the statistics line when it is due.
func (t *telemetry) tick(now float64) {
	if now-t.lastStats > statsInterval {
		t.lastStats = now
		t.diagnostics.Do("counts", t.logStats)
	}
}

// logStats writes the statistics line, whose fields docs/oncall.md explains.
func (t *telemetry) logStats() {
	s := t.server
	unhealthy, degraded := t.nodeHealth()
	off := s.host.TakeBeliefError()
	line := s.log.Info().Str("mode", "counts").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).
		Int("owners", s.clients.count()).Int("links", s.nodes.connections()).Int("nodes", s.nodes.count())
	t.addCounts(line, countField{"taken", countAccepted}, countField{"turned", countRejected}, countField{"behind", countShedBehind})
	line.Float64("lag_ms", math.Round(t.maxDelay))
	t.addCounts(line, countField{"served", countServed}, countField{"declined", countShed}, countField{"failed", countFailed},
		countField{"withdrawn", countWithdrawn}, countField{"over", countEnded}, countField{"moved", countMoved},
		countField{"found", countRecovered}, countField{"offers", countAttempts})
	line.Ints("verdicts", t.outcomes[:])
	t.addCounts(line, countField{"dials", countDials}, countField{"looks", countNodeChecks}, countField{"refused", countDialsFailed},
		countField{"spent", countDialsExhausted}, countField{"spoilt", countMalformed}, countField{"expelled", countEvicted},
		countField{"probes", countProbes})
	line.Int("ill", unhealthy).Int("strained", degraded).Int("reports", off.Reports).
		Float64("off_cores", math.Round(off.Cores*10)/10).Float64("off_memory", math.Round(off.Memory*10)/10).Msg("")
	t.maxDelay = 0
}

// countField is a counter with the name of its field in the log.
type countField struct {
	name    string
	counter counter
}

// addCounts adds counters to a line.
func (t *telemetry) addCounts(line *zerolog.Event, fields ...countField) {
	for _, f := range fields {
		line.Int(f.name, t.counts[f.counter])
	}
}

// nodeHealth returns how many nodes the module believes unhealthy, and how many others degraded.
func (t *telemetry) nodeHealth() (unhealthy, degraded int) {
	s := t.server
	for id := range s.nodes.all() {
		if belief, ok := s.host.Belief(id); ok && belief.Unhealthy {
			unhealthy++
		} else if ok && belief.Degradation > degradedAbove {
			degraded++
		}
	}
	return unhealthy, degraded
}

// trace writes one message or effect to the log, if the log's level wants it. The fields may be nil.
func (t *telemetry) trace(what string, task uint64, fields func(*zerolog.Event)) {
	e := t.server.log.Debug()
	if !e.Enabled() {
		return
	}
	t.diagnostics.Do("trace: "+what, func() {
		e.Float64("at", t.server.env.Now()+epochUnixMs).Str("task", fmt.Sprintf("%016x", task))
		if fields != nil {
			fields(e)
		}
		e.Msg(what)
	})
}

// traceRequest traces a client's request.
func (t *telemetry) traceRequest(task uint64, msg []byte) {
	t.trace("set-up", task, func(e *zerolog.Event) {
		for _, code := range []byte{
			codec.ParamJobClass, codec.ParamTimeLeft, codec.ParamTenant, codec.ParamRepeat, codec.ParamName, codec.ParamDemand, codec.ParamKey,
		} {
			v, _ := codec.Param(msg, code)
			e.Bytes(fmt.Sprintf("p%02d", code), v)
		}
		v, _ := codec.Param(msg, codec.ParamDescription)
		e.Int("description", len(v)).Bytes("d", v[:min(len(v), maxTracedBytes)])
	})
}

// traceNodeMessage traces a message of a node.
func (t *telemetry) traceNodeMessage(c *nodeConn, msg []byte) {
	t.trace("from node", codec.Task(msg), func(e *zerolog.Event) {
		cause, _ := codec.CauseOf(msg)
		word, _ := codec.Param(msg, codec.ParamReason)
		figure, _ := codec.Param(msg, codec.ParamValue)
		report, _ := codec.Param(msg, codec.ParamReport)
		d, _ := codec.Param(msg, codec.ParamDescription)
		e.Str("node", c.node.name).Uint8("kind", codec.Kind(msg)).Uint8("cause", cause).Bytes("word", word).
			Bytes("figure", figure).Bytes("report", report).Bytes("d", d[:min(len(d), maxTracedBytes)])
	})
}

// traceOutcome traces the outcome of an attempt or of a running task, with what the module believes of the node.
func (t *telemetry) traceOutcome(r *request, o attemptOutcome) {
	t.trace("settled", r.task, func(e *zerolog.Event) {
		e.Uint8("verdict", uint8(o.verdict)).Uint8("why", uint8(o.reason)).Floats64("report", o.report).Bool("stood", r.running)
		if r.node == nil {
			return
		}
		e.Str("node", r.node.name)
		if b, ok := t.server.host.Belief(r.node.id); ok {
			e.Floats64("believed", []float64{b.Cores, b.Memory}).Float64("strain", b.Degradation).Float64("risk", b.FailureRate).
				Bool("ill", b.Unhealthy)
		}
	})
}
