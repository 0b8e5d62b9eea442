package sim

import (
	"fmt"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/maintenancestore"
)

var _ serve.MaintenanceStore = (*maintenanceStore)(nil)

// maintenanceStore stores a scheduler's maintenance windows and drains. As with the store on disk, they survive restarts of the process.
type maintenanceStore struct {
	process  *Process
	calendar calendar.Calendar
	drains   []maintenancestore.Drain
}

// open returns the store, or nil while there is no window. The scheduler opens the store once there is one.
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

// Loads returns an empty load, as the simulation measures none.
func (s *maintenanceStore) Loads() (*calendar.Load, *calendar.Table, error) {
	return &calendar.Load{}, nil, nil
}

// SaveMeasuredLoad discards the load.
func (s *maintenanceStore) SaveMeasuredLoad(*calendar.Load) error { return nil }

// find returns the drain of a window that was scheduled for a time, or nil if the drain has not begun.
func (s *maintenanceStore) find(window string, scheduled time.Time) *maintenancestore.Drain {
	for i := range s.drains {
		if v := &s.drains[i].Verdict; v.Window == window && v.ScheduledStart.Equal(scheduled) {
			return &s.drains[i]
		}
	}
	return nil
}

// BeginDrain records that a drain begins and reports whether it is new. If the process is killed during the call, the drain may or may not
// be recorded.
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

// AdvanceDrain records that a drain has reached a stage.
func (s *maintenanceStore) AdvanceDrain(window string, scheduled time.Time, stage maintenancestore.Stage, now time.Time) error {
	drain := s.find(window, scheduled)
	switch {
	case drain == nil:
		return fmt.Errorf("drain of maintenance window %q has not begun", window)
	case !s.process.effect():
		return errKilled
	case stage > drain.Stage:
		drain.Stage, drain.ReachedAt[stage] = stage, now
	}
	return nil
}

// UnfinishedDrains returns the drains that have begun and have not reached their last stage.
func (s *maintenanceStore) UnfinishedDrains() (open []maintenancestore.Drain, err error) {
	for _, drain := range s.drains {
		if drain.Stage < maintenancestore.Closed {
			open = append(open, drain)
		}
	}
	return open, nil
}

// DeleteClosed deletes nothing, as scripts are short.
func (s *maintenanceStore) DeleteClosed(time.Time) error { return nil }
