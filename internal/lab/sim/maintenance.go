package sim

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/maintenancestore"
)

// maintenanceStore keeps maintenance windows as the real one does, over the deaths of its process.
type maintenanceStore struct {
	process  *Process
	calendar calendar.Calendar
	begun    []maintenancestore.Drain
}

func newMaintenanceStore(p *Process) *maintenanceStore { return &maintenanceStore{process: p} }

func (s *maintenanceStore) open() serve.MaintenanceStore {
	if len(s.calendar.Windows) == 0 {
		return nil
	}
	return s
}

func (s *maintenanceStore) Close() error { return nil }

// Calendar gives all windows.
func (s *maintenanceStore) Calendar() (*calendar.Calendar, error) { return &s.calendar, nil }

// Loads knows of no load.
func (s *maintenanceStore) Loads() (*calendar.Load, *calendar.Table, error) {
	return &calendar.Load{}, nil, nil
}

// SaveMeasuredLoad keeps nothing.
func (s *maintenanceStore) SaveMeasuredLoad(*calendar.Load) error { return nil }

func (s *maintenanceStore) find(window string, nominal time.Time) *maintenancestore.Drain {
	for i := range s.begun {
		if v := &s.begun[i].Verdict; v.Window == window && v.ScheduledStart.Equal(nominal) {
			return &s.begun[i]
		}
	}
	return nil
}

// BeginDrain notes that a drain begins, once. A process killed in the midst of it has or has not.
func (s *maintenanceStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if b := s.find(v.Window, v.ScheduledStart); b != nil {
		return *b, false, nil
	}
	alive := s.process.effect()
	b := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	if alive || s.process.clock.rng.IntN(2) == 0 {
		s.begun = append(s.begun, b)
	}
	if !alive {
		return b, false, errKilled
	}
	return b, true, nil
}

// AdvanceDrain notes a stage.
func (s *maintenanceStore) AdvanceDrain(window string, nominal time.Time, stage maintenancestore.Stage, now time.Time) error {
	b := s.find(window, nominal)
	switch {
	case b == nil:
		return fmt.Errorf("%q was not begun", window)
	case !s.process.effect():
		return errKilled
	case stage > b.Stage:
		b.Stage, b.ReachedAt[stage] = stage, now
	}
	return nil
}

// UnfinishedDrains gives drains begun and not closed.
func (s *maintenanceStore) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, b := range s.begun {
		if b.Stage < maintenancestore.Closed {
			open = append(open, b)
		}
	}
	return open, nil
}

// DeleteClosed forgets nothing: a script is short.
func (s *maintenanceStore) DeleteClosed(time.Time) error { return nil }
