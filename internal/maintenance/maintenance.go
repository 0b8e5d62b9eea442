// Package maintenance carries out maintenance windows: it begins the drains of their nodes, has work moved off, and brings the nodes back.
// Each step is on the disk before it takes effect, so that a restarted process continues where it was.
//
// Tick gets the time, the node list and the lost nodes; an Executor executes what follows. The package uses no clock and no sockets. A
// Controller is not safe for concurrent use. Errors are those of the store: the step is tried again by the next Tick.
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
	// replanInterval is how long a plan is used before it is worked out anew.
	replanInterval = 20 * time.Second
	// planSpan is how far a plan reaches into the past and the future: longer than any window with its lead and slack.
	planSpan = 8 * 24 * time.Hour
	// cleanUpInterval is the time between two deletions of closed drains.
	cleanUpInterval = time.Hour
	// closedRetention is how long closed drains are kept: longer than any clock may jump back.
	closedRetention = 40 * 24 * time.Hour
)

// Executor executes on the scheduler what a Controller decides.
type Executor interface {
	// SetDraining starts or ends the drain of nodes. Repeating it has no effect.
	SetDraining(nodes []string, draining bool)
	// CountRunning counts the running allocations at nodes by job class, and those on the whole fleet.
	CountRunning(nodes []string) (byJob []int, fleet int)
	// Evict stops up to limit allocations of a job class at nodes, and returns how many it stopped.
	Evict(nodes []string, job, limit int) int
	// Log writes a line for operators.
	Log(line string)
}

// Store keeps the calendar and the drains that were begun. See package maintenancestore.
type Store interface {
	Calendar() (*calendar.Calendar, error)
	BeginDrain(v calendar.Verdict, now time.Time) (drain maintenancestore.Drain, isNew bool, err error)
	AdvanceDrain(window string, scheduledStart time.Time, stage maintenancestore.Stage, now time.Time) error
	UnfinishedDrains() ([]maintenancestore.Drain, error)
	DeleteClosed(before time.Time) error
}

// Controller carries out the windows at one process. Its exported fields are set before the first Tick.
type Controller struct {
	Store     Store
	Executor  Executor
	Limits    calendar.Limits
	Policies  []drainpace.Policy    // by job class
	UsualLoad calendar.LoadEstimate // the same at every process that shares the calendar

	announced   map[string]bool // by drainName: drains that this process has announced
	suspended   map[string]bool // by drainName: drains that evict nothing, as too many nodes are lost
	lastTick    time.Time
	cleanedUpAt time.Time

	plan       []calendar.Verdict
	plannedAt  time.Time
	planInputs inputSizes
}

// inputSizes are the sizes of what a plan was made from. A plan is made anew when one changes; other changes wait for replanInterval.
type inputSizes struct{ windows, protectedTimes, exceptions, nodes int }

func inputSizesOf(cal *calendar.Calendar, fleet []calendar.Node) inputSizes {
	sizes := inputSizes{windows: len(cal.Windows), protectedTimes: len(cal.Protected), nodes: 1 + len(fleet)}
	for i := range cal.Windows {
		sizes.exceptions += len(cal.Windows[i].Exceptions)
	}
	return sizes
}

// drainName names an occurrence of a window.
func drainName(v calendar.Verdict) string {
	return v.Window + " " + v.ScheduledStart.UTC().Format(time.RFC3339)
}

// Tick does what is due: it advances the unfinished drains, begins those of the plan whose time has come, and deletes old ones. lost are
// the nodes of the fleet that are unreachable.
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

// updatePlan makes the plan anew if the present one is old, or was made of something else.
func (c *Controller) updatePlan(now time.Time, cal *calendar.Calendar, fleet []calendar.Node) {
	sizes := inputSizesOf(cal, fleet)
	if sizes == c.planInputs && now.Sub(c.plannedAt) <= replanInterval && !now.Before(c.plannedAt) {
		return
	}
	c.plannedAt, c.planInputs = now, sizes
	c.plan = calendar.Plan(cal, fleet, c.Limits, c.UsualLoad, now.Add(-planSpan), now.Add(planSpan))
}

// cleanUp deletes drains that were closed long ago.
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

// isScheduled reports whether the calendar still has the occurrence that a verdict is about.
func isScheduled(cal *calendar.Calendar, v calendar.Verdict) bool {
	i := slices.IndexFunc(cal.Windows, func(w calendar.Window) bool { return w.ID == v.Window })
	return i >= 0 && !slices.ContainsFunc(cal.Windows[i].Exceptions, v.ScheduledStart.Equal)
}

func storeError(err error) error { return fmt.Errorf("drains: %w", err) }
