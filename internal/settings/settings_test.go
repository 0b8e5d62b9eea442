package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"ravenpond/logic"
)

const settings = `{"instances": 2, "self-index": 1, "discovery": "ask", "step-ns": 2000000, "kinds": ["std", "big"], "zones": ["east", "west"],
 "projects": [{"name": "acme", "portion": 0.5}, {"name": "club", "portion": 0.4}],
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [32, 64], "mem-of-kind": [64, 128], "kind-by-class": [-1, 1, 0],
  "spread-over": ["silent", "machine", "zone"], "most-together": [1, 2, 3], "lists-free": true, "cold-bears": 20, "unit-cores": 1, "mean-memory": 2,
  "settle-ns": 1500000000, "measured-by": "asked", "displaces": false},
 "policy-limits": {"max-attempts": 4, "probes": true, "cancel": true, "conn-idle-ns": 30000000000, "connect-timeout-ns": 250000000,
  "open-cap": 1000000},
 "prices": {"fleet": 0.1},
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"cold-ns": 9000000000, "overload-for-ns": 2000000000, "ask-every-ns": 10000000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "free", "worth": 1, "group": "all", "window-ns": 1000000},
  {"name": "marked", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "guarded", "worth": 1, "group": "zone", "window-ns": 8000000000},
  {"name": "single", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "single_shot", "worth": 1, "group": "all", "window-ns": 1000000}]}`

// countingEffects counts the attempts that a module starts, and does nothing else.
type countingEffects struct{ attempts int }

func (e *countingEffects) StartAttempt(uint32, uint32, float64) { e.attempts++ }
func (e *countingEffects) Shed(uint32, float64)                 {}
func (e *countingEffects) Fail(uint32)                          {}
func (e *countingEffects) Cancel(uint32, uint8)                 {}
func (e *countingEffects) Migrate(uint32)                       {}
func (e *countingEffects) Probe(uint32)                         {}
func (e *countingEffects) WatchList(bool)                       {}
func (e *countingEffects) ReloadList()                          {}
func (e *countingEffects) SetTimer(float64, uint64)             {}
func (e *countingEffects) Log(string)                           {}

// countAttempts has a module place requests in a deployment, and returns how many attempts the module starts.
func countAttempts(d *Deployment) (attempts int) {
	effects := &countingEffects{}
	now := 1e6
	s := logic.New(effects, now, 7, d.Cluster)
	s.OnListBegin(now, logic.ListCached)
	for i := range 6 {
		s.OnListNode(now, logic.ListEntry{
			Node: uint32(10 + i), Availability: logic.Ready,
			StartedAt: float64(i%2) * now, FreeCores: 30, FreeMemory: 60, Zone: i % 2, Cell: i, Kind: i % len(d.Cluster.KindCores),
		})
	}
	s.OnListEnd(now)
	for i := range 30 {
		j := i % len(d.JobClasses)
		now += 300
		s.OnRequest(now, logic.Request{
			Allocation: uint32(i), Class: j, Deadline: now + d.Deadlines[j],
			Service: uint64(i % 3), Cores: 1, Memory: 2,
		})
		s.Decide(now)
		s.OnTimer(now, 0)
		s.Decide(now)
	}
	return effects.attempts
}

// visitPaths calls each with the path of every element in a settings object. A path is a list of keys and indexes.
func visitPaths(v any, at []any, each func([]any)) {
	switch x := v.(type) {
	case map[string]any:
		for k, y := range x {
			each(append(slices.Clone(at), k))
			visitPaths(y, append(slices.Clone(at), k), each)
		}
	case []any:
		for i, y := range x {
			each(append(slices.Clone(at), i))
			visitPaths(y, append(slices.Clone(at), i), each)
		}
	}
}

// settingsWith returns the settings with the value at a path replaced, or removed if the new value is nil.
func settingsWith(t *testing.T, path []any, value any) []byte {
	t.Helper()
	var all any
	if err := json.Unmarshal([]byte(settings), &all); err != nil {
		t.Fatal(err)
	}
	here := all
	for i, k := range path {
		last := i == len(path)-1
		switch x := here.(type) {
		case map[string]any:
			if last && value == nil {
				delete(x, k.(string))
			} else if last {
				x[k.(string)] = value
			}
			here = x[k.(string)]
		case []any:
			if last && value != nil {
				x[k.(int)] = value
			}
			here = x[k.(int)]
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// defaultMeanings lists the fields that may be absent or 0, and what that means.
var defaultMeanings = map[string]string{
	"self-index": "the first", "kinds": "kinds have no names", "zones": "there are none", "projects": "there are none", "portion": "no quota",
	"kind-by-class": "any kind", "spread-over": "anywhere", "most-together": "one", "lists-free": "no", "cold-bears": "nothing is placed on a node in slow start",
	"settle-ns": "no delay", "measured-by": "requested resources", "displaces": "no", "probes": "no", "cancel": "no", "prices": "none", "fleet": "no price", "report": "none",
	"fields": "none", "how": "none", "rules": "no slow start, and list changes are pushed", "cold-ns": "no slow start",
	"overload-for-ns": "no window", "ask-every-ns": "list changes are pushed", "worth": "no weight", "window-ns": "no repeat", "group": "class is not idempotent",
}

// TestOddFields replaces each element of a settings object by an absent, empty, zero, negative, huge or otherwise unexpected value. Read has to
// return an error of one line that names the field, unless the value has a meaning that defaultMeanings states, with which a module then runs
// without a panic.
func TestOddFields(t *testing.T) {
	if d, err := Read([]byte(settings)); err != nil || countAttempts(d) == 0 {
		t.Fatalf("unchanged settings: error %v, want a deployment in which a module starts attempts", err)
	}
	var all any
	if err := json.Unmarshal([]byte(settings), &all); err != nil {
		t.Fatal(err)
	}
	tried := 0
	visitPaths(all, nil, func(path []any) {
		field := ""
		for _, k := range path {
			if name, ok := k.(string); ok {
				field = name
			}
		}
		for _, to := range []any{nil, 0.0, -1.0, 1e300, "", "odd", []any{}, map[string]any{}, true} {
			tried++
			checkOddValue(t, path, field, to)
		}
	})
	if tried < 300 {
		t.Errorf("%d values tried, want at least 300", tried)
	}
}

// checkOddValue reads the settings with the value at a path replaced, and checks that the error names the field, or that the value has a meaning
// and a module runs with it.
func checkOddValue(t *testing.T, path []any, field string, value any) {
	t.Helper()
	d, err := Read(settingsWith(t, path, value))
	if err == nil {
		err = d.ValidateForSockets()
	}
	change := fmt.Sprintf("%v = %v", path, value)
	if err != nil {
		if s := err.Error(); strings.Contains(s, "\n") || !strings.Contains(s, field) && !strings.Contains(s, path[0].(string)) {
			t.Errorf("%s: error %q, want one line that names the field", change, s)
		}
		return
	}
	if n, isNumber := value.(float64); isNumber && (n < 0 || n > 1e9) && field != "kind-by-class" && field != "fleet" {
		t.Errorf("%s is accepted, want an error", change)
	}
	if value == nil || value == 0.0 {
		if _, index := path[len(path)-1].(int); defaultMeanings[field] == "" && !index {
			t.Errorf("%s is accepted, but defaultMeanings does not say what it means", change)
		}
	}
	countAttempts(d)
}
