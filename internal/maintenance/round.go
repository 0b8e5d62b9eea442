package maintenance

import (
	"fmt"
	"slices"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/maintenancestore"
)

// round is the state of one call of Tick.
type round struct {
	*Controller
	now      time.Time
	calendar *calendar.Calendar
	fleet    []calendar.Node
	lost     map[string]bool
	draining map[string]bool // nodes of unfinished drains
}

func (r *round) markDraining(nodes []string) {
	for _, node := range nodes {
		r.draining[node] = true
	}
}

// beginDue begins the drains of the plan that are due. unfinished holds the drains that were begun before this round.
func (r *round) beginDue(unfinished []maintenancestore.Drain) error {
	for _, v := range r.plan {
		if !r.isDue(v) || slices.ContainsFunc(unfinished, func(d maintenancestore.Drain) bool { return drainName(d.Verdict) == drainName(v) }) {
			continue
		}
		drain, isNew, err := r.Store.BeginDrain(v, r.now)
		if err != nil {
			return storeError(err)
		}
		if !isNew { // the drain was closed before the end of its window
			continue
		}
		r.markDraining(v.Nodes)
		if err := r.advance(drain); err != nil {
			return err
		}
	}
	return nil
}

// isDue reports whether the drain of a verdict should be in progress now.
func (r *round) isDue(v calendar.Verdict) bool {
	return v.Outcome != calendar.Refused && !r.now.Before(v.DrainStart) && r.now.Before(v.End) && len(v.Nodes) > 0 && isScheduled(r.calendar, v)
}

// workload holds the numbers of running allocations on the nodes of a drain and on the fleet.
type workload struct {
	byJob        []int // on the nodes, by job class
	total, fleet int   // on the nodes and on the whole fleet
}

func (r *round) workloadOf(v calendar.Verdict) (w workload) {
	w.byJob, w.fleet = r.Executor.CountRunning(v.Nodes)
	for _, n := range w.byJob {
		w.total += n
	}
	return w
}

// advance carries out the steps of a drain that are due, and evicts work if its window is not over.
func (r *round) advance(drain maintenancestore.Drain) error {
	v := drain.Verdict
	if err := r.announce(v); err != nil {
		return err
	}
	work := r.workloadOf(v)
	if work.total == 0 && drain.Stage < maintenancestore.Emptied {
		opened := drain.ReachedAt[maintenancestore.Opened]
		r.Executor.Log(fmt.Sprintf("window %s: nodes are empty %.0f s after the drain began", v.Window, r.now.Sub(opened).Seconds()))
		if err := r.setStage(v, maintenancestore.Emptied); err != nil {
			return err
		}
	}
	cancelled := !isScheduled(r.calendar, v)
	if cancelled || !r.now.Before(v.End) {
		return r.close(v, work, cancelled)
	}
	r.evict(v, work)
	return nil
}

// announce starts the drain of the nodes, once per incarnation of the process. It is repeated after a restart, because the process may have
// been killed before it announced the drain; if it was killed afterwards, the repetition has no effect.
func (r *round) announce(v calendar.Verdict) error {
	name := drainName(v)
	if r.announced[name] {
		return nil
	}
	r.Executor.SetDraining(v.Nodes, true)
	r.announced[name] = true
	r.Executor.Log(fmt.Sprintf("window %s: draining %d nodes until %s", v.Window, len(v.Nodes), v.End.UTC().Format(time.RFC3339)))
	return r.setStage(v, maintenancestore.Announced)
}

func (r *round) setStage(v calendar.Verdict, stage maintenancestore.Stage) error {
	if err := r.Store.AdvanceDrain(v.Window, v.ScheduledStart, stage, r.now); err != nil {
		return storeError(err)
	}
	return nil
}

// evict evicts allocations from the nodes at the rate of each job class's policy. It evicts none while, because of lost nodes, the rest of the
// fleet has no capacity for them.
func (r *round) evict(v calendar.Verdict, work workload) {
	name := drainName(v)
	if reason := calendar.BlockedByLosses(v, r.fleet, r.lost, r.draining, r.Limits); reason != "" {
		if !r.suspended[name] {
			r.suspended[name] = true
			r.Executor.Log(fmt.Sprintf("window %s: evictions suspended: %s", v.Window, reason))
		}
		return
	}
	delete(r.suspended, name)
	for job, running := range work.byJob {
		limit := drainpace.Evictions(r.Policies[job], drainpace.Progress{
			Now:         milliseconds(r.now),
			DrainStart:  milliseconds(v.DrainStart),
			WindowStart: milliseconds(v.Start),
			LastCall:    milliseconds(r.lastTick),
			Remaining:   running,
			Running:     work.fleet,
		})
		if limit > 0 {
			r.Executor.Evict(v.Nodes, job, limit)
		}
	}
}

func milliseconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// close closes a drain and returns its nodes to service. If allocations remain at the end of the window, its ending decides whether the nodes
// return as they are, the allocations are evicted first, or the drain stays open until the nodes are empty.
func (r *round) close(v calendar.Verdict, work workload, cancelled bool) error {
	if !cancelled && work.total > 0 {
		switch v.Ending {
		case calendar.Sweep:
			r.evictStoppable(v, work)
		case calendar.Hold:
			if length := v.End.Sub(v.Start); r.now.Before(v.End.Add(length)) { // waits after the end for at most the length of the window
				return nil
			}
		}
	}
	returning, err := r.returningNodes(v)
	if err != nil {
		return err
	}
	if err := r.setStage(v, maintenancestore.Closed); err != nil {
		return err
	}
	r.Executor.SetDraining(returning, false)
	delete(r.announced, drainName(v))
	outcome := "over"
	if cancelled {
		outcome = "cancelled"
	}
	r.Executor.Log(fmt.Sprintf("window %s: %s, returned %d nodes to service, %d allocations still running", v.Window, outcome, len(returning), work.total))
	return nil
}

// evictStoppable evicts all allocations that may be stopped.
func (r *round) evictStoppable(v calendar.Verdict, work workload) {
	for job, running := range work.byJob {
		if r.Policies[job] != drainpace.RunOut {
			r.Executor.Evict(v.Nodes, job, running)
		}
	}
}

// returningNodes returns the nodes of a drain that belong to no other unfinished drain.
func (r *round) returningNodes(v calendar.Verdict) ([]string, error) {
	unfinished, err := r.Store.UnfinishedDrains()
	if err != nil {
		return nil, storeError(err)
	}
	returning := slices.Clone(v.Nodes)
	for _, other := range unfinished {
		if drainName(other.Verdict) != drainName(v) {
			returning = slices.DeleteFunc(returning, func(node string) bool { return slices.Contains(other.Verdict.Nodes, node) })
		}
	}
	return returning, nil
}
