package result

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestFile writes a result and reads it back, and refuses another schema.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	wrote := &Result{
		Schema: Schema, Machine: Machine{CPUs: 8, MemoryBytes: 1 << 34, GoVersion: "go", Kernel: "k"},
		Commit: "abc", Seed: 7, Scenario: "rest", Dimension: "nodes", Process: "s0", Run: 2,
		Sizes:   Sizes{Nodes: 500, Schedulers: 30, RunningTasks: 10, Teams: 72, Zones: 14, Regions: 6, ConfigChangesPerDay: 7400, StartsPerSecond: 73},
		Seconds: 8, Readings: []Reading{{Part: "control", Name: "cpu", Unit: Cores, Value: 0.02}},
	}
	if err := wrote.Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := Read(path)
	if err != nil || !reflect.DeepEqual(wrote, read) {
		t.Fatalf("read %+v, %v", read, err)
	}
	if v, ok := read.Value("control", "cpu"); !ok || v != 0.02 {
		t.Errorf("cpu of control is %g, %v", v, ok)
	}
	if _, ok := read.Value("control", "memory"); ok {
		t.Error("a reading that is not there was found")
	}
	wrote.Schema = Schema + 1
	if err := wrote.Write(path); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil || !strings.Contains(err.Error(), "schema") {
		t.Errorf("another schema: %v", err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Error("half a file was read")
	}
}
