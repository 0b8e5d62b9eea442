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
	if _, fresh, err := s.BeginDrain(v, start); !fresh || err != nil {
		t.Fatal(fresh, err)
	}
	noError(t, s.AdvanceDrain("a", start, Announced, start.Add(time.Second)))
	noError(t, s.Close())
	s = open(t, dir) // as after a kill: Close writes nothing
	v.Nodes = []string{"7", "8"}
	b, fresh, err := s.BeginDrain(v, start.Add(time.Minute))
	if fresh || err != nil || b.Stage != Announced || len(b.Verdict.Nodes) != 1 {
		t.Errorf("the drain begins twice or has changed: %+v, %t, %v", b, fresh, err)
	}
	noError(t, s.AdvanceDrain("a", start, Opened, start))
	if all, err := s.UnfinishedDrains(); err != nil || len(all) != 1 || all[0].Stage != Announced {
		t.Errorf("%+v, %v", all, err)
	}
	if err := s.AdvanceDrain("b", start, Closed, start); !errors.Is(err, ErrNotFound) {
		t.Errorf("a drain that was never begun: %v", err)
	}
	noError(t, s.AdvanceDrain("a", start, Closed, start.Add(time.Hour)))
	if all, _ := s.UnfinishedDrains(); len(all) != 0 {
		t.Errorf("closed, but unfinished: %+v", all)
	}
	noError(t, s.DeleteClosed(start.Add(2*time.Hour)))
	if all, _ := s.Drains(); len(all) != 0 {
		t.Errorf("not deleted: %+v", all)
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
		t.Error("a malformed window is accepted")
	}
	noError(t, s.CancelWindow("a", time.Time{}, start))
	noError(t, s.CancelWindow("b", start.AddDate(0, 0, 1), start))
	if err := s.CancelWindow("z", time.Time{}, start); !errors.Is(err, ErrNotFound) {
		t.Errorf("a window that does not exist: %v", err)
	}
	c, err := s.Calendar()
	if err != nil || len(c.Windows) != 1 || c.Windows[0].ID != "b" || len(c.Windows[0].Exceptions) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(t *testing.T, path string)
		want   error
	}{
		{"held", func(t *testing.T, path string) {
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
		{"cut off", func(t *testing.T, path string) {
			t.Helper()
			text, _ := os.ReadFile(path)
			writeFile(t, path, text[:5000])
		}, ErrDamaged},
		{"later version", func(t *testing.T, path string) {
			t.Helper()
			putRecord(t, path, []byte("meta"), []byte("format"), []byte{Format + 1})
		}, ErrNewer},
		{"a malformed drain", func(t *testing.T, path string) {
			t.Helper()
			putRecord(t, path, drainBucket, []byte("x"), []byte(`{"Stage":9}`))
		}, ErrDamaged},
		{"a malformed event", func(t *testing.T, path string) {
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
				t.Errorf("%v, want %v", err, c.want)
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

// putRecord writes a record past the store.
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
		t.Errorf("%+v, %v", c, err)
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	measured, published, err := s.Loads()
	if err != nil || published != nil {
		t.Fatalf("%v, %v in a store that has none", published, err)
	}
	measured.Add(start, 0.5, 0.5)
	noError(t, errors.Join(s.SaveMeasuredLoad(measured), s.PublishLoad(measured.Table()), s.Close()))
	s = open(t, dir)
	again, published, err := s.Loads()
	if err != nil || *again != *measured || *published != *measured.Table() {
		t.Errorf("not the same, %v", err)
	}
	noError(t, s.PublishLoad(nil))
	if _, published, err = s.Loads(); err != nil || published != nil {
		t.Errorf("still published: %v", err)
	}
	noError(t, s.Close())
	putRecord(t, filepath.Join(dir, "drains.db"), loadBucket, measuredKey, []byte("short"))
	if _, err := Open(dir); !errors.Is(err, ErrDamaged) {
		t.Errorf("%v, want damaged", err)
	}
}

// noError ends the test if an error has occurred.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
