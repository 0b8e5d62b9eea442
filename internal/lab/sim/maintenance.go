package sim

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/maintenancestore"
)

var _ serve.MaintenanceStore = (*maintenanceStore)(nil)

// maintenanceStore keeps a scheduler's maintenance windows and drains, as the store on disk does, while the process ends and starts again.
type maintenanceStore struct {
	process  *Process
	calendar calendar.Calendar
	drains   []maintenancestore.Drain
}

// open returns the store, nil while there is no window: a scheduler opens it then.
func (s *maintenanceStore) open() serve.MaintenanceStore {
	if len(s.calendar.Windows) == 0 {
		return nil
	}
	return s
}

// Close implements serve.MaintenanceStore.
func (s *maintenanceStore) Close() error { return nil }

// Calendar returns all windows.
func (s *maintenanceStore) Calendar() (*calendar.Calendar, error) { return &s.calendar, nil }

// Loads returns no load: none is measured.
func (s *maintenanceStore) Loads() (*calendar.Load, *calendar.Table, error) {
	return &calendar.Load{}, nil, nil
}

// SaveMeasuredLoad drops the load.
func (s *maintenanceStore) SaveMeasuredLoad(*calendar.Load) error { return nil }

// find returns the drain of a window that was scheduled for a time, nil if it has not begun.
func (s *maintenanceStore) find(window string, scheduled time.Time) *maintenancestore.Drain {
	for i := range s.drains {
		if v := &s.drains[i].Verdict; v.Window == window && v.ScheduledStart.Equal(scheduled) {
			return &s.drains[i]
		}
	}
	return nil
}

// BeginDrain notes once that a drain begins, and reports whether it is new. If the process is killed within the call, the drain is noted or
// not.
func (s *maintenanceStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	if drain := s.find(v.Window, v.ScheduledStart); drain != nil {
		return *drain, false, nil
	}
	alive := s.process.effect()
	drain := maintenancestore.Drain{Verdict: v, Stage: maintenancestore.Opened, ReachedAt: map[maintenancestore.Stage]time.Time{maintenancestore.Opened: now}}
	if alive || s.process.clock.rng.IntN(2) == 0 {
		s.drains = append(s.drains, drain)
	}
	if !alive {
		return drain, false, errKilled
	}
	return drain, true, nil
}

// AdvanceDrain notes that a drain has reached a stage.
func (s *maintenanceStore) AdvanceDrain(window string, scheduled time.Time, stage maintenancestore.Stage, now time.Time) error {
	drain := s.find(window, scheduled)
	switch {
	case drain == nil:
		return fmt.Errorf("%q was not begun", window)
	case !s.process.effect():
		return errKilled
	case stage > drain.Stage:
		drain.Stage, drain.ReachedAt[stage] = stage, now
	}
	return nil
}

// UnfinishedDrains returns the drains that have begun and are not closed.
func (s *maintenanceStore) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, drain := range s.drains {
		if drain.Stage < maintenancestore.Closed {
			open = append(open, drain)
		}
	}
	return open, nil
}

// DeleteClosed deletes nothing: a script is short.
func (s *maintenanceStore) DeleteClosed(time.Time) error { return nil }
