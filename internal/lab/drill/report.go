package drill

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/standin"
)

// Result is the outcome of a drill.
type Result struct {
	Violations []audit.Violation
	Records    int
	rows       []outcomeRow
}

// rules returns the rules of the site that the audit checks.
func (p *drillRun) rules() audit.Rules {
	cl := &p.Deployment.Cluster
	r := audit.Rules{
		Nodes: map[uint32]audit.Location{}, DrainGrace: p.Deployment.DrainGrace, ListPolled: cl.PollsList,
		PollInterval: cl.ListMaxSilence, SlowStartLimit: int(cl.SlowStartLimit), SlowStartDuration: cl.SlowStartDuration, SlowStartWindow: cl.SlowStartWindow, Slack: slack,
	}
	for _, w := range p.Day.jobs {
		r.Jobs = append(r.Jobs, audit.JobRules{Semantics: w.semantics, Scope: w.scope, Window: w.window, Spread: w.spread, MaxPerDomain: w.maxPerDomain})
	}
	for _, n := range p.nodes {
		r.Nodes[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	return r
}

// outcomeRow is a row of the table. It counts the requests that were sent within a time span.
type outcomeRow struct {
	name                                      string
	requests, served, declined, failed, other int
	first, inTime                             int
	latencies                                 []float64
}

// table counts requests over the whole day, by maintenance window and by fault. A fault's row includes requests up to 2 s after its end.
func (p *drillRun) table() []outcomeRow {
	rows := []outcomeRow{{name: "whole day"}}
	for _, w := range p.Day.windows {
		rows = append(rows, outcomeRow{name: "window " + w.name})
	}
	for _, tr := range p.Day.faults {
		rows = append(rows, outcomeRow{name: fmt.Sprintf("%s, %.0f s", FaultKinds[tr.kind], tr.at/1000)})
	}
	for _, o := range p.clients {
		for _, t := range o.Outcomes() {
			rows[0].add(t)
			for i, w := range p.Day.windows {
				if t.SentAt >= w.at-w.lead && t.SentAt < w.at+w.duration {
					rows[i+1].add(t)
				}
			}
			for i, tr := range p.Day.faults {
				if t.SentAt >= tr.at && t.SentAt < tr.at+tr.duration+2000 {
					rows[i+1+len(p.Day.windows)].add(t)
				}
			}
		}
	}
	return rows
}

func (r *outcomeRow) add(t standin.Outcome) {
	r.requests++
	switch t.Result {
	case "served":
		r.served++
		r.latencies = append(r.latencies, t.Latency)
	case "declined":
		r.declined++
	case "failed":
		r.failed++
	default:
		r.other++
	}
	if t.First {
		r.first++
	}
	if t.InTime {
		r.inTime++
	}
}

// Print writes the table and the violations. Its last line counts the violations.
func (r *Result) Print(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s %6s %6s %8s %6s %7s %8s %8s %8s\n", "trouble", "asks", "served", "declined", "failed",
		"cut off", "in time", "p50 ms", "p95 ms")
	for _, row := range r.rows {
		slices.Sort(row.latencies)
		share := "-"
		if row.first > 0 {
			share = fmt.Sprintf("%.0f%%", 100*float64(row.inTime)/float64(row.first))
		}
		fmt.Fprintf(&b, "%-22s %6d %6d %8d %6d %7d %8s %8s %8s\n", row.name, row.requests, row.served, row.declined,
			row.failed, row.other, share, quantile(row.latencies, 0.5), quantile(row.latencies, 0.95))
	}
	fmt.Fprintf(&b, "%d records audited\n", r.Records)
	for _, br := range r.Violations {
		fmt.Fprintf(&b, "%s\n", br)
	}
	fmt.Fprintf(&b, "broken rules: %d\n", len(r.Violations))
	_, err := io.WriteString(out, b.String())
	return err
}

// quantile formats a quantile of sorted values, or "-" if there are none.
func quantile(sorted []float64, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", sorted[int(q*float64(len(sorted)-1))])
}
