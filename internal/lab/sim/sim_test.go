package sim

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
)

// TestSeeds runs random scripts of 40 seeds. None may fail.
func TestSeeds(t *testing.T) {
	sum := Batch{To: 40, Workers: runtime.NumCPU()}.Run(t.Context())
	for _, v := range sum.Failures {
		t.Errorf("seed %d: %s\n%s", v.Script.Seed, v.Failure, v.Script)
	}
	if sum.Seeds != 40 || sum.Served < sum.Requests*3/4 {
		t.Errorf("got %d seeds and %d of %d requests served, want 40 seeds and at least 3 of 4 requests served", sum.Seeds, sum.Served, sum.Requests)
	}
}

// TestSameTrace runs seeds twice, with different numbers of processors and settings of the garbage collector. The traces must be the same.
func TestSameTrace(t *testing.T) {
	const seeds = 8
	first := Batch{From: 500, To: 500 + seeds, Workers: runtime.NumCPU()}.Run(t.Context())
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	again := Batch{From: 500, To: 500 + seeds, Workers: 1}.Run(t.Context())
	if first.Trace != again.Trace || first.Steps != again.Steps || first.Trace == 0 {
		t.Errorf("two runs of the same seeds differ: traces %x and %x, %d and %d steps", first.Trace, again.Trace, first.Steps, again.Steps)
	}
	if other := (Batch{From: 501, To: 501 + seeds, Workers: 1}.Run(t.Context())); other.Trace == first.Trace {
		t.Error("different seeds give the same trace")
	}
}

// TestScripts runs every script that has ever failed, and the scripts of named cases.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("scripts/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			f, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			s, err := Parse(f)
			if err != nil {
				t.Fatal(err)
			}
			if v := Run(s, nil, nil); v.Failure != "" || v.Requests == 0 {
				t.Errorf("got %d requests, want more than 0 and no failure: %s", v.Requests, v.Failure)
			}
		})
	}
}

// TestProgramFaults injects faults into the program. Each must be detected within 40 seeds. Faults that take more seeds start near a seed
// that detects them; lab run --plant prints how many seeds a fault takes from the first.
func TestProgramFaults(t *testing.T) {
	from := map[string]uint64{
		"found ones are adopted unasked": 250, "word of drains is lost": 66, "tokens are taken for harmless": 18,
		"the life is used before it is on the disk": 2570, "the window of tokened tries is too long": 12, "answers come at the expiry": 74,
		"a removal lets what runs go on": 50, "a removed tenant is only paused": 50,
	}
	for i := range ProgramFaults {
		p := &ProgramFaults[i]
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			sum := Batch{From: from[p.Name], To: from[p.Name] + 40, Workers: 1, Fault: p, MaxFailures: 1}.Run(t.Context())
			if len(sum.Failures) == 0 {
				t.Errorf("fault not detected by %d seeds", sum.Seeds)
			} else {
				t.Logf("fault detected after %d seeds: %.150s", sum.Seeds, sum.Failures[0].Failure)
			}
		})
	}
}

// TestScriptText parses scripts that were formatted, and checks the errors of faulty ones.
func TestScriptText(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed)
		parsed, err := Parse(strings.NewReader("# why\n\n" + s.String()))
		if err != nil || parsed.String() != s.String() {
			t.Fatalf("seed %d: parsed script differs: %v\n%s\n%s", seed, err, s, parsed)
		}
	}
	text := Draw(3).String()
	for _, c := range []struct{ name, old, new, want string }{
		{"wrong header", header, "script 9", "expected"},
		{"unknown keyword", "rate", "rhyme", "unknown keyword"},
		{"duplicate keyword", "seed 3\n", "seed 3\nseed 4\n", "duplicate keyword"},
		{"value is not a number", "seed 3", "seed x", "line 2"},
		{"too few fields of a fault", "seed 3\n", "seed 3\nfault 1 kill s0\n", "line 3"},
		{"unknown kind of fault", "seed 3\n", "seed 3\nfault 1 sneeze s0 - 1 1\n", "unknown fault"},
		{"unknown target", "seed 3\n", "seed 3\nfault 1 kill s9 - 1 1\n", "unknown target"},
		{"no nodes", "nodes", "nodes 0\n#", "nodes"},
		{"negative time", "seed 3\n", "seed 3\nfault -1 kill s0 - 1 1\n", "time or duration is negative"},
		{"unknown connection sharing", " shared\n", " all\n", "shared, own or informed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(text, c.old, c.new, 1)
			if c.old == " shared\n" {
				for _, share := range []string{" own\n", " informed\n", " shared\n"} {
					changed = strings.Replace(changed, share, c.new, 1)
				}
			}
			if _, err := Parse(strings.NewReader(changed)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one with %q", err, c.want)
			}
		})
	}
}

// TestShrink shrinks a script whose made-up failure needs one of many faults and two nodes.
func TestShrink(t *testing.T) {
	s := Draw(7)
	s.Faults = append(s.Faults, Fault{At: 4000, Kind: "kill", Target: "s0", Duration: 800})
	fails := func(t Script) bool {
		for _, f := range t.Faults {
			if f.Kind == "kill" && f.Duration >= 100 {
				return t.Nodes >= 2
			}
		}
		return false
	}
	small := Shrink(s, fails, func(Script) {})
	if len(small.Faults) != 1 || small.Nodes != 2 || small.Schedulers != 1 || small.Shards != 1 || small.Faults[0].Duration >= 200 ||
		!fails(small) {
		t.Errorf("want one short fault, 2 nodes, 1 scheduler and 1 shard, got\n%s", small)
	}
}

// TestKillAfterEffects kills a scheduler after 1, 11, 21 and so on up to 111 effects.
func TestKillAfterEffects(t *testing.T) {
	for n := 1; n < 120; n += 10 {
		s := Script{
			Seed: uint64(n), Nodes: 3, Schedulers: 1, Shards: 2, ConnectionSharing: "shared", Rate: 60, Duration: 2500,
			Faults: []Fault{{At: 900, Kind: "kill-in", Target: "s0", Duration: 400, Size: float64(n)}},
		}
		if v := Run(s, nil, nil); v.Failure != "" {
			t.Errorf("scheduler killed after %d effects: %s", n, v.Failure)
		}
	}
}

func BenchmarkSeed(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		if v := Run(Draw(uint64(i)), nil, nil); v.Failure != "" {
			b.Fatal(fmt.Sprint(v.Script), v.Failure)
		}
	}
}
