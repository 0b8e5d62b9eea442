// Package upkeep carries out maintenance windows: it opens them, has work moved off, and closes them, step by step and
// each step on the disk first. It is free of sockets and clocks; Tick is given the time, and the hands that act.
package maintenance

import (
	"fmt"
	"slices"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/maintenancestore"
)

// Executor act on the scheduler.
type Executor interface {
	// SetDraining takes nodes out or brings them back; doing it again changes nothing.
	SetDraining(nodes []string, out bool)
	// CountRunning counts what runs at nodes, and on the whole fleet, by job type.
	CountRunning(nodes []string) (there []int, all int)
	// Evict stops up to so many allocations of a job type at nodes.
	Evict(nodes []string, job, most int) int
	Log(line string)
}

// Store keeps what was begun.
type Store interface {
	Calendar() (*calendar.Calendar, error)
	BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error)
	AdvanceDrain(window string, nominal time.Time, stage maintenancestore.Stage, now time.Time) error
	UnfinishedDrains() ([]maintenancestore.Drain, error)
	DeleteClosed(before time.Time) error
}

// Controller carries out one process's windows.
type Controller struct {
	Store     Store
	Executor  Executor
	Limits    calendar.Limits
	Policies  []drainpace.Policy    // by job type
	UsualLoad calendar.LoadEstimate // the same at every process that shares the calendar

	announced   map[string]bool // drains announced in this life of the process
	suspended   map[string]bool // and those whose work is left alone, as too much is lost
	blockedBy   func(calendar.Verdict) string
	lastTick    time.Time
	plannedAt   time.Time
	cleanedUpAt time.Time
	planInputs  [4]int // of what the plan was made
	plan        []calendar.Verdict
}

// replanInterval is how long a plan holds before it is worked out anew.
const replanInterval = 20 * time.Second

// closedRetention is how long closed drains are remembered: longer than any clock that jumped back.
const closedRetention = 40 * 24 * time.Hour

func drainName(v calendar.Verdict) string {
	return v.Window + " " + v.ScheduledStart.UTC().Format(time.RFC3339)
}

// Tick does what is due. fleet is the node list as last heard, lost those of it that are not there.
func (k *Controller) Tick(now time.Time, fleet []calendar.Node, lost map[string]bool) error {
	if k.announced == nil {
		k.announced, k.suspended = map[string]bool{}, map[string]bool{}
	}
	cal, err := k.Store.Calendar()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	unfinished, err := k.Store.UnfinishedDrains()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	draining := map[string]bool{}
	for _, drain := range unfinished {
		for _, n := range drain.Verdict.Nodes {
			draining[n] = true
		}
	}
	k.blockedBy = func(v calendar.Verdict) string { return calendar.BlockedByLosses(v, fleet, lost, draining, k.Limits) }
	for _, drain := range unfinished { // first what was begun, by this life or an earlier one
		if err := k.advance(now, drain, cal); err != nil {
			return err
		}
	}
	if inputs := planInputsOf(cal, fleet); inputs != k.planInputs || now.Sub(k.plannedAt) > replanInterval || now.Before(k.plannedAt) {
		k.plannedAt, k.planInputs = now, inputs
		k.plan = calendar.Plan(cal, fleet, k.Limits, k.UsualLoad, now.Add(-8*24*time.Hour), now.Add(8*24*time.Hour))
	}
	for _, v := range k.plan {
		if v.Outcome == calendar.Refused || now.Before(v.DrainStart) || !now.Before(v.End) || len(v.Nodes) == 0 ||
			slices.ContainsFunc(unfinished, func(drain maintenancestore.Drain) bool { return drainName(drain.Verdict) == drainName(v) }) || !isScheduled(cal, v) {
			continue
		}
		drain, isNew, err := k.Store.BeginDrain(v, now)
		if err != nil {
			return fmt.Errorf("drains: %w", err)
		}
		if !isNew { // it was opened and closed before
			continue
		}
		for _, n := range v.Nodes {
			draining[n] = true
		}
		if err := k.advance(now, drain, cal); err != nil {
			return err
		}
	}
	if now.Sub(k.cleanedUpAt) > time.Hour {
		k.cleanedUpAt = now
		if err := k.Store.DeleteClosed(now.Add(-closedRetention)); err != nil {
			return fmt.Errorf("drains: %w", err)
		}
	}
	k.lastTick = now
	return nil
}

