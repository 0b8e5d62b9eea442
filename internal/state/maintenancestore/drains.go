package maintenancestore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
)

// Stage is the progress of a drain. It never goes back. The values are part of the stored records.
type Stage uint8

// Stages of a drain.
const (
	Opened    Stage = iota + 1 // The drain is decided and stored; the shards and the node list may not have it yet.
	Announced                  // The shards and the node list have been told that the nodes are draining.
	Emptied                    // No task runs on the nodes any more.
	Closed                     // The nodes accept tasks again.
)

// String returns the name of the stage in logs and in the output of commands.
func (s Stage) String() string { return [...]string{"", "opened", "announced", "emptied", "closed"}[s] }

// Drain is a drain that was begun. Its verdict stays as it was decided at the beginning, also if the calendar or the fleet changes.
type Drain struct {
	Verdict   calendar.Verdict    `json:"Verdict"`
	Stage     Stage               `json:"Stage"`
	ReachedAt map[Stage]time.Time `json:"At"`
}

// drainKey returns the key of a drain: the scheduled start of the occurrence in seconds since the Unix epoch, and the name of the window.
func drainKey(window string, scheduledStart time.Time) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(scheduledStart.Unix()))
	return append(b, window...)
}

// BeginDrain records that the drain for an occurrence of a window begins. If it was begun before, isNew is false and BeginDrain returns the
// stored drain: callers must not begin it again.
func (s *Store) BeginDrain(v calendar.Verdict, now time.Time) (drain Drain, isNew bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		bucket, key := tx.Bucket(drainBucket), drainKey(v.Window, v.ScheduledStart)
		if text := bucket.Get(key); text != nil {
			return json.Unmarshal(text, &drain)
		}
		drain, isNew = Drain{Verdict: v, Stage: Opened, ReachedAt: map[Stage]time.Time{Opened: now}}, true
		return putDrain(bucket, key, drain)
	})
	return drain, isNew && err == nil, err
}

// putDrain writes a drain in JSON.
func putDrain(bucket *bbolt.Bucket, key []byte, drain Drain) error {
	text, err := json.Marshal(drain)
	if err != nil {
		return err
	}
	return bucket.Put(key, text)
}

// AdvanceDrain records that a drain has reached a stage. It has no effect if the drain has already reached that stage.
func (s *Store) AdvanceDrain(window string, scheduledStart time.Time, stage Stage, now time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket, key := tx.Bucket(drainBucket), drainKey(window, scheduledStart)
		text := bucket.Get(key)
		if text == nil {
			return fmt.Errorf("drain for window %q at %s was not begun: %w", window, scheduledStart.Format(time.RFC3339), ErrNotFound)
		}
		var drain Drain
		if err := json.Unmarshal(text, &drain); err != nil {
			return err
		}
		if stage <= drain.Stage {
			return nil
		}
		drain.Stage, drain.ReachedAt[stage] = stage, now
		return putDrain(bucket, key, drain)
	})
}

// UnfinishedDrains returns the drains that were begun and not closed, sorted by scheduled start. A restarted process continues them.
func (s *Store) UnfinishedDrains() (unfinished []Drain, err error) {
	all, err := s.Drains()
	for _, drain := range all {
		if drain.Stage < Closed {
			unfinished = append(unfinished, drain)
		}
	}
	return unfinished, err
}

// Drains returns all drains that were begun and not deleted, sorted by scheduled start.
func (s *Store) Drains() (all []Drain, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		all, err = readDrains(tx)
		return err
	})
	return all, err
}

// readDrains returns all stored drains, and an error if one is malformed.
func readDrains(tx *bbolt.Tx) (all []Drain, err error) {
	err = tx.Bucket(drainBucket).ForEach(func(_, text []byte) error {
		var drain Drain
		if err := json.Unmarshal(text, &drain); err != nil {
			return err
		}
		if drain.Stage < Opened || drain.Stage > Closed {
			return fmt.Errorf("drain for window %q has unknown stage %d", drain.Verdict.Window, drain.Stage)
		}
		all = append(all, drain)
		return nil
	})
	return all, err
}

// DeleteClosed deletes the drains that were closed before a time.
func (s *Store) DeleteClosed(before time.Time) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		all, err := readDrains(tx)
		if err != nil {
			return err
		}
		for _, drain := range all {
			if drain.Stage != Closed || !drain.ReachedAt[Closed].Before(before) {
				continue
			}
			if err := tx.Bucket(drainBucket).Delete(drainKey(drain.Verdict.Window, drain.Verdict.ScheduledStart)); err != nil {
				return err
			}
		}
		return nil
	})
}
