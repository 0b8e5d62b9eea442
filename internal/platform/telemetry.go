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

// epochUnixMs is the origin of the scheduler's clock, in Unix ms.
var epochUnixMs = float64(env.Epoch.UnixMilli())

// maxTracedBytes bounds how many bytes of a description a trace shows.
const maxTracedBytes = 80

// degradedAbove is the degradation from which a node counts as degraded in the statistics.
const degradedAbove = 0.5

// counter identifies a counter of the statistics line.
type counter uint8

const (
	countAccepted       counter = iota // requests that were accepted
	countRejected                      // requests that were not accepted
	countShedBehind                    // rejected requests that could not have been answered in time
	countServed                        // requests whose tasks were started
	countShed                          // requests that were answered with a cause that lets the client retry
	countFailed                        // requests that were answered with a failure
	countWithdrawn                     // requests and tasks that were withdrawn
	countEnded                         // tasks whose clients were notified of the end
	countMoved                         // tasks that clients were notified to request again
	countRecovered                     // running tasks that were taken over
	countRecoveredEnded                // tasks that clients handed over after they had ended
	countUnclaimedEnds                 // ends of tasks that the scheduler did not hold
	countAttempts                      // attempts at nodes
	countDials                         // dials to nodes
	countNodeChecks                    // dials that check whether a node is reachable
	countDialsFailed                   // dials that failed because of the node or the network
	countDialsExhausted                // dials that failed because this machine had no descriptors or ports left
	countConnsLost                     // connections to nodes that ended in a way that may have lost messages
	countReconnects                    // dials that were made because of that
	countLateReports                   // ends of tasks that were received after their connection was closed here
	countNotifiedAgain                 // notifications that were sent again on another connection of a client
	countMalformed                     // connections to nodes on which a malformed message was received
	countEvicted                       // client connections that were evicted
	countDisplaced                     // listed nodes whose address the list gave to another node
	countProbes                        // health checks that the host requested
	numCounters
)

// numOutcomes is the number of values of logic.Outcome.
const numOutcomes = 8

// telemetry writes traces and statistics to the log. A panic in one of them switches it off. Server.mu guards it.
type telemetry struct {
	server      *Server
	diagnostics besteffort.Guard
	counts      [numCounters]int // values since the start
	outcomes    [numOutcomes]int // outcomes of attempts and running tasks, since the start
	maxDelay    float64          // the largest delay of the process since the last statistics line, in ms
	lastStats   float64          // the time of the last statistics line
	endsDropped bool             // it was logged that ends were dropped
	attemptLog  attemptLogBudget
}

func newTelemetry(s *Server) telemetry {
	return telemetry{server: s, diagnostics: besteffort.Guard{Report: func(what, why string) {
		s.log.Error().Str("mode", "words").Str("what", what).Str("why", why).Msg("diagnostic switched off")
	}}}
}

// count increments a counter.
func (t *telemetry) count(c counter) { t.counts[c]++ }

// countOutcome counts an outcome of an attempt or of a running task.
func (t *telemetry) countOutcome(verdict logic.Outcome) { t.outcomes[verdict]++ }

// recordDelay records by how many ms the process lags behind its events.
func (t *telemetry) recordDelay(ms float64) { t.maxDelay = max(t.maxDelay, ms) }

// tick logs the statistics line when it is due.
func (t *telemetry) tick(now float64) {
	if dropped := t.server.ended.Dropped(); dropped > 0 && !t.endsDropped {
		t.endsDropped = true
		t.server.log.Warn().Str("mode", "ends").Msg("more ends of tasks than can be remembered; a task that is handed over late may count as running")
	}
	if now-t.lastStats > statsInterval {
		t.lastStats = now
		t.diagnostics.Do("counts", t.logStats)
	}
}