// planInputsOf tells calendars and fleets apart that differ in size; any other change is taken up when the plan is made anew.
func planInputsOf(cal *calendar.Calendar, fleet []calendar.Node) [4]int {
	cancelled := 0
	for i := range cal.Windows {
		cancelled += len(cal.Windows[i].Exceptions)
	}
	return [4]int{len(cal.Windows), len(cal.Protected), cancelled, 1 + len(fleet)}
}

// isScheduled tells whether the calendar still has an occurrence.
func isScheduled(cal *calendar.Calendar, v calendar.Verdict) bool {
	i := slices.IndexFunc(cal.Windows, func(w calendar.Window) bool { return w.ID == v.Window })
	return i >= 0 && !slices.ContainsFunc(cal.Windows[i].Exceptions, v.ScheduledStart.Equal)
}

// advance takes a drain as far as it can go now.
func (k *Controller) advance(now time.Time, drain maintenancestore.Drain, cal *calendar.Calendar) error {
	v := drain.Verdict
	setStage := func(s maintenancestore.Stage) error {
		if err := k.Store.AdvanceDrain(v.Window, v.ScheduledStart, s, now); err != nil {
			return fmt.Errorf("drains: %w", err)
		}
		return nil
	}
	if !k.announced[drainName(v)] { // after a restart it is announced again: to do so twice changes nothing, not to would
		k.Executor.SetDraining(v.Nodes, true)
		k.announced[drainName(v)] = true
		k.Executor.Log(fmt.Sprintf("window %s: %d nodes drain until %s", v.Window, len(v.Nodes), v.End.UTC().Format(time.RFC3339)))
		if err := setStage(maintenancestore.Announced); err != nil {
			return err
		}
	}
	running, all := k.Executor.CountRunning(v.Nodes)
	remaining := 0
	for _, n := range running {
		remaining += n
	}
	if remaining == 0 && drain.Stage < maintenancestore.Emptied {
		k.Executor.Log(fmt.Sprintf("window %s: empty after %.0f s", v.Window, now.Sub(drain.ReachedAt[maintenancestore.Opened]).Seconds()))
		if err := setStage(maintenancestore.Emptied); err != nil {
			return err
		}
	}
	cancelled := !isScheduled(cal, v)
	if cancelled || !now.Before(v.End) {
		return k.close(now, v, running, remaining, cancelled, setStage)
	}
	if reason := k.blockedBy(v); reason != "" { // nothing new goes there, but what runs stays while the rest has no room for it
		if !k.suspended[drainName(v)] {
			k.suspended[drainName(v)] = true
			k.Executor.Log(fmt.Sprintf("window %s: work is left where it is: %s", v.Window, reason))
		}
		return nil
	}
	delete(k.suspended, drainName(v))
	ms := func(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }
	for job, n := range running {
		if evictions := drainpace.Evictions(k.Policies[job], ms(now), ms(v.DrainStart), ms(v.Start), ms(k.lastTick), n, all); evictions > 0 {
			k.Executor.Evict(v.Nodes, job, evictions)
		}
	}
	return nil
}

// close brings the nodes of a window back, as its ending says.
func (k *Controller) close(now time.Time, v calendar.Verdict, running []int, remaining int, cancelled bool, setStage func(maintenancestore.Stage) error) error {
	if !cancelled && remaining > 0 {
		switch v.Ending {
		case calendar.Sweep:
			for job, n := range running {
				if k.Policies[job] != drainpace.RunOut {
					k.Executor.Evict(v.Nodes, job, n)
				}
			}
		case calendar.Hold:
			if now.Before(v.End.Add(v.End.Sub(v.Start))) { // at most once more its length
				return nil
			}
		}
	}
	unfinished, err := k.Store.UnfinishedDrains()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	returning := slices.Clone(v.Nodes)
	for _, b := range unfinished { // a node that another window holds stays out
		if drainName(b.Verdict) != drainName(v) {
			returning = slices.DeleteFunc(returning, func(n string) bool { return slices.Contains(b.Verdict.Nodes, n) })
		}
	}
	if err := setStage(maintenancestore.Closed); err != nil {
		return err
	}
	k.Executor.SetDraining(returning, false)
	delete(k.announced, drainName(v))
	outcome := "over"
	if cancelled {
		outcome = "cancelled"
	}
	k.Executor.Log(fmt.Sprintf("window %s: %s, %d nodes back, %d allocations still there", v.Window, outcome, len(returning), remaining))
	return nil
}
