// Package calendar decides when nodes are drained for maintenance: which maintenance windows are kept, which are postponed within their slack,
// which are refused, and why. The same calendar, fleet and load give the same verdicts wherever and whenever they are computed: nothing
// depends on the present time, so processes that share a calendar need no agreement on verdicts.
//
// Times are time.Time values, because rules recur in a time zone with its daylight saving time. The functions keep no state. A Load is not
// safe for concurrent use.
package calendar

import (
	"errors"
	"fmt"
	"time"
)

// Scope says whether a window drains a node, a cell or a zone. The values are part of stored records.
type Scope uint8

// Scopes of a window.
const (
	OneNode Scope = iota
	Cell
	Zone
)

// String returns the name that is shown to operators.
func (s Scope) String() string { return [...]string{"node", "cell", "zone"}[s] }

// Ending is what happens if tasks are left on the nodes at the end of their window. The values are part of stored records.
type Ending uint8

// Endings of a window.
const (
	Release Ending = iota // the nodes return to service as they are
	Sweep                 // the tasks that may be stopped are stopped, then the nodes return to service
	Hold                  // the nodes return when they are empty, or when the window's duration has passed once more
)

// String returns the name that is shown to operators.
func (e Ending) String() string { return [...]string{"release", "sweep", "hold"}[e] }

// Window is a maintenance window, which occurs once or recurs.
type Window struct {
	ID         string
	Scope      Scope
	Target     string        // ID of the node, or name of the cell or zone
	Start      time.Time     // of the first occurrence, in the time zone that the rule follows
	Duration   time.Duration // how long the nodes are out of service
	Rule       string        // RFC 5545 recurrence rule; an empty one stands for a single occurrence
	Lead       time.Duration // how long before Start the drain begins
	Slack      time.Duration // by how much the window may be postponed
	Priority   int           // windows with higher values are decided first
	CreatedAt  time.Time     // at equal priority, the oldest window is decided first
	Ending     Ending
	Exceptions []time.Time // starts of cancelled occurrences
}

// ProtectedTime is a time in which no window may be open. It occurs once or recurs.
type ProtectedTime struct {
	ID         string
	Start      time.Time
	Duration   time.Duration
	Rule       string        // RFC 5545 recurrence rule; an empty one stands for a single occurrence
	Lead, Tail time.Duration // times before and after that are protected as well
}

// Node is a node of the fleet.
type Node struct {
	ID               string
	Zone, Cell, Kind string
	Cores, Memory    float64
}

// Limits bounds how many nodes windows may take out of service at once.
type Limits struct {
	Fleet, Zone, Kind float64       // maximum fractions of the fleet, of a zone and of the nodes of a kind
	MaxWarmingUp      int           // maximum number of nodes that return to service within WarmUp; 0: any number
	WarmUp            time.Duration // how long a node is warming up after its return
	LoadMargin        float64       // the remaining nodes must have room for the usual load multiplied by this
	ClockGuard        time.Duration // how much clocks and node lists of processes may differ in time: windows are kept apart by twice that
}

// Calendar is a set of windows and protected times.
type Calendar struct {
	Windows   []Window
	Protected []ProtectedTime
}

// maxSpan bounds the sum of a window's lead, duration and slack, so that the verdicts of a week depend only on that week and the one before.
const maxSpan = 6 * 24 * time.Hour

// Check returns an error with all faults of a calendar. A window whose target is not in the fleet is valid, because node lists may be stale;
// it drains nothing.
func (c *Calendar) Check() error {
	var faults []error
	seen := map[string]bool{}
	for i := range c.Windows {
		w := &c.Windows[i]
		if w.ID == "" || seen[w.ID] {
			faults = append(faults, w.fault("name missing or not unique"))
		}
		seen[w.ID] = true
		faults = append(faults, w.check()...)
	}
	for i := range c.Protected {
		if err := c.Protected[i].check(); err != nil {
			faults = append(faults, fmt.Errorf("protected time %q: %w", c.Protected[i].ID, err))
		}
	}
	return errors.Join(faults...)
}

// fault returns an error that names the window.
func (w *Window) fault(format string, args ...any) error {
	return fmt.Errorf("window %q: %s", w.ID, fmt.Sprintf(format, args...))
}

func (w *Window) check() (faults []error) {
	if w.Target == "" {
		faults = append(faults, w.fault("no place to drain"))
	}
	if w.Duration <= 0 || w.Lead < 0 || w.Slack < 0 {
		faults = append(faults, w.fault("invalid length %s, lead %s or slack %s", w.Duration, w.Lead, w.Slack))
	}
	if span := w.Lead + w.Duration + w.Slack; span > maxSpan {
		faults = append(faults, w.fault("lead, length and slack are %s together, want at most %s", span, maxSpan))
	}
	if w.Start.IsZero() {
		faults = append(faults, w.fault("no start"))
	} else if _, err := parseRule(w.Rule, w.Start); err != nil {
		faults = append(faults, w.fault("%v", err))
	}
	return faults
}

func (p *ProtectedTime) check() error {
	if p.Duration <= 0 || p.Lead < 0 || p.Tail < 0 || p.Start.IsZero() {
		return errors.New("start missing, length not positive, or lead or tail negative")
	}
	_, err := parseRule(p.Rule, p.Start)
	return err
}
