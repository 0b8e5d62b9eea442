package maintenancestore

import (
	"bytes"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/proto/ics"
)

// Calendar returns all windows and protected times.
func (s *Store) Calendar() (c *calendar.Calendar, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c, err = readCalendar(tx)
		return err
	})
	return c, err
}

func readCalendar(tx *bbolt.Tx) (*calendar.Calendar, error) {
	all := &calendar.Calendar{}
	err := tx.Bucket(eventBucket).ForEach(func(_, text []byte) error {
		c, err := ics.Decode(bytes.NewReader(text))
		if err != nil {
			return err
		}
		all.Windows = append(all.Windows, c.Windows...)
		all.Protected = append(all.Protected, c.Protected...)
		return nil
	})
	return all, err
}

// AddEvents adds windows and protected times, all or none. One replaces an event of its name. The calendar is checked before and after.
func (s *Store) AddEvents(c *calendar.Calendar, now time.Time) error {
	if err := c.Check(); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		for i := range c.Windows {
			if err := putEvent(tx, c.Windows[i].ID, &calendar.Calendar{Windows: c.Windows[i : i+1]}, now); err != nil {
				return err
			}
		}
		for i := range c.Protected {
			if err := putEvent(tx, c.Protected[i].ID, &calendar.Calendar{Protected: c.Protected[i : i+1]}, now); err != nil {
				return err
			}
		}
		all, err := readCalendar(tx)
		if err != nil {
			return err
		}
		return all.Check()
	})
}

// putEvent writes a calendar of one event under its name.
func putEvent(tx *bbolt.Tx, id string, event *calendar.Calendar, now time.Time) error {
	var b bytes.Buffer
	if err := ics.Encode(&b, event, now); err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	return tx.Bucket(eventBucket).Put([]byte(id), b.Bytes())
}

// CancelWindow removes a window from the calendar, or one of its starts if that is given. A drain that was begun goes on until it is closed.
func (s *Store) CancelWindow(id string, start, now time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		events := tx.Bucket(eventBucket)
		text := events.Get([]byte(id))
		if text == nil {
			return fmt.Errorf("%q: %w", id, ErrNotFound)
		}
		if start.IsZero() {
			return events.Delete([]byte(id))
		}
		c, err := ics.Decode(bytes.NewReader(text))
		if err != nil {
			return err
		}
		if len(c.Windows) != 1 {
			return fmt.Errorf("%q is a protected time, which has no starts to cancel", id)
		}
		c.Windows[0].Exceptions = append(c.Windows[0].Exceptions, start)
		return putEvent(tx, id, c, now)
	})
}
