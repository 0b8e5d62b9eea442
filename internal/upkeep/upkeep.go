// Package upkeep carries out maintenance windows: it opens them, has work moved off, and closes them, step by step and
// each step on the disk first. It is free of sockets and clocks; Tick is given the time, and the hands that act.
package upkeep

import (
	"fmt"
	"slices"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/drains"
)

// Hands act on the scheduler.
type Hands interface {
	// Out takes nodes out or brings them back; doing it again changes nothing.
	Out(nodes []string, out bool)
	// Running counts what runs at nodes, and on the whole fleet, by job type.
	Running(nodes []string) (there []int, all int)
	// MoveOff stops up to so many allocations of a job type at nodes.
	MoveOff(nodes []string, job, most int) int
	Log(line string)
}

// Store keeps what was begun.
type Store interface {
	Calendar() (*calendar.Calendar, error)
	BeginDrain(v calendar.Verdict, now time.Time) (drains.Drain, bool, error)
	AdvanceDrain(window string, nominal time.Time, stage drains.Stage, now time.Time) error
	UnfinishedDrains() ([]drains.Drain, error)
	DeleteClosed(before time.Time) error
}

// Keeper carries out one process's windows.
type Keeper struct {
	Store   Store
	Hands   Hands
	Limits  calendar.Limits
	Manners []drainpace.Manner // by job type
	Load    calendar.Usual     // the same at every process that shares the calendar

	told    map[string]bool // drains announced in this life of the process
	spared  map[string]bool // and those whose work is left alone, as too much is lost
	world   func(calendar.Verdict) string
	last    time.Time
	planned time.Time
	forgot  time.Time
	made    [4]int // of what the plan was made
	plan    []calendar.Verdict
}

// again is how long a plan holds before it is worked out anew.
const again = 20 * time.Second

// keepClosed is how long closed drains are remembered: longer than any clock that jumped back.
const keepClosed = 40 * 24 * time.Hour

func name(v calendar.Verdict) string { return v.Window + " " + v.Nominal.UTC().Format(time.RFC3339) }

// Tick does what is due. fleet is the node list as last heard, lost those of it that are not there.
func (k *Keeper) Tick(now time.Time, fleet []calendar.Node, lost map[string]bool) error {
	if k.told == nil {
		k.told, k.spared = map[string]bool{}, map[string]bool{}
	}
	cal, err := k.Store.Calendar()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	open, err := k.Store.UnfinishedDrains()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	out := map[string]bool{}
	for _, b := range open {
		for _, n := range b.Verdict.Nodes {
			out[n] = true
		}
	}
	k.world = func(v calendar.Verdict) string { return calendar.Strained(v, fleet, lost, out, k.Limits) }
	for _, b := range open { // first what was begun, by this life or an earlier one
		if err := k.goOn(now, b, cal); err != nil {
			return err
		}
	}
	if made := mark(cal, fleet); made != k.made || now.Sub(k.planned) > again || now.Before(k.planned) {
		k.planned, k.made = now, made
		k.plan = calendar.Plan(cal, fleet, k.Limits, k.Load, now.Add(-8*24*time.Hour), now.Add(8*24*time.Hour))
	}
	for _, v := range k.plan {
		if v.Outcome == calendar.Refused || now.Before(v.Drain) || !now.Before(v.End) || len(v.Nodes) == 0 ||
			slices.ContainsFunc(open, func(b drains.Drain) bool { return name(b.Verdict) == name(v) }) || !stands(cal, v) {
			continue
		}
		b, fresh, err := k.Store.BeginDrain(v, now)
		if err != nil {
			return fmt.Errorf("drains: %w", err)
		}
		if !fresh { // it was opened and closed before
			continue
		}
		for _, n := range v.Nodes {
			out[n] = true
		}
		if err := k.goOn(now, b, cal); err != nil {
			return err
		}
	}
	if now.Sub(k.forgot) > time.Hour {
		k.forgot = now
		if err := k.Store.DeleteClosed(now.Add(-keepClosed)); err != nil {
			return fmt.Errorf("drains: %w", err)
		}
	}
	k.last = now
	return nil
}

