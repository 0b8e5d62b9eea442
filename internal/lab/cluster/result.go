package cluster

import (
	"cmp"
	"slices"
	"time"

	"ravenpond/internal/audit"
)

// Result is the outcome of a run: rule violations, answers and figures.
type Result struct {
	Violations      []audit.Violation
	Answers         map[string]int
	StartLatencies  []float64     // ms from request to answer of the requests that were served at their first try, sorted
	CPU             time.Duration // of all schedulers together, over all their incarnations
	LocalFraction   float64       // fraction of the attempts that ran in the zone of their scheduler
	Value           float64       // fraction, by priority weight, that was served in time of the requests first sent while a script was played
	ScriptLatencies []float64     // ms from request to answer of those that were served, sorted
}

// Finish waits until all requests are answered or past their deadline, ends all processes and audits the trace.
func (r *Rig) Finish() Result {
	r.stop()
	time.Sleep(3600 * time.Millisecond)
	r.mu.Lock()
	records := slices.Clone(r.trace)
	r.mu.Unlock()
	slices.SortStableFunc(records, func(a, b audit.Record) int { return cmp.Compare(a.At, b.At) })
	res := Result{Violations: audit.Check(records, r.rules), Answers: map[string]int{}}
	wanted, served := 0.0, 0.0
	for _, x := range r.processes {
		for _, t := range x.client.Outcomes() {
			res.Answers[string(t.Result)]++
			if t.SentAt >= r.scriptFrom && t.SentAt < r.scriptUntil {
				value := r.site.Cluster.JobClasses[t.Job].PriorityWeight
				if wanted += value; t.Result == "served" && t.InTime {
					served += value
				}
				if t.Result == "served" {
					res.ScriptLatencies = append(res.ScriptLatencies, t.Latency)
				}
			}
			if t.Result == "served" && t.First {
				res.StartLatencies = append(res.StartLatencies, t.Latency)
			}
		}
	}
	slices.Sort(res.StartLatencies)
	slices.Sort(res.ScriptLatencies)
	res.Value = served / max(1e-9, wanted)
	zones := map[string]string{}
	for i, x := range r.processes {
		zones[x.name] = r.zoneOf(i)
	}
	attempts, local := 0, 0
	for _, x := range records {
		if x.Kind == audit.TaskStarted {
			if attempts++; r.rules.Nodes[x.Node].Zone == zones[x.Scheduler] {
				local++
			}
		}
	}
	res.LocalFraction = float64(local) / float64(max(1, attempts))
	r.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	res.CPU = r.usedCPU
	return res
}

func (r *Rig) close() {
	r.stop()
	for i, x := range r.processes {
		r.PauseScheduler(i, false)
		r.KillScheduler(i)
		closeQuietly(x.reservedConn)
		closeQuietly(x.relay)
		for _, y := range []*relay{x.listRelay, x.clientRelay} {
			if y != nil {
				y.close()
			}
		}
		if x.logFile != nil {
			closeQuietly(x.logFile)
		}
	}
	for _, x := range r.relays {
		x.close()
	}
	r.background.Wait()
	r.env.Close(time.Second)
}
