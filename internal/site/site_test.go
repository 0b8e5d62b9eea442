package site

import (
	"flag"
	"os"
	"strings"
	"testing"

	"ravenpond/internal/strictxml"
)

var update = flag.Bool("update", false, "rewrite site.xsd from the grammar")

// TestExample reads the example and checks that site.xsd matches the grammar. With -update it writes site.xsd.
func TestExample(t *testing.T) {
	config, faults := Read(strings.NewReader(Example))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if config.Cluster.JobClasses[1].IdempotencyWindow != 7000 || config.Cluster.JobClasses[2].NodeKind != 1 || config.Deadlines[0] != 5000 {
		t.Errorf("the example has unexpected values: %+v", config)
	}
	if *update {
		if err := os.WriteFile("site.xsd", []byte(strictxml.Schema(Grammar)), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if Schema != strictxml.Schema(Grammar) {
		t.Error("site.xsd does not match the grammar; to regenerate it, run go test ./internal/site -update")
	}
}

// TestFaults makes one replacement in the example for each kind of fault, and checks that the fault is reported.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, fault string }{
		{"unknown element", `<zone name="fort"/>`, `<hall name="fort"/>`, "line 8: <site>: unknown element <hall>"},
		{"unknown attribute", `step="2ms"`, `stride="2ms"`, `unknown attribute "stride"`},
		{"duplicate zone", `name="mill"`, `name="quay"`, `line 7: duplicate <zone name="quay">, first in line 6`},
		{"second cluster", `<zone name="quay"/>`, `<zone name="quay"/><owners listen="a:1"/>`, "<owners> occurs more than 1 times"},
		{"missing element", `<node-list address="127.0.0.1:7410"/>`, ``, "<node-list> is missing"},
		{"missing attribute", `open="20000"`, ``, `attribute "open" is missing`},
		{"unit missing", `target="800ms"`, `target="800"`, "duration with its unit"},
		{"wrong unit", `target="800ms"`, `target="800us"`, "duration with its unit"},
		{"number out of range", `tries="4"`, `tries="0"`, "must be between 1 and 200"},
		{"not a number", `cores="16"`, `cores="1e2"`, "must be a number"},
		{"unknown enum value", `effect="run-once"`, `effect="once"`, "one of restartable, tokened, run-once"},
		{"unknown machine", `machine="large"/>`, `machine="huge"/>`, `no <machine> of kind "huge"`},
		{"group without token", `effect="restartable"`, `effect="restartable" group="zone"`, "effect is tokened, and not allowed otherwise"},
		{"spread without most", `most="6"`, ``, "most is required if there is a spread"},
		{"target exceeds expiry", `target="3s"`, `target="30s"`, "target exceeds expiry"},
		{"shares exceed 1", `share="0.3"`, `share="0.4"`, "sum to 1.1"},
		{"text between elements", `<limits`, `words <limits`, "only elements"},
		{"truncated file", `</site>`, ``, "not well-formed"},
		{"duplicate attribute", `cores="16"`, `cores="16" cores="16"`, `line 9: <machine>: duplicate attribute "cores"`},
		{"doctype", `<site name`, `<!DOCTYPE site><site name`, "document type"},
		{
			"working set with own connections", `<limits`, `<working-set nodes-least="9"/><shards count="2" connections="own"/><limits`,
			"such shards cannot share a working set",
		},
		{"no port", `127.0.0.1:7420`, `127.0.0.1`, "host:port"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(Example, c.old, c.new, 1)
			if text == Example {
				t.Fatal("the example does not contain the text to replace")
			}
			config, faults := Read(strings.NewReader(text))
			all := ""
			for _, f := range faults {
				all += f.String() + "\n"
			}
			if config != nil || !strings.Contains(all, c.fault) {
				t.Errorf("faults %q, want %q", all, c.fault)
			}
		})
	}
	t.Run("all faults are reported", func(t *testing.T) {
		text := strings.NewReplacer(`tries="4"`, `tries="0"`, `share="0.3"`, `share="x"`, `"quay"`, `"q y"`).Replace(Example)
		if _, faults := Read(strings.NewReader(text)); len(faults) < 3 {
			t.Errorf("got faults %v, want at least 3", faults)
		}
	})
}

// TestWorkingSet checks that there is no working set without the element, and that its attributes and defaults are read.
func TestWorkingSet(t *testing.T) {
	config, _ := Read(strings.NewReader(Example))
	if config.WorkingSet != (WorkingSet{}) {
		t.Errorf("working set without the element: %+v, want none", config.WorkingSet)
	}
	config, faults := Read(strings.NewReader(strings.Replace(Example, `<limits`, `<working-set nodes-least="480" spare="6.5"/><limits`, 1)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if want := (WorkingSet{MinNodes: 480, Coverage: 1, SpareFactor: 6.5, NodesPerStart: 1, MinPerStratum: 3, NarrowAfter: 30000}); config.WorkingSet != want {
		t.Errorf("working set %+v, want %+v", config.WorkingSet, want)
	}
}

// FuzzRead checks that reading any text as a site file returns either faults or a configuration, never both or neither, and does not panic.
func FuzzRead(f *testing.F) {
	f.Add(Example)
	f.Add(strings.Replace(Example, `target="800ms"`, `target="-1h"`, 1))
	f.Add("<site name='x'><cluster/></site>")
	f.Add("<!-- --><site")
	f.Fuzz(func(t *testing.T, text string) {
		config, faults := Read(strings.NewReader(text))
		if (config == nil) != (len(faults) > 0) {
			t.Errorf("configuration %v, faults %v, want exactly one of them", config != nil, faults)
		}
	})
}