// mark tells calendars and fleets apart that differ in size; any other change is taken up when the plan is made anew.
func mark(cal *calendar.Calendar, fleet []calendar.Node) [4]int {
	cancelled := 0
	for i := range cal.Windows {
		cancelled += len(cal.Windows[i].Except)
	}
	return [4]int{len(cal.Windows), len(cal.Protected), cancelled, 1 + len(fleet)}
}

// stands tells whether the calendar still has an occurrence.
func stands(cal *calendar.Calendar, v calendar.Verdict) bool {
	i := slices.IndexFunc(cal.Windows, func(w calendar.Window) bool { return w.ID == v.Window })
	return i >= 0 && !slices.ContainsFunc(cal.Windows[i].Except, v.Nominal.Equal)
}

// goOn takes a drain as far as it can go now.
func (k *Keeper) goOn(now time.Time, b drains.Drain, cal *calendar.Calendar) error {
	v := b.Verdict
	reach := func(s drains.Stage) error {
		if err := k.Store.AdvanceDrain(v.Window, v.Nominal, s, now); err != nil {
			return fmt.Errorf("drains: %w", err)
		}
		return nil
	}
	if !k.told[name(v)] { // after a restart it is announced again: to do so twice changes nothing, not to would
		k.Hands.Out(v.Nodes, true)
		k.told[name(v)] = true
		k.Hands.Log(fmt.Sprintf("window %s: %d nodes drain until %s", v.Window, len(v.Nodes), v.End.UTC().Format(time.RFC3339)))
		if err := reach(drains.Announced); err != nil {
			return err
		}
	}
	there, all := k.Hands.Running(v.Nodes)
	left := 0
	for _, n := range there {
		left += n
	}
	if left == 0 && b.Stage < drains.Emptied {
		k.Hands.Log(fmt.Sprintf("window %s: empty after %.0f s", v.Window, now.Sub(b.ReachedAt[drains.Opened]).Seconds()))
		if err := reach(drains.Emptied); err != nil {
			return err
		}
	}
	cancelled := !stands(cal, v)
	if cancelled || !now.Before(v.End) {
		return k.close(now, v, there, left, cancelled, reach)
	}
	if why := k.world(v); why != "" { // nothing new goes there, but what runs stays while the rest has no room for it
		if !k.spared[name(v)] {
			k.spared[name(v)] = true
			k.Hands.Log(fmt.Sprintf("window %s: work is left where it is: %s", v.Window, why))
		}
		return nil
	}
	delete(k.spared, name(v))
	ms := func(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }
	for job, n := range there {
		if most := drainpace.Moves(k.Manners[job], ms(now), ms(v.Drain), ms(v.Start), ms(k.last), n, all); most > 0 {
			k.Hands.MoveOff(v.Nodes, job, most)
		}
	}
	return nil
}

// close brings the nodes of a window back, as its ending says.
func (k *Keeper) close(now time.Time, v calendar.Verdict, there []int, left int, cancelled bool, reach func(drains.Stage) error) error {
	if !cancelled && left > 0 {
		switch v.Ending {
		case calendar.Sweep:
			for job, n := range there {
				if k.Manners[job] != drainpace.RunOut {
					k.Hands.MoveOff(v.Nodes, job, n)
				}
			}
		case calendar.Hold:
			if now.Before(v.End.Add(v.End.Sub(v.Start))) { // at most once more its length
				return nil
			}
		}
	}
	others, err := k.Store.UnfinishedDrains()
	if err != nil {
		return fmt.Errorf("drains: %w", err)
	}
	back := slices.Clone(v.Nodes)
	for _, b := range others { // a node that another window holds stays out
		if name(b.Verdict) != name(v) {
			back = slices.DeleteFunc(back, func(n string) bool { return slices.Contains(b.Verdict.Nodes, n) })
		}
	}
	if err := reach(drains.Closed); err != nil {
		return err
	}
	k.Hands.Out(back, false)
	delete(k.told, name(v))
	word := "over"
	if cancelled {
		word = "cancelled"
	}
	k.Hands.Log(fmt.Sprintf("window %s: %s, %d nodes back, %d allocations still there", v.Window, word, len(back), left))
	return nil
}
