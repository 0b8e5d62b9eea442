package maintenancestore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"ravenpond/internal/decide/calendar"
)

// openFormat1Store opens a copy of a store in format 1 that commit 9c27d6c wrote.
func openFormat1Store(t *testing.T) *Store {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/format1")); err != nil {
		t.Fatal(err)
	}
	return open(t, dir)
}

// expectSame compares the printed forms of two values, which include the time zones of times.
func expectSame(t *testing.T, name string, got, want any) {
	t.Helper()
	if g, w := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); g != w {
		t.Errorf("%s: got %s, want %s", name, g, w)
	}
}

func TestFormat1Calendar(t *testing.T) {
	berlin, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	got, err := openFormat1Store(t).Calendar()
	if err != nil {
		t.Fatal(err)
	}
	expectSame(t, "windows", got.Windows, []calendar.Window{
		{
			ID: "daily", Scope: calendar.Cell, Target: "c1", Start: start.In(berlin), Duration: time.Hour, Rule: "FREQ=DAILY", Lead: 10 * time.Minute,
			Slack: 30 * time.Minute, Priority: 3, CreatedAt: start.Add(-time.Hour), Ending: calendar.Hold,
			Exceptions: []time.Time{start.AddDate(0, 0, 1)},
		},
		{ID: "once", Scope: calendar.OneNode, Target: "7", Start: start, Duration: 90 * time.Minute, Ending: calendar.Sweep},
	})
	expectSame(t, "protected times", got.Protected, []calendar.ProtectedTime{
		{ID: "final", Start: start.Add(24 * time.Hour), Duration: 2 * time.Hour, Rule: "FREQ=WEEKLY", Lead: time.Hour, Tail: time.Minute},
	})
}

func TestFormat1Drains(t *testing.T) {
	s := openFormat1Store(t)
	var want []Drain
	for i, stage := range []Stage{Opened, Announced, Emptied, Closed} {
		at := start.AddDate(0, 0, i)
		drain := Drain{Stage: stage, ReachedAt: map[Stage]time.Time{Opened: at}, Verdict: calendar.Verdict{
			Window: "daily", ScheduledStart: at, Outcome: calendar.Postponed, DrainStart: at.Add(5 * time.Minute), Start: at.Add(15 * time.Minute),
			End: at.Add(75 * time.Minute), Nodes: []string{"7", "8"}, Reason: "by 15m0s: final is protected", FleetFraction: 0.125, Ending: calendar.Hold,
		}}
		for reached := Announced; reached <= stage; reached++ {
			drain.ReachedAt[reached] = at.Add(time.Duration(reached) * time.Minute)
		}
		want = append(want, drain)
	}
	got, err := s.Drains()
	if err != nil {
		t.Fatal(err)
	}
	expectSame(t, "drains", got, want)
	if unfinished, err := s.UnfinishedDrains(); err != nil || len(unfinished) != 3 {
		t.Errorf("got %d unfinished drains, error %v, want 3", len(unfinished), err)
	}
	if _, isNew, err := s.BeginDrain(want[3].Verdict, start); isNew || err != nil {
		t.Errorf("beginning a drain that the store has: got isNew %t, error %v, want false", isNew, err)
	}
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(drainBucket).ForEach(func(k, text []byte) error {
			var drain Drain
			if err := json.Unmarshal(text, &drain); err != nil {
				return err
			}
			again, err := json.Marshal(drain)
			if err != nil {
				return err
			}
			if !bytes.Equal(again, text) {
				t.Errorf("drain is encoded as %s, want %s", again, text)
			}
			if at := drainKey(drain.Verdict.Window, drain.Verdict.ScheduledStart); !bytes.Equal(at, k) {
				t.Errorf("got key %x, want %x", at, k)
			}
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestFormat1Load(t *testing.T) {
	wantMeasured := &calendar.Load{}
	for i := range 5 {
		wantMeasured.Add(start, 0.31+0.1*float64(i), 0.62)
	}
	wantPublished := wantMeasured.Table()
	wantPublished[5] = [2]float64{0.25, 0.125}
	measured, published, err := openFormat1Store(t).Loads()
	if err != nil {
		t.Fatal(err)
	}
	if *measured != *wantMeasured {
		t.Errorf("got measured load %v, want %v", measured.Table(), wantMeasured.Table())
	}
	if published == nil || *published != *wantPublished {
		t.Errorf("got published load %v, want %v", published, wantPublished)
	}
}
