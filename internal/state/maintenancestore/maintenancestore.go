// Package drains keeps maintenance windows and what has become of them in a store that survives crashes: a drain
// that was begun is not forgotten and not begun twice, wherever the process is killed.
package maintenancestore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/proto/ics"
	"ravenpond/internal/state/bolt"
)

// Format is the version of the store; one written by a later version is refused.
const Format = 1

// Errors of opening a store.
var (
	ErrDamaged  = bolt.ErrDamaged
	ErrNewer    = bolt.ErrNewer
	ErrLocked   = bolt.ErrLocked
	ErrNotFound = errors.New("no such window")
)

var (
	eventBucket  = []byte("events")
	drainBucket  = []byte("begun")
	loadBucket   = []byte("load") // made when it is first needed: stores of earlier versions lack it
	measuredKey  = []byte("measured")
	publishedKey = []byte("usual")
)

// Stage is how far a drain has come. It only grows.
type Stage uint8

const (
	Opened    Stage = iota + 1 // decided and on the disk; nobody may know yet
	Announced                  // the shards and the list were told
	Emptied                    // nothing is left on its nodes
	Closed                     // its nodes are back
)

func (s Stage) String() string { return [...]string{"", "opened", "announced", "emptied", "closed"}[s] }

// Drain is a drain that was begun, as it was decided then: a later change of the calendar or the fleet does not
// change it.
type Drain struct {
	Verdict   calendar.Verdict    `json:"Verdict"`
	Stage     Stage               `json:"Stage"`
	ReachedAt map[Stage]time.Time `json:"At"`
}

// Store is the store of one scheduler process.
type Store struct{ db *bbolt.DB }

// Exists tells whether a folder has a store.
func Exists(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, "drains.db"))
	return err == nil
}

// Open opens the store in a folder, or makes it. A damaged or later one is refused, not guessed at.
func Open(folder string) (*Store, error) {
	db, err := bolt.Open(filepath.Join(folder, "drains.db"), bolt.Schema{
		Format: Format, Buckets: [][]byte{eventBucket, drainBucket},
		Check: func(tx *bbolt.Tx) error {
			if _, err := readCalendar(tx); err != nil {
				return err
			}
			if _, err := readDrains(tx); err != nil {
				return err
			}
			_, _, err := readLoad(tx)
			return err
		},
	})
	if err != nil {
		return nil, fmt.Errorf("drains: %w", err)
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Calendar gives all windows and protected times.
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

// AddEvents puts windows and protected times into the store, all or none. One of a name that is there replaces it.
func (s *Store) AddEvents(c *calendar.Calendar, now time.Time) error {
	if err := c.Check(); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		events := tx.Bucket(eventBucket)
		put := func(id string, one calendar.Calendar) error {
			var b bytes.Buffer
			if err := ics.Encode(&b, &one, now); err != nil {
				return fmt.Errorf("%s: %w", id, err)
			}
			return events.Put([]byte(id), b.Bytes())
		}
		for i := range c.Windows {
			if err := put(c.Windows[i].ID, calendar.Calendar{Windows: c.Windows[i : i+1]}); err != nil {
				return err
			}
		}
		for i := range c.Protected {
			if err := put(c.Protected[i].ID, calendar.Calendar{Protected: c.Protected[i : i+1]}); err != nil {
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

// CancelWindow takes a window out of the calendar, or one start of it if that is given. A drain that was begun goes on
// until it is closed.
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
		var b bytes.Buffer
		if err := ics.Encode(&b, c, now); err != nil {
			return err
		}
		return events.Put([]byte(id), b.Bytes())
	})
}

// Loads gives the load that this process measured, and the one that was published for all, nil if none was.
func (s *Store) Loads() (measured *calendar.Load, published *calendar.Table, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		measured, published, err = readLoad(tx)
		return err
	})
	return measured, published, err
}

func readLoad(tx *bbolt.Tx) (measured *calendar.Load, published *calendar.Table, err error) {
	measured = &calendar.Load{}
	bucket := tx.Bucket(loadBucket)
	if bucket == nil {
		return measured, nil, nil
	}
	if b := bucket.Get(measuredKey); b != nil {
		if err := measured.UnmarshalBinary(b); err != nil {
			return nil, nil, err
		}
	}
	if b := bucket.Get(publishedKey); b != nil {
		if published, err = calendar.ReadTable(bytes.NewReader(b)); err != nil {
			return nil, nil, err
		}
	}
	return measured, published, nil
}

