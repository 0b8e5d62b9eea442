package scale

import (
	"slices"
	"strings"
	"testing"

	"ravenpond/internal/lab/scale/result"
)

// reading returns a reading without a unit.
func reading(part, name string, value float64) result.Reading {
	return result.Reading{Part: part, Name: name, Value: value}
}

// healthyResults returns results of a healthy process, at rest and under load.
func healthyResults(nodes int) (rest, starts *result.Result) {
	sizes := Base()
	sizes.Nodes = nodes
	n := float64(nodes)
	rest = &result.Result{Scenario: Rest, Sizes: sizes, Seconds: 3, Readings: []result.Reading{
		reading(nodeConnectionKind, NameConnections, n), reading("taken", NameConnections, 4),
		reading("list", NameConnections, 1), reading(PartProcess, NameDescriptors, n+19), reading(PartProcess, NameGoroutines, 2*n+26),
		reading(nodeConnectionKind, NameMessagesSent, 2.2*n), reading(nodeConnectionKind, NameBytesSent, 46*n), reading("datagrams", NameMessagesSent, 20),
		reading("datagrams", NameBytesSent, 2200), reading(PartProcess, NameAttempts, 0),
	}}
	starts = &result.Result{Scenario: Starts, Sizes: sizes, Seconds: 3, Readings: []result.Reading{
		reading(nodeConnectionKind, NameConnections, n),
		reading(PartProcess, NameGoroutines, 2*n+26), reading(nodeConnectionKind, NameMessagesSent, 2.2*n+30), reading(nodeConnectionKind, NameBytesSent, 46*n+2760),
		reading(PartProcess, NameAttempts, 90), reading(PartClients, NameServed, 90),
	}}
	return rest, starts
}

// TestBounds changes one reading of a healthy process at a time and expects the checks to name it; they report nothing for
// unchanged readings.
func TestBounds(t *testing.T) {
	b := DefaultBounds()
	check := func(plant func(rest, starts *result.Result)) []string {
		small, _ := healthyResults(40)
		rest, starts := healthyResults(80)
		plant(rest, starts)
		return slices.Concat(b.CheckRest(rest), b.CheckStarts(rest, starts), b.CheckGrowth(small, rest))
	}
	if found := check(func(_, _ *result.Result) {}); len(found) > 0 {
		t.Errorf("got breaches %q for a healthy process, want none", found)
	}
	set := func(r *result.Result, part, name string, times, more float64) {
		for i, reading := range r.Readings {
			if reading.Part == part && reading.Name == name {
				r.Readings[i].Value = reading.Value*times + more
			}
		}
	}
	for want, plant := range map[string]func(rest, starts *result.Result){
		"connections to nodes:":       func(rest, _ *result.Result) { set(rest, nodeConnectionKind, NameConnections, 1, 1) },
		"connections to the list":     func(rest, _ *result.Result) { set(rest, "list", NameConnections, 2, 0) },
		"descriptors:":                func(rest, _ *result.Result) { set(rest, PartProcess, NameDescriptors, 1.5, 0) },
		"goroutines:":                 func(rest, _ *result.Result) { set(rest, PartProcess, NameGoroutines, 1.5, 0) },
		"messages to nodes a second":  func(rest, _ *result.Result) { set(rest, nodeConnectionKind, NameMessagesSent, 2, 0) },
		"bytes to nodes a second":     func(rest, _ *result.Result) { set(rest, nodeConnectionKind, NameBytesSent, 3, 0) },
		"datagrams a second:":         func(rest, _ *result.Result) { set(rest, "datagrams", NameMessagesSent, 3, 0) },
		"bytes of datagrams a second": func(rest, _ *result.Result) { set(rest, "datagrams", NameBytesSent, 6, 0) },
		"attempts:":                   func(rest, _ *result.Result) { set(rest, PartProcess, NameAttempts, 1, 1) },
		"no messages to nodes":        func(rest, _ *result.Result) { set(rest, nodeConnectionKind, NameMessagesSent, 0, 0) },
		"no reading of list":          func(rest, _ *result.Result) { rest.Readings = slices.Delete(rest.Readings, 2, 3) },
		"nothing served":              func(_, starts *result.Result) { set(starts, PartClients, NameServed, 0, 0) },
		"attempts a start":            func(_, starts *result.Result) { set(starts, PartProcess, NameAttempts, 2, 0) },
		"messages to nodes a start":   func(_, starts *result.Result) { set(starts, nodeConnectionKind, NameMessagesSent, 1, 60) },
		"bytes to nodes a start":      func(_, starts *result.Result) { set(starts, nodeConnectionKind, NameBytesSent, 1, 4000) },
		"descriptors more":            func(rest, _ *result.Result) { set(rest, PartProcess, NameDescriptors, 1, 10) },
		"goroutines more":             func(rest, _ *result.Result) { set(rest, PartProcess, NameGoroutines, 1, 20) },
		"datagrams a second more":     func(rest, _ *result.Result) { set(rest, "datagrams", NameMessagesSent, 1.6, 0) },
	} {
		if found := check(plant); !slices.ContainsFunc(found, func(breach string) bool { return strings.Contains(breach, want) }) {
			t.Errorf("got no breach with %q in %q, want one", want, found)
		}
	}
}

