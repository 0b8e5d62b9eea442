package sim

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/maintenancestore"
)

// store keeps maintenance windows as the real one does, over the deaths of its process.
type store struct {
	p     *Process
	cal   calendar.Calendar
	begun []maintenancestore.Drain
}

func newStore(p *Process) *store { return &store{p: p} }

func (s *store) open() serve.MaintenanceStore {
	if len(s.cal.Windows) == 0 {
		return nil
	}
	return s
}

func (s *store) Close() error { return nil }

// Calendar gives all windows.
func (s *store) Calendar() (*calendar.Calendar, error) { return &s.cal, nil }

// Loads knows of no load.
func (s *store) Loads() (*calendar.Load, *calendar.Table, error) { return &calendar.Load{}, nil, nil }

// SaveMeasuredLoad keeps nothing.
func (s *store) SaveMeasuredLoad(*calendar.Load) error { return nil }

func (s *store) find(window string, nominal time.Time) *maintenancestore.Drain {
	for i := range s.begun {
		if v := &s.begun[i].Verdict; v.Window == window && v.ScheduledStart.Equal(nominal) {
			return &s.begun[i]
		}
	}
	return nil
}

// BeginDrain notes that a drain begins, once. A process killed in the midst of it has or has not.
func (s *store) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if b := s.find(v.Window, v.ScheduledStart); b != nil {
		return *b, false, nil
	}
	alive := s.p.effect()
	b := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	if alive || s.p.c.rng.IntN(2) == 0 {
		s.begun = append(s.begun, b)
	}
	if !alive {
		return b, false, errKilled
	}
	return b, true, nil
}

// AdvanceDrain notes a stage.
func (s *store) AdvanceDrain(window string, nominal time.Time, stage maintenancestore.Stage, now time.Time) error {
	b := s.find(window, nominal)
	switch {
	case b == nil:
		return fmt.Errorf("%q was not begun", window)
	case !s.p.effect():
		return errKilled
	case stage > b.Stage:
		b.Stage, b.ReachedAt[stage] = stage, now
	}
	return nil
}

// UnfinishedDrains gives drains begun and not closed.
func (s *store) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, b := range s.begun {
		if b.Stage < maintenancestore.Closed {
			open = append(open, b)
		}
	}
	return open, nil
}

// DeleteClosed forgets nothing: a script is short.
func (s *store) DeleteClosed(time.Time) error { return nil }
