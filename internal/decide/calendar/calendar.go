// Package calendar decides when nodes are drained for maintenance: which windows are kept, which are postponed within their slack, which are
// refused, and why. The same calendar, fleet and load lead to the same verdicts wherever and whenever they are worked out: nothing depends
// on the present time, so that processes that share a calendar need not agree on verdicts.
//
// Times are time.Time, because rules recur in a time zone with its daylight saving time. The functions keep no state; a Load is not safe for
// concurrent use.
package calendar

import (
	"errors"
	"fmt"
	"time"
)

// Scope is what a window drains. The values are part of stored records.
type Scope uint8

// Scopes of a window.
const (
	OneNode Scope = iota
	Cell
	Zone
)

// String returns the name that texts show.
func (s Scope) String() string { return [...]string{"node", "cell", "zone"}[s] }

// Ending is what happens if nodes are not empty at the end of their window. The values are part of stored records.
type Ending uint8

// Endings of a window.
const (
	Release Ending = iota // the nodes come back as they are
	Sweep                 // what may be stopped is stopped, then they come back
	Hold                  // they come back when they are empty, or when the window's duration has passed once more
)

// String returns the name that texts show.
func (e Ending) String() string { return [...]string{"release", "sweep", "hold"}[e] }

// Window is a maintenance window, once or recurring.
type Window struct {
	ID         string
	Scope      Scope
	Target     string        // ID of the node, or name of the cell or zone
	Start      time.Time     // of the first occurrence, in the time zone that the rule follows
	Duration   time.Duration // how long the nodes are out
	Rule       string        // RFC 5545 recurrence rule, empty: once
	Lead       time.Duration // how long before Start the drain begins
	Slack      time.Duration // by how much the window may be postponed
	Priority   int           // a higher one is decided first
	CreatedAt  time.Time     // at equal priority the oldest is decided first
	Ending     Ending
	Exceptions []time.Time // starts that are cancelled
}

// ProtectedTime is a time in which no window may be open, once or recurring.
type ProtectedTime struct {
	ID         string
	Start      time.Time
	Duration   time.Duration
	Rule       string        // RFC 5545 recurrence rule, empty: once
	Lead, Tail time.Duration // protected before and after
}

// Node is a node of the fleet.
type Node struct {
	ID               string
	Zone, Cell, Kind string
	Cores, Memory    float64
}

// Limits bound what windows may take out at once.
type Limits struct {
	Fleet, Zone, Kind float64       // fractions of the fleet, of a zone and of the nodes of a kind
	MaxWarmingUp      int           // nodes that may come back within WarmUp; 0: any number
	WarmUp            time.Duration // how long a node that came back is warming up
	LoadMargin        float64       // the remaining nodes must have room for the usual load times this
	ClockGuard        time.Duration // how far clocks and lists of processes may differ: windows are kept apart by twice that
}

// Calendar is a set of windows and protected times.
type Calendar struct {
	Windows   []Window
	Protected []ProtectedTime
}

// maxSpan bounds lead, duration and slack of a window together, so that verdicts of a week depend on that week and the one before it alone.
const maxSpan = 6 * 24 * time.Hour

// Check returns an error with all faults of a calendar. A window whose target is not in the fleet is no fault, as node lists may be stale:
// it drains nothing.
func (c *Calendar) Check() error {
	var faults []error
	seen := map[string]bool{}
	for i := range c.Windows {
		w := &c.Windows[i]
		if w.ID == "" || seen[w.ID] {
			faults = append(faults, w.fault("name missing or twice"))
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

func (w *Window) fault(format string, args ...any) error {
	return fmt.Errorf("window %q: %s", w.ID, fmt.Sprintf(format, args...))
}

func (w *Window) check() (faults []error) {
	if w.Target == "" {
		faults = append(faults, w.fault("no place"))
	}
	if w.Duration <= 0 || w.Lead < 0 || w.Slack < 0 {
		faults = append(faults, w.fault("impossible length %s, lead %s or slack %s", w.Duration, w.Lead, w.Slack))
	}
	if span := w.Lead + w.Duration + w.Slack; span > maxSpan {
		faults = append(faults, w.fault("lead, length and slack of %s together, at most %s", span, maxSpan))
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
		return errors.New("impossible start, length, lead or tail")
	}
	_, err := parseRule(p.Rule, p.Start)
	return err
}
