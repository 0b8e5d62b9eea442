package maintenancestore

import (
	"bytes"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
)

// Loads returns the load that this process measured, and the load that was published for all schedulers, or nil if none was published.
func (s *Store) Loads() (measured *calendar.Load, published *calendar.Table, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		measured, published, err = readLoads(tx)
		return err
	})
	return measured, published, err
}

// readLoads reads both loads. The measured load is empty, not nil, if the store has none.
func readLoads(tx *bbolt.Tx) (measured *calendar.Load, published *calendar.Table, err error) {
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

// SaveMeasuredLoad replaces the stored load that this process measured.
func (s *Store) SaveMeasuredLoad(l *calendar.Load) error {
	b, err := l.MarshalBinary()
	if err != nil {
		return err
	}
	return s.putLoad(measuredKey, b)
}

// PublishLoad replaces the published load, from which decisions on maintenance windows are made. Like the calendar, it must be the same at
// every process. A nil table deletes it.
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

// putLoad writes a value, or deletes the key if the value is nil.
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