// TestCheckLimits expects an error for a run for which descriptors or memory do not suffice, and none for one that fits.
func TestCheckLimits(t *testing.T) {
	trial := Trial{Sizes: Base(), Real: 1}
	trial.Sizes.Nodes, trial.Sizes.Schedulers = 14_000, 30
	const gib = 1 << 30
	for _, c := range []struct {
		descriptors, memory uint64
		want                string
	}{{20_000, 24 * gib, ""}, {10_000, 24 * gib, "descriptors"}, {20_000, 2 * gib, "memory"}} {
		err := trial.estimateNeeds().checkLimits(c.descriptors, c.memory)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%d descriptors, %d bytes: got error %v, want %q", c.descriptors, c.memory, err, c.want)
		}
	}
}

// TestScrape parses a metrics page.
func TestScrape(t *testing.T) {
	page, err := parseMetrics(strings.NewReader("# HELP x\nravenpond_connections{kind=\"list\",scheduler=\"s0\"} 1\n" +
		"ravenpond_traffic_bytes_total{kind=\"list\",scheduler=\"s0\",way=\"sent\"} 1.5e+03\nravenpond_tries_total{scheduler=\"s0\"} 7\ngo_goroutines 9\n"))
	if err != nil {
		t.Fatal(err)
	}
	if page.value("connections", "kind", "list") != 1 || page.value("traffic_bytes_total", "kind", "list", "way", "sent") != 1500 || page.value("tries_total") != 7 || page["go_goroutines"] != 9 {
		t.Errorf("got %v, want 1 connection, 1500 bytes, 7 attempts and 9 goroutines", page)
	}
	if _, err := parseMetrics(strings.NewReader("x y\n")); err == nil {
		t.Error("a line without a number: got no error, want one")
	}
}

// TestFaults expects the same script for the same seed, and as many restarts and hangs as the rates give.
func TestFaults(t *testing.T) {
	const last = 100e9 // ns
	script := drawFaults(3, 500, last)
	if !slices.Equal(script, drawFaults(3, 500, last)) || slices.Equal(script, drawFaults(4, 500, last)) {
		t.Error("got different scripts for the same seed, or the same script for different seeds")
	}
	counts := map[string]int{}
	for _, m := range script {
		counts[string(m.action)]++
	}
	if restarts := counts["return-nodes"]; restarts < 277 || restarts > 278 {
		t.Errorf("got %d restarts in 100 s, want 277 or 278 (rate 277.8)", restarts)
	}
	if hangs := counts["hang-nodes"]; hangs < 4 || hangs > 5 {
		t.Errorf("got %d hangs in 100 s, want 4 or 5 (rate 4.3)", hangs)
	}
}
