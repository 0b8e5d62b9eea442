package maintenance

import (
	"fmt"
	"slices"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/maintenancestore"
)

// round is one call of Tick.
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

// beginDue begins the drains of the plan whose time has come. unfinished are those that were begun before this round.
func (r *round) beginDue(unfinished []maintenancestore.Drain) error {
	for _, v := range r.plan {
		if !r.isDue(v) || slices.ContainsFunc(unfinished, func(d maintenancestore.Drain) bool { return drainName(d.Verdict) == drainName(v) }) {
			continue
		}
		drain, isNew, err := r.Store.BeginDrain(v, r.now)
		if err != nil {
			return storeError(err)
		}
		if !isNew { // it was closed before the end of its window
			continue
		}
		r.markDraining(v.Nodes)
		if err := r.advance(drain); err != nil {
			return err
		}
	}
	return nil
}

// isDue reports whether the drain of a verdict is to be in progress now.
func (r *round) isDue(v calendar.Verdict) bool {
	return v.Outcome != calendar.Refused && !r.now.Before(v.DrainStart) && r.now.Before(v.End) && len(v.Nodes) > 0 && isScheduled(r.calendar, v)
}

// workload is what runs at the nodes of a drain, and on the fleet.
type workload struct {
	byJob        []int // at the nodes, by job class
	total, fleet int
}

func (r *round) workloadOf(v calendar.Verdict) (w workload) {
	w.byJob, w.fleet = r.Executor.CountRunning(v.Nodes)
	for _, n := range w.byJob {
		w.total += n
	}
	return w
}

// advance takes a drain as far as it can go now.
func (r *round) advance(drain maintenancestore.Drain) error {
	v := drain.Verdict
	if err := r.announce(v); err != nil {
		return err
	}
	work := r.workloadOf(v)
	if work.total == 0 && drain.Stage < maintenancestore.Emptied {
		opened := drain.ReachedAt[maintenancestore.Opened]
		r.Executor.Log(fmt.Sprintf("window %s: empty after %.0f s", v.Window, r.now.Sub(opened).Seconds()))
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

// announce starts the drain of the nodes, once by each incarnation of the process: repeating it after a restart has no effect if the process
// was killed after it, and is needed if it was killed before.
func (r *round) announce(v calendar.Verdict) error {
	name := drainName(v)
	if r.announced[name] {
		return nil
	}
	r.Executor.SetDraining(v.Nodes, true)
	r.announced[name] = true
	r.Executor.Log(fmt.Sprintf("window %s: %d nodes drain until %s", v.Window, len(v.Nodes), v.End.UTC().Format(time.RFC3339)))
	return r.setStage(v, maintenancestore.Announced)
}

func (r *round) setStage(v calendar.Verdict, stage maintenancestore.Stage) error {
	if err := r.Store.AdvanceDrain(v.Window, v.ScheduledStart, stage, r.now); err != nil {
		return storeError(err)
	}
	return nil
}

// evict moves work off the nodes at the pace of each job class. While the rest of the fleet has no capacity for it, work stays where it is.
func (r *round) evict(v calendar.Verdict, work workload) {
	name := drainName(v)
	if reason := calendar.BlockedByLosses(v, r.fleet, r.lost, r.draining, r.Limits); reason != "" {
		if !r.suspended[name] {
			r.suspended[name] = true
			r.Executor.Log(fmt.Sprintf("window %s: work is left where it is: %s", v.Window, reason))
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

// close brings the nodes of a drain back, unless its window ends by waiting for them to be empty.
func (r *round) close(v calendar.Verdict, work workload, cancelled bool) error {
	if !cancelled && work.total > 0 {
		switch v.Ending {
		case calendar.Sweep:
			r.evictStoppable(v, work)
		case calendar.Hold:
			if length := v.End.Sub(v.Start); r.now.Before(v.End.Add(length)) { // at most once more its length
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
	r.Executor.Log(fmt.Sprintf("window %s: %s, %d nodes back, %d allocations still there", v.Window, outcome, len(returning), work.total))
	return nil
}

// evictStoppable evicts all work that may be stopped.
func (r *round) evictStoppable(v calendar.Verdict, work workload) {
	for job, running := range work.byJob {
		if r.Policies[job] != drainpace.RunOut {
			r.Executor.Evict(v.Nodes, job, running)
		}
	}
}

// returningNodes returns the nodes of a drain that no other unfinished drain holds.
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
