// Package maintenance carries out maintenance windows: it drains their nodes, evicts the work on them, and returns the nodes to service. Each
// step is stored on disk before it takes effect, so that a restarted process resumes a drain: a drain is stored before its nodes drain, and is
// stored as closed before they return.
//
// Tick takes the time, the node list and the lost nodes; an Executor carries out the decisions. The package uses no clock and no sockets. A
// Controller is not safe for concurrent use. All errors come from the store; the next Tick tries the step again.
package maintenance

import (
	"fmt"
	"slices"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/maintenancestore"
)

const (
	// replanInterval is the maximum age of a plan before it is recomputed.
	replanInterval = 20 * time.Second
	// planSpan is how far a plan extends into the past and into the future. It is longer than any window with its lead and slack.
	planSpan = 8 * 24 * time.Hour
	// cleanUpInterval is the time between two deletions of closed drains.
	cleanUpInterval = time.Hour
	// closedRetention is how long closed drains are kept. It is longer than any backward jump of the clock.
	closedRetention = 40 * 24 * time.Hour
)

// Executor carries out a Controller's decisions on the scheduler.
type Executor interface {
	// SetDraining starts or ends the drain of nodes. It is idempotent.
	SetDraining(nodes []string, draining bool)
	// CountRunning counts the running allocations on nodes by job class, and all those on the whole fleet.
	CountRunning(nodes []string) (byJob []int, fleet int)
	// Evict stops up to limit allocations of a job class on nodes, and returns how many it stopped.
	Evict(nodes []string, job, limit int) int
	// Log writes a log line for operators.
	Log(line string)
}

// Store stores the calendar and the drains that were begun. See package maintenancestore.
type Store interface {
	Calendar() (*calendar.Calendar, error)
	BeginDrain(v calendar.Verdict, now time.Time) (drain maintenancestore.Drain, isNew bool, err error)
	AdvanceDrain(window string, scheduledStart time.Time, stage maintenancestore.Stage, now time.Time) error
	UnfinishedDrains() ([]maintenancestore.Drain, error)
	DeleteClosed(before time.Time) error
}

// Controller carries out the maintenance windows in one process. Its exported fields must be set before the first Tick.
type Controller struct {
	Store     Store
	Executor  Executor
	Limits    calendar.Limits
	Policies  []drainpace.Policy    // by job class
	UsualLoad calendar.LoadEstimate // the same at every process that shares the calendar

	announced   map[string]bool // drains that this process has announced, by drainName
	suspended   map[string]bool // drains that evict nothing because too many nodes are lost, by drainName
	lastTick    time.Time
	cleanedUpAt time.Time

	plan       []calendar.Verdict
	plannedAt  time.Time
	planInputs inputSizes
}

// inputSizes holds the sizes of a plan's inputs. A plan is recomputed at once when one of them changes; other changes of the inputs take effect
// after replanInterval.
type inputSizes struct{ windows, protectedTimes, exceptions, nodes int }

func inputSizesOf(cal *calendar.Calendar, fleet []calendar.Node) inputSizes {
	sizes := inputSizes{windows: len(cal.Windows), protectedTimes: len(cal.Protected), nodes: 1 + len(fleet)}
	for i := range cal.Windows {
		sizes.exceptions += len(cal.Windows[i].Exceptions)
	}
	return sizes
}

// drainName returns a unique name for the drain of an occurrence of a window.
func drainName(v calendar.Verdict) string {
	return v.Window + " " + v.ScheduledStart.UTC().Format(time.RFC3339)
}

// Tick carries out what is due: it advances the unfinished drains, begins the due drains of the plan, and deletes drains that were closed long
// ago. lost is the set of unreachable nodes of the fleet.
func (c *Controller) Tick(now time.Time, fleet []calendar.Node, lost map[string]bool) error {
	if c.announced == nil {
		c.announced, c.suspended = map[string]bool{}, map[string]bool{}
	}
	cal, err := c.Store.Calendar()
	if err != nil {
		return storeError(err)
	}
	unfinished, err := c.Store.UnfinishedDrains()
	if err != nil {
		return storeError(err)
	}
	r := &round{Controller: c, now: now, calendar: cal, fleet: fleet, lost: lost, draining: map[string]bool{}}
	for _, drain := range unfinished {
		r.markDraining(drain.Verdict.Nodes)
	}
	for _, drain := range unfinished {
		if err := r.advance(drain); err != nil {
			return err
		}
	}
	c.updatePlan(now, cal, fleet)
	if err := r.beginDue(unfinished); err != nil {
		return err
	}
	if err := c.cleanUp(now); err != nil {
		return err
	}
	c.lastTick = now
	return nil
}

// updatePlan recomputes the plan if it is older than replanInterval, if the sizes of its inputs have changed, or if the clock went back.
func (c *Controller) updatePlan(now time.Time, cal *calendar.Calendar, fleet []calendar.Node) {
	sizes := inputSizesOf(cal, fleet)
	if sizes == c.planInputs && now.Sub(c.plannedAt) <= replanInterval && !now.Before(c.plannedAt) {
		return
	}
	c.plannedAt, c.planInputs = now, sizes
	c.plan = calendar.Plan(cal, fleet, c.Limits, c.UsualLoad, now.Add(-planSpan), now.Add(planSpan))
}

// cleanUp deletes drains that were closed longer than closedRetention ago, at most once per cleanUpInterval.
func (c *Controller) cleanUp(now time.Time) error {
	if now.Sub(c.cleanedUpAt) <= cleanUpInterval {
		return nil
	}
	c.cleanedUpAt = now
	if err := c.Store.DeleteClosed(now.Add(-closedRetention)); err != nil {
		return storeError(err)
	}
	return nil
}

// isScheduled reports whether the calendar still contains the occurrence that a verdict is for.
func isScheduled(cal *calendar.Calendar, v calendar.Verdict) bool {
	i := slices.IndexFunc(cal.Windows, func(w calendar.Window) bool { return w.ID == v.Window })
	return i >= 0 && !slices.ContainsFunc(cal.Windows[i].Exceptions, v.ScheduledStart.Equal)
}

func storeError(err error) error { return fmt.Errorf("maintenance windows: %w", err) }
