package tenants

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// ChainHead describes the end of the chain of audit records.
type ChainHead struct {
	Count   uint64 `json:"Count"` // number of records in the chain
	LastMAC []byte `json:"Mac"`   // MAC of the last record
	MAC     []byte `json:"Sum"`   // MAC of Count and LastMAC, which detects truncation of the chain
}

// Record is the audit record of one change.
type Record struct {
	At          time.Time       `json:"At"`
	Actor       string          `json:"By"`
	Action      string          `json:"What"` // add, limit, pause, resume, remove, finish, issue, revoke
	Tenant      string          `json:"Whom"`
	After       json.RawMessage `json:"Now"`    // the result of the change
	PreviousMAC []byte          `json:"Before"` // MAC of the previous record
}

// readHead reads the head of the chain. The head of an empty chain is the zero value.
func readHead(tx *bbolt.Tx) (head ChainHead, err error) {
	text := tx.Bucket(headBucket).Get(headKey)
	if text == nil {
		return head, nil
	}
	err = json.Unmarshal(text, &head)
	return head, err
}

// recordKey returns the key of a record. Numbers of records begin at 1.
func recordKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func (s *Store) recordMAC(text []byte) []byte { return s.mac(macRecord, text) }

func (s *Store) headMAC(head ChainHead) []byte {
	return s.mac(macHead, recordKey(head.Count), head.LastMAC)
}

// appendRecord appends a record with the result of a change to the chain, in the transaction of the change.
func (s *Store) appendRecord(tx *bbolt.Tx, r Record, after any) error {
	head, err := readHead(tx)
	if err != nil {
		return err
	}
	if r.After, err = json.Marshal(after); err != nil {
		return err
	}
	r.PreviousMAC = head.LastMAC
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	head.Count++
	head.LastMAC = s.recordMAC(text)
	head.MAC = s.headMAC(head)
	if err := tx.Bucket(recordBucket).Put(recordKey(head.Count), append(head.LastMAC[:len(head.LastMAC):len(head.LastMAC)], text...)); err != nil {
		return err
	}
	encoded, err := json.Marshal(head)
	if err != nil {
		return err
	}
	return tx.Bucket(headBucket).Put(headKey, encoded)
}

// Records calls handle for each record from a number on, in order, and verifies the whole chain. The error wraps ErrTampered if records were
// edited, removed or truncated. Records does not detect that the whole store was restored to an earlier state; for that, the head would have
// to be stored elsewhere, too.
func (s *Store) Records(from uint64, handle func(n uint64, r Record) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		head, err := readHead(tx)
		if err != nil {
			return err
		}
		if head.Count > 0 && !hmac.Equal(head.MAC, s.headMAC(head)) {
			return fmt.Errorf("head: %w", ErrTampered)
		}
		var previous []byte
		n := uint64(0)
		err = tx.Bucket(recordBucket).ForEach(func(k, v []byte) error {
			n++
			r, mac, ok := s.readRecord(v)
			if !ok || len(k) != 8 || binary.BigEndian.Uint64(k) != n || !hmac.Equal(r.PreviousMAC, previous) {
				return fmt.Errorf("record %d: %w", n, ErrTampered)
			}
			previous = mac
			if n < from {
				return nil
			}
			return handle(n, r)
		})
		if err == nil && (n != head.Count || !hmac.Equal(previous, head.LastMAC)) {
			err = fmt.Errorf("%d records of %d: %w", n, head.Count, ErrTampered)
		}
		return err
	})
}

// readRecord decodes a stored record, which is a MAC followed by JSON. ok is false if the MAC does not match or the JSON is malformed.
func (s *Store) readRecord(value []byte) (r Record, mac []byte, ok bool) {
	if len(value) < sha256.Size {
		return r, nil, false
	}
	mac, text := append([]byte(nil), value[:sha256.Size]...), value[sha256.Size:]
	ok = hmac.Equal(mac, s.recordMAC(text)) && json.Unmarshal(text, &r) == nil
	return r, mac, ok
}