// SaveMeasuredLoad keeps what this process measured.
func (s *Store) SaveMeasuredLoad(l *calendar.Load) error {
	b, err := l.MarshalBinary()
	if err != nil {
		return err
	}
	return s.putLoad(measuredKey, b)
}

// PublishLoad keeps the load that verdicts rest on: the same at every process, as the calendar is. Without a table none
// is published any more.
func (s *Store) PublishLoad(l *calendar.Table) error {
	if l == nil {
		return s.putLoad(publishedKey, nil)
	}
	var b bytes.Buffer
	if err := l.Write(&b); err != nil {
		return err
	}
	return s.putLoad(publishedKey, b.Bytes())
}

func (s *Store) putLoad(key, value []byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(loadBucket)
		if err != nil {
			return err
		}
		if value == nil {
			return bucket.Delete(key)
		}
		return bucket.Put(key, value)
	})
}

// drainKey names an occurrence: window and nominal start.
func drainKey(window string, nominal time.Time) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(nominal.Unix()))
	return append(b, window...)
}

// BeginDrain notes that a drain begins, on the disk before it returns. It is false, with what was decided then, if that
// occurrence had begun before: nobody may begin it again.
func (s *Store) BeginDrain(v calendar.Verdict, now time.Time) (drain Drain, isNew bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket, k := tx.Bucket(drainBucket), drainKey(v.Window, v.ScheduledStart)
		if text := bucket.Get(k); text != nil {
			return json.Unmarshal(text, &drain)
		}
		drain, isNew = Drain{Verdict: v, Stage: Opened, ReachedAt: map[Stage]time.Time{Opened: now}}, true
		return putDrain(bucket, k, drain)
	})
	return drain, isNew && err == nil, err
}

func putDrain(bucket *bbolt.Bucket, k []byte, b Drain) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return bucket.Put(k, text)
}

// AdvanceDrain notes that a drain has come to a stage. A stage it has passed changes nothing.
func (s *Store) AdvanceDrain(window string, nominal time.Time, stage Stage, now time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket, k := tx.Bucket(drainBucket), drainKey(window, nominal)
		text := bucket.Get(k)
		if text == nil {
			return fmt.Errorf("%q of %s was not begun: %w", window, nominal.Format(time.RFC3339), ErrNotFound)
		}
		var drain Drain
		if err := json.Unmarshal(text, &drain); err != nil {
			return err
		}
		if stage <= drain.Stage {
			return nil
		}
		drain.Stage, drain.ReachedAt[stage] = stage, now
		return putDrain(bucket, k, drain)
	})
}

// UnfinishedDrains drains are those begun and not closed, in order of their nominal starts: what a restarted process goes on with.
func (s *Store) UnfinishedDrains() (open []Drain, err error) {
	all, err := s.Drains()
	for _, b := range all {
		if b.Stage < Closed {
			open = append(open, b)
		}
	}
	return open, err
}

// Drains gives all drains that were ever begun and not forgotten.
func (s *Store) Drains() (all []Drain, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		all, err = readDrains(tx)
		return err
	})
	return all, err
}

func readDrains(tx *bbolt.Tx) (all []Drain, err error) {
	err = tx.Bucket(drainBucket).ForEach(func(_, text []byte) error {
		var b Drain
		if err := json.Unmarshal(text, &b); err != nil {
			return err
		}
		if b.Stage < Opened || b.Stage > Closed {
			return fmt.Errorf("drain %q of unknown stage %d", b.Verdict.Window, b.Stage)
		}
		all = append(all, b)
		return nil
	})
	return all, err
}

// DeleteClosed drops closed drains that ended before a time.
func (s *Store) DeleteClosed(before time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		all, err := readDrains(tx)
		if err != nil {
			return err
		}
		for _, b := range all {
			if b.Stage == Closed && b.ReachedAt[Closed].Before(before) {
				if err := tx.Bucket(drainBucket).Delete(drainKey(b.Verdict.Window, b.Verdict.ScheduledStart)); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// CopyTo writes the whole store, as it is at one instant, to a file that Open can read.
func (s *Store) CopyTo(path string) error {
	return s.db.View(func(tx *bbolt.Tx) error { return tx.CopyFile(path, 0o640) })
}
