package drill

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/state/maintenancestore"
)

// saveWindows writes the day's maintenance windows to a scheduler's calendar before its first start.
func (p *drillRun) saveWindows(folder string) error {
	if len(p.Day.windows) == 0 || maintenancestore.Exists(folder) {
		return nil
	}
	store, err := maintenancestore.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(store.AddEvents(p.calendar(), time.Now()), store.Close())
}

// calendar returns the day's maintenance windows as a calendar.
func (p *drillRun) calendar() *calendar.Calendar {
	cal := &calendar.Calendar{}
	for _, w := range p.Day.windows {
		win := calendar.Window{
			ID: w.name, Scope: calendar.Cell, Target: w.cell, Start: p.wallTime(w.at), Duration: time.Duration(w.duration * 1e6),
			Lead: time.Duration(w.lead * 1e6), Ending: calendar.Ending(w.ending),
		}
		if w.zone != "" {
			win.Scope, win.Target = calendar.Zone, w.zone
		}
		cal.Windows = append(cal.Windows, win)
	}
	return cal
}

// checkWindows returns an error unless the calendar would keep every window of the day as scheduled. It is then known beforehand which nodes
// drain and when.
func (p *drillRun) checkWindows() error {
	if len(p.Day.windows) == 0 {
		return nil
	}
	var fleet []calendar.Node
	for _, n := range p.nodes {
		kind := slices.Index(p.Deployment.MachineKinds, n.Kind)
		fleet = append(fleet, calendar.Node{
			ID: strconv.FormatUint(uint64(n.ID), 10), Zone: n.Zone, Cell: n.Cell, Kind: n.Kind,
			Cores: p.Deployment.Cluster.KindCores[kind], Memory: p.Deployment.Cluster.KindMemory[kind],
		})
	}
	cal := p.calendar()
	for _, v := range calendar.Plan(cal, fleet, p.Deployment.Maintenance, nil, p.startedAt.Add(-time.Hour), p.startedAt.Add(24*time.Hour)) {
		if v.Outcome != calendar.Kept || len(v.Nodes) == 0 {
			return fmt.Errorf("maintenance window %s: outcome %s with %d nodes, want kept with at least 1: %s", v.Window, v.Outcome, len(v.Nodes), v.Reason)
		}
	}
	return nil
}

// wallTime converts a time of the day, in ms, to a time of the wall clock in whole seconds, which is the resolution of a calendar.
func (p *drillRun) wallTime(ms float64) time.Time {
	return p.startedAt.Add(time.Duration(ms * 1e6)).UTC().Truncate(time.Second)
}

// recordWindows adds to the trace when the calendar drains nodes and when it returns them to service.
func (p *drillRun) recordWindows() {
	for _, w := range p.Day.windows {
		recordAt := func(at time.Time, detail string) {
			p.startBackground(func() {
				if !p.sleep(float64(time.Until(at)) / 1e6) {
					return
				}
				p.Logf("%6.1f s  window %s: %s", p.testbed.Now()/1000, w.name, detail)
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, n := range p.nodes {
					if w.cell != "" && n.Cell == w.cell || w.zone != "" && n.Zone == w.zone {
						p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.MaintenanceChanged, Node: n.ID, Detail: detail})
					}
				}
			})
		}
		recordAt(p.wallTime(w.at-w.lead), "out") // the drain grace begins here
		recordAt(p.wallTime(w.at+w.duration).Add(-time.Second), "back")
	}
}
