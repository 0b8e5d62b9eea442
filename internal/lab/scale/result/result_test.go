package result

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestFile checks that a result that was written is read back unchanged, and that a file of another schema or a truncated one is an error.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	written := &Result{
		Schema: Schema, Machine: Machine{CPUs: 8, MemoryBytes: 1 << 34, GoVersion: "go", Kernel: "k"},
		Commit: "abc", Seed: 7, Scenario: "rest", Dimension: "nodes", Process: "s0", Run: 2,
		Sizes:   Sizes{Nodes: 500, Schedulers: 30, RunningTasks: 10, Teams: 72, Zones: 14, Regions: 6, ConfigChangesPerDay: 7400, StartsPerSecond: 73},
		Seconds: 8, Readings: []Reading{{Part: "control", Name: "cpu", Unit: Cores, Value: 0.02}},
	}
	if err := written.Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := Read(path)
	if err != nil || !reflect.DeepEqual(written, read) {
		t.Fatalf("got %+v, %v, want the result that was stored", read, err)
	}
	if v, ok := read.Value("control", "cpu"); !ok || v != 0.02 {
		t.Errorf("got cpu of control %g, %v, want 0.02, true", v, ok)
	}
	if _, ok := read.Value("control", "memory"); ok {
		t.Error("got a reading that does not exist")
	}
	written.Schema = Schema + 1
	if err := written.Write(path); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil || !strings.Contains(err.Error(), "schema") {
		t.Errorf("got error %v for another schema, want one about the schema", err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Error("got no error for a truncated file")
	}
}
