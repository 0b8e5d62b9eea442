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

// readCalendar decodes all events into one calendar.
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

// AddEvents adds all windows and protected times of c, or none if there is an error. An event replaces the stored event with the same ID. Both c
// and the resulting calendar are checked.
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

// putEvent writes a calendar with a single event under the ID of the event.
func putEvent(tx *bbolt.Tx, id string, event *calendar.Calendar, now time.Time) error {
	var b bytes.Buffer
	if err := ics.Encode(&b, event, now); err != nil {
		return fmt.Errorf("encode event %s: %w", id, err)
	}
	return tx.Bucket(eventBucket).Put([]byte(id), b.Bytes())
}

// CancelWindow removes a window from the calendar, or only one occurrence of it if start is not zero. A drain that was already begun continues
// until it is closed.
func (s *Store) CancelWindow(id string, start, now time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		events := tx.Bucket(eventBucket)
		text := events.Get([]byte(id))
		if text == nil {
			return fmt.Errorf("event %q: %w", id, ErrNotFound)
		}
		if start.IsZero() {
			return events.Delete([]byte(id))
		}
		c, err := ics.Decode(bytes.NewReader(text))
		if err != nil {
			return err
		}
		if len(c.Windows) != 1 {
			return fmt.Errorf("event %q is a protected time, of which no single occurrence can be cancelled", id)
		}
		c.Windows[0].Exceptions = append(c.Windows[0].Exceptions, start)
		return putEvent(tx, id, c, now)
	})
}
