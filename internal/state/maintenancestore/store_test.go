package maintenancestore

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
)

var start = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

func newWindow(id string) calendar.Window {
	return calendar.Window{ID: id, Target: "7", Start: start, Duration: time.Hour, Rule: "FREQ=DAILY"}
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { noError(t, s.Close()) })
	return s
}

func TestBeginDrainOnce(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	v := calendar.Verdict{Window: "a", ScheduledStart: start, Nodes: []string{"7"}}
	if _, isNew, err := s.BeginDrain(v, start); !isNew || err != nil {
		t.Fatal(isNew, err)
	}
	noError(t, s.AdvanceDrain("a", start, Announced, start.Add(time.Second)))
	noError(t, s.Close())
	s = open(t, dir) // The state is the same as after a killed process, as Close writes nothing.
	v.Nodes = []string{"7", "8"}
	drain, isNew, err := s.BeginDrain(v, start.Add(time.Minute))
	if isNew || err != nil || drain.Stage != Announced || len(drain.Verdict.Nodes) != 1 {
		t.Errorf("second BeginDrain: got drain %+v, isNew %t, error %v, want the announced drain of node 7, not new", drain, isNew, err)
	}
	noError(t, s.AdvanceDrain("a", start, Opened, start))
	if all, err := s.UnfinishedDrains(); err != nil || len(all) != 1 || all[0].Stage != Announced {
		t.Errorf("got unfinished drains %+v, error %v, want one in stage announced", all, err)
	}
	if err := s.AdvanceDrain("b", start, Closed, start); !errors.Is(err, ErrNotFound) {
		t.Errorf("advancing a drain that was never begun: got error %v, want ErrNotFound", err)
	}
	noError(t, s.AdvanceDrain("a", start, Closed, start.Add(time.Hour)))
	if all, _ := s.UnfinishedDrains(); len(all) != 0 {
		t.Errorf("got unfinished drains %+v after the drain was closed, want none", all)
	}
	noError(t, s.DeleteClosed(start.Add(2*time.Hour)))
	if all, _ := s.Drains(); len(all) != 0 {
		t.Errorf("got drains %+v after DeleteClosed, want none", all)
	}
}

func TestCalendar(t *testing.T) {
	s := open(t, t.TempDir())
	if err := s.AddEvents(&calendar.Calendar{Windows: []calendar.Window{newWindow("a"), newWindow("b")}}, start); err != nil {
		t.Fatal(err)
	}
	bad := newWindow("c")
	bad.Duration = 0
	if err := s.AddEvents(&calendar.Calendar{Windows: []calendar.Window{newWindow("d"), bad}}, start); err == nil {
		t.Error("AddEvents accepted a window without a duration")
	}
	noError(t, s.CancelWindow("a", time.Time{}, start))
	noError(t, s.CancelWindow("b", start.AddDate(0, 0, 1), start))
	if err := s.CancelWindow("z", time.Time{}, start); !errors.Is(err, ErrNotFound) {
		t.Errorf("cancelling an unknown window: got error %v, want ErrNotFound", err)
	}
	c, err := s.Calendar()
	if err != nil || len(c.Windows) != 1 || c.Windows[0].ID != "b" || len(c.Windows[0].Exceptions) != 1 {
		t.Errorf("got calendar %+v, error %v, want window b only, with one exception", c, err)
	}
}

func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(t *testing.T, path string)
		want   error
	}{
		{"locked", func(t *testing.T, path string) {
			t.Helper()
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { noError(t, db.Close()) })
		}, ErrLocked},
		{"not a store", func(t *testing.T, path string) {
			t.Helper()
			writeFile(t, path, []byte(strings.Repeat("no store ", 9000)))
		}, ErrDamaged},
		{"truncated", func(t *testing.T, path string) {
			t.Helper()
			text, _ := os.ReadFile(path)
			writeFile(t, path, text[:5000])
		}, ErrDamaged},
		{"later format version", func(t *testing.T, path string) {
			t.Helper()
			putRecord(t, path, []byte("meta"), []byte("format"), []byte{Format + 1})
		}, ErrNewer},
		{"malformed drain", func(t *testing.T, path string) {
			t.Helper()
			putRecord(t, path, drainBucket, []byte("x"), []byte(`{"Stage":9}`))
		}, ErrDamaged},
		{"malformed event", func(t *testing.T, path string) {
			t.Helper()
			putRecord(t, path, eventBucket, []byte("x"), []byte("y"))
		}, ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s := open(t, dir)
			if err := s.AddEvents(&calendar.Calendar{Windows: []calendar.Window{newWindow("a")}}, start); err != nil {
				t.Fatal(err)
			}
			noError(t, s.Close())
			c.damage(t, filepath.Join(dir, "drains.db"))
			if s, err := Open(dir); !errors.Is(err, c.want) {
				t.Errorf("Open returned error %v, want %v", err, c.want)
				if err == nil {
					noError(t, s.Close())
				}
			}
		})
	}
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	noError(t, os.WriteFile(path, text, 0o600))
}

// putRecord writes a record directly into the bbolt file.
func putRecord(t *testing.T, path string, bucket, key, value []byte) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, db.Close()) }()
	noError(t, db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) }))
}

func TestCopyTo(t *testing.T) {
	s := open(t, t.TempDir())
	if err := s.AddEvents(&calendar.Calendar{Windows: []calendar.Window{newWindow("a")}}, start); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	noError(t, s.CopyTo(filepath.Join(dir, "drains.db")))
	if c, err := open(t, dir).Calendar(); err != nil || len(c.Windows) != 1 {
		t.Errorf("got calendar %+v, error %v from the copy, want one window", c, err)
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	measured, published, err := s.Loads()
	if err != nil || published != nil {
		t.Fatalf("new store: got published load %v, error %v, want none", published, err)
	}
	measured.Add(start, 0.5, 0.5)
	noError(t, errors.Join(s.SaveMeasuredLoad(measured), s.PublishLoad(measured.Table()), s.Close()))
	s = open(t, dir)
	again, published, err := s.Loads()
	if err != nil || *again != *measured || *published != *measured.Table() {
		t.Errorf("reopened store has different loads, error %v", err)
	}
	noError(t, s.PublishLoad(nil))
	if _, published, err = s.Loads(); err != nil || published != nil {
		t.Errorf("got a published load or an error after it was deleted: %v", err)
	}
	noError(t, s.Close())
	putRecord(t, filepath.Join(dir, "drains.db"), loadBucket, measuredKey, []byte("short"))
	if _, err := Open(dir); !errors.Is(err, ErrDamaged) {
		t.Errorf("Open with a malformed load returned error %v, want ErrDamaged", err)
	}
}

// noError ends the test if err is not nil.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
