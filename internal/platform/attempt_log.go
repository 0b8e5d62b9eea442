package platform

import (
	"fmt"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Limits of the log of failed attempts.
const (
	attemptLogPeriod   = 1000 // ms
	attemptLogMaxLines = 20   // per period, so that a fault of all nodes does not fill the log
)

// attemptLogBudget limits the number of lines about failed attempts.
type attemptLogBudget struct {
	periodStart float64
	lines       int
	omitted     int // lines that were not written since the last one that was
}

// take reports whether a line may be written now, and how many were omitted before it.
func (b *attemptLogBudget) take(now float64) (omitted int, ok bool) {
	if now-b.periodStart >= attemptLogPeriod {
		b.periodStart, b.lines = now, 0
	}
	if b.lines >= attemptLogMaxLines {
		b.omitted++
		return 0, false
	}
	b.lines++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// logFailedAttempt logs an attempt that failed and may have run: its number and its node are what clients and nodes have on record too.
func (t *telemetry) logFailedAttempt(r *request, verdict logic.Outcome) {
	if r.running || r.node == nil || !outcome.MayHaveRunAfter(verdict) {
		return
	}
	now := t.server.env.Now()
	omitted, ok := t.attemptLog.take(now)
	if !ok {
		return
	}
	t.diagnostics.Do("failed attempt", func() {
		t.server.log.Info().Str("mode", "attempt").Float64("at", now+epochUnixMs).Str("task", fmt.Sprintf("%016x", r.task)).
			Str("node", r.node.name).Str("address", r.node.address).Uint8("try", r.attempt).Uint8("verdict", uint8(verdict)).
			Int("omitted", omitted).Msg("attempt failed; its task may have run")
	})
}