// logStats logs the statistics line, whose fields docs/oncall.md explains.
func (t *telemetry) logStats() {
	s := t.server
	unhealthy, degraded := t.nodeHealth()
	estimateError := s.host.TakeEstimateError()
	line := s.log.Info().Str("mode", "counts").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).
		Int("owners", s.clients.count()).Int("links", s.nodes.connections()).Int("nodes", s.nodes.count())
	t.addCounts(line, countField{"taken", countAccepted}, countField{"turned", countRejected}, countField{"behind", countShedBehind})
	line.Float64("lag_ms", math.Round(t.maxDelay))
	t.addCounts(line, countField{"served", countServed}, countField{"declined", countShed}, countField{"failed", countFailed},
		countField{"withdrawn", countWithdrawn}, countField{"over", countEnded}, countField{"moved", countMoved},
		countField{"found", countRecovered}, countField{"found_ended", countRecoveredEnded}, countField{"unclaimed_ends", countUnclaimedEnds})
	line.Int("dropped_ends", s.ended.Dropped())
	t.addCounts(line, countField{"offers", countAttempts})
	line.Ints("verdicts", t.outcomes[:])
	t.addCounts(line, countField{"dials", countDials}, countField{"looks", countNodeChecks}, countField{"refused", countDialsFailed},
		countField{"spent", countDialsExhausted}, countField{"spoilt", countMalformed}, countField{"expelled", countEvicted},
		countField{"probes", countProbes}, countField{"displaced", countDisplaced}, countField{"links_lost", countConnsLost},
		countField{"links_again", countReconnects}, countField{"late_ends", countLateReports}, countField{"told_again", countNotifiedAgain})
	line.Int("ill", unhealthy).Int("strained", degraded).Int("reports", estimateError.Reports).
		Float64("off_cores", math.Round(estimateError.Cores*10)/10).Float64("off_memory", math.Round(estimateError.Memory*10)/10).Msg("")
	t.maxDelay = 0
}

// countField is a counter with the name of its field in the statistics line.
type countField struct {
	name    string
	counter counter
}

// addCounts adds counters to a log line.
func (t *telemetry) addCounts(line *zerolog.Event, fields ...countField) {
	for _, f := range fields {
		line.Int(f.name, t.counts[f.counter])
	}
}

// nodeHealth returns how many nodes the module believes to be unhealthy, and how many of the others to be degraded.
func (t *telemetry) nodeHealth() (unhealthy, degraded int) {
	s := t.server
	for id := range s.nodes.all() {
		if estimate, ok := s.host.NodeEstimate(id); ok && estimate.Unhealthy {
			unhealthy++
		} else if ok && estimate.Degradation > degradedAbove {
			degraded++
		}
	}
	return unhealthy, degraded
}

// trace logs one message or effect if the debug level is enabled. fields adds further fields and may be nil.
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

// traceNodeMessage traces a message from a node.
func (t *telemetry) traceNodeMessage(c *nodeConn, msg []byte) {
	t.trace("from node", codec.Task(msg), func(e *zerolog.Event) {
		cause, _ := codec.CauseOf(msg)
		reason, _ := codec.Param(msg, codec.ParamReason)
		value, _ := codec.Param(msg, codec.ParamValue)
		report, _ := codec.Param(msg, codec.ParamReport)
		description, _ := codec.Param(msg, codec.ParamDescription)
		e.Str("node", c.node.name).Uint8("kind", codec.Kind(msg)).Uint8("cause", cause).Bytes("word", reason).
			Bytes("figure", value).Bytes("report", report).Bytes("d", description[:min(len(description), maxTracedBytes)])
	})
}

// traceOutcome traces the outcome of an attempt or of a running task, and the module's estimate of the node.
func (t *telemetry) traceOutcome(r *request, o attemptOutcome) {
	t.trace("settled", r.task, func(e *zerolog.Event) {
		e.Uint8("verdict", uint8(o.verdict)).Uint8("why", uint8(o.reason)).Floats64("report", o.report).Bool("stood", r.running)
		if r.node == nil {
			return
		}
		e.Str("node", r.node.name)
		if b, ok := t.server.host.NodeEstimate(r.node.id); ok {
			e.Floats64("believed", []float64{b.Cores, b.Memory}).Float64("strain", b.Degradation).Float64("risk", b.FailureRate).
				Bool("ill", b.Unhealthy)
		}
	})
}
