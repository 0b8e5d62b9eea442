package regions

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/lab/scale/result"
)

// small returns a configuration for CI: fewer processes, a cut of minutes, and enough commands for the log to be truncated.
func small() Config {
	c := Default()
	c.Processes, c.Zones = 7, 6 // three of them in the regions that are cut off
	c.Warm, c.Cut, c.Settle = time.Minute, 4*time.Minute, time.Minute
	c.CommandsPerDay = 6 * 86400
	return c
}

func run(t *testing.T, c Config) *Report {
	t.Helper()
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRegions cuts half of the regions off: no structure exceeds its bound, and all processes agree again after the heal.
func TestRegions(t *testing.T) {
	t.Parallel()
	r := run(t, small())
	for _, v := range r.Check() {
		t.Error(v)
	}
	for _, m := range r.moments() {
		if !m.Reached {
			t.Errorf("%s: not reached after the heal", m.name)
		}
	}
	during := r.phase(During)
	if len(r.phase(Before)) != 1 || len(during) != 4 || len(r.phase(Healed)) != 1 {
		t.Fatalf("got %d readings, want 1 before, 4 during and 1 after the cut", len(r.Minutes))
	}
	for i, reading := range during[len(during)-1].Readings { // each process considers those on its own side alive, and no others
		want := 3
		if region := i % r.Config.Zones % r.Config.Regions; region >= r.Config.Regions-r.Config.CutRegions {
			want = 2
		}
		if reading.Alive != want {
			t.Errorf("%s considers %d processes alive during the cut, want %d", reading.Process, reading.Alive, want)
		}
	}
	if entries := largest(during, LogEntries); entries < 250 {
		t.Errorf("the log was never full: got %d entries, want at least 250", entries)
	}
	if bytes := largest(during, DiskBytes); bytes == 0 {
		t.Error("got 0 bytes on all disks, want some")
	}
	var text strings.Builder
	if err := r.WriteMarkdown(&text); err != nil || !strings.Contains(text.String(), "| log entries |") {
		t.Errorf("got error %v, want a table with log entries:\n%s", err, text.String())
	}
	path := filepath.Join(t.TempDir(), "result.json")
	if err := r.Result(result.Machine{}, "").Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := result.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := read.Value("cut", "log entries, most"); !ok || v != float64(largest(during, LogEntries)) {
		t.Errorf("got %v log entries in the result, want the largest reading during the cut", v)
	}
	if err := r.WriteMinutes(filepath.Join(t.TempDir(), "minutes.json")); err != nil {
		t.Error(err)
	}
}

// TestInjectedFaults injects leaks and expects the check to name each, and injects a cut that is not healed.
func TestInjectedFaults(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		plant Faults
		found Structure
	}{
		{"disks keep entries that a snapshot covers", Faults{KeptLog: true}, DiskEntries},
		{"a loop processes none of its messages", Faults{StuckLoop: true}, PendingMessages},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			config := small()
			config.Plant = c.plant
			violations := run(t, config).Check()
			if !slices.ContainsFunc(violations, func(v Violation) bool { return v.Structure == c.found }) {
				t.Errorf("got violations %[2]v, want one of %[1]s", c.found, violations)
			}
			for _, v := range violations {
				t.Log("violation:", v)
			}
		})
	}
	t.Run("connections stay cut", func(t *testing.T) {
		t.Parallel()
		config := small()
		config.Cut, config.Plant = time.Minute, Faults{Unhealed: true}
		if heal := run(t, config).Heal; heal.Members.Reached || heal.State.Reached {
			t.Errorf("processes agree though the connections are still cut: %+v", heal)
		}
	})
}

// TestGrowth checks that a structure without a bound of its own is a violation if it grows throughout the cut, and none if it is
// steady.
func TestGrowth(t *testing.T) {
	config := small()
	steady, growing := &Report{Config: config}, &Report{Config: config}
	for i := range 60 {
		for _, r := range []*Report{steady, growing} {
			m := Minute{Phase: During, Seconds: float64(60 * i), Readings: make([]Reading, config.Processes)}
			m.Readings[3].Sizes[Probes] = 5 + i%7
			if r == growing {
				m.Readings[3].Sizes[Probes] = 5 + i
			}
			r.Minutes = append(r.Minutes, m)
		}
	}
	if v := steady.Check(); len(v) > 0 {
		t.Errorf("steady structure: got violations %v, want none", v)
	}
	if v := growing.Check(); len(v) != 1 || v[0].Structure != Probes || !v[0].Growth {
		t.Errorf("growing structure: got violations %v, want one of growth of probes", v)
	}
}

// TestCancelled expects the context's error of a run whose context is cancelled.
func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, Default()); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
}

// TestInvalidConfig expects an error for each invalid configuration.
func TestInvalidConfig(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Processes = 3 },
		func(c *Config) { c.Voters = 0 },
		func(c *Config) { c.Zones = 2 },
		func(c *Config) { c.CutRegions = 6 },
		func(c *Config) { c.Processes = 6 },
		func(c *Config) { c.Cut = time.Second },
	} {
		config := small()
		change(&config)
		if _, err := Run(t.Context(), config); !errors.Is(err, ErrConfig) {
			t.Errorf("%+v: got error %v, want ErrConfig", config, err)
		}
	}
}
