package cluster

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/lab/spawn"
)

// TestMain lets the test's own program be the scheduler processes that the rig starts.
func TestMain(m *testing.M) { spawn.Main(m.Run) }

// soon waits until all agree on who is there, and on one book where there is one.
func soon(t *testing.T, r *Rig, within time.Duration) {
	t.Helper()
	why := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var ok bool
		if ok, why = r.MembersConverged(); ok && r.Voters > 0 {
			ok, why = r.StateConverged()
		}
		if ok {
			return
		}
	}
	t.Errorf("after %s: %s", within, why)
}

// begin starts the rig by the test's own program, and waits until all agree.
func begin(t *testing.T, p Config) *Rig {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.Command, p.Dir = []string{self}, t.TempDir()
	r, err := Start(t.Context(), p)
	if err != nil {
		t.Fatal(err)
	}
	soon(t, r, 20*time.Second)
	return r
}

// play plays a script, after which all agree again.
func play(t *testing.T, r *Rig, script string) {
	t.Helper()
	steps, err := Parse(strings.NewReader(script), r.Schedulers)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Play(t.Context(), steps, t.Logf); err != nil {
		t.Error(err)
	}
	soon(t, r, 20*time.Second)
}

// end ends all: no rule is broken, and something was served.
func end(t *testing.T, r *Rig) Result {
	t.Helper()
	res := r.Finish()
	for i, b := range res.Violations {
		if i < 5 {
			t.Error(b)
		}
	}
	if res.Answers["served"] < 100 {
		t.Errorf("%v", res.Answers)
	}
	return res
}

const bad = `# one killed, one stopped, one deaf, a part cut off, all nodes of a zone back cold
0     lossy 12000 0.05
200   kill  4500  0    4
500   cold  500   0.3
5000  stop  2000  0    3
5500  deaf  3000  0    0 1
8500  part  2500  0    0 1
9000  cold  500   0.5
`

// TestProcesses plays a bad time for five processes under load: no rule breaks, who is killed or stopped is known to all, and
// one view comes of it in the end.
func TestProcesses(t *testing.T) {
	r := begin(t, Config{Schedulers: 5, Nodes: 8, Rate: 60, Seed: 1})
	play(t, r, bad)
	deaths, err := r.Deaths()
	if err != nil {
		t.Error(err)
	}
	heard := map[string]bool{}
	for _, d := range deaths {
		if d.Member == "s004" {
			heard[d.By] = true
		}
	}
	if len(heard) < 4 {
		t.Errorf("s004 was killed, and %d of four knew", len(heard))
	}
	res := end(t, r)
	t.Logf("%v, %d deaths", res.Answers, len(deaths))
}

// TestParse names what is wrong with a script.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"100 kill 200 0 1 3-4": "", "# no\n\n1 cold 2 0.5": "", "0 stop 1 0 40%": "",
		"100 kill": "line 1", "100 burn 1 0 1": "line 1", "\n100 kill 1 0 9": "line 2", "1 deaf 1 0 1": "deaf names two", "x kill 1 0 1": "line 1",
		"1 kill 1 0 4-3": "numbers",
	} {
		_, err := Parse(strings.NewReader(text), 5)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

const far = `# list, nodes and owners behind ways that fail, one upon the other; nodes come back cold meanwhile
0     list-cut  6000 0    0
300   list-slow 5000 400  1
600   node-slow 5000 1000 2
1000  reset     1000 0    3
1500  trickle   2500 300  1
2500  cold      500  0.4
3500  node-cut  4000 0.3  3
5000  stop      1500 0    2
5500  list-cut  2000 0    1 2
6500  cold      500  0.2
`

// TestWays plays failing ways to list, nodes and owners for four processes under load: no rule breaks, and all are answered.
func TestWays(t *testing.T) {
	r := begin(t, Config{Schedulers: 4, Nodes: 10, Rate: 60, Seed: 2, Relays: true})
	play(t, r, far)
	res := end(t, r)
	t.Logf("%v", res.Answers)
}

const council = `# the stewards: one killed, two of three stopped, one cut off; then most of all killed
0     lossy 9000 0.05
200   kill  3000 0    0
4000  stop  3000 0    1 2
8000  part  3000 0    1
9000  kill  1500 0    3 4 5
11500 kill  1000 0    0 2 3 4
`

// TestBook has six processes under load, three of them stewards, agree on one book among kills, stops and cuts: no rule
// breaks, and all hold the same in the end.
func TestBook(t *testing.T) {
	r := begin(t, Config{Schedulers: 6, Nodes: 8, Rate: 60, Seed: 3, Voters: 3})
	before, err := r.SchedulerView(5)
	if err != nil {
		t.Fatal(err)
	}
	play(t, r, council)
	after, err := r.SchedulerView(5)
	if err != nil {
		t.Fatal(err)
	}
	if after.ClusterState.Version <= before.ClusterState.Version || after.ClusterState.Epoch <= before.ClusterState.Epoch {
		t.Errorf("version %d, epoch %d; before %d, %d", after.ClusterState.Version, after.ClusterState.Epoch, before.ClusterState.Version, before.ClusterState.Epoch)
	}
	res := end(t, r)
	t.Logf("%v, %+v", res.Answers, *after.ClusterState)
}

// TestZone has eight processes in four zones lose one zone's nodes and have them back, under load, while the leader of the
// stewards may be any: all leave it, nothing is started there meanwhile, no rule breaks, and all send there again.
func TestZone(t *testing.T) {
	r := begin(t, Config{Schedulers: 8, Nodes: 12, Rate: 80, Seed: 4, Voters: 3, Zones: 4, Relays: true})
	all := func(what float64, within time.Duration) (last float64) {
		t.Helper()
		var parts []float64
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			at, part, err := r.ZoneShares("south")
			if err != nil {
				t.Fatal(err)
			}
			if parts = part; slices.Min(part) == what && slices.Max(part) == what {
				return slices.Max(at)
			}
		}
		t.Fatalf("parts of the zone that are sent to: %v, want %g", parts, what)
		return 0
	}
	lost := float64(time.Now().UnixMilli())
	r.IsolateZone("south", true)
	left := all(0, 20*time.Second) - lost
	time.Sleep(3 * time.Second)
	r.IsolateZone("south", false)
	back := float64(time.Now().UnixMilli())
	again := all(1, 40*time.Second) - back
	time.Sleep(time.Second)
	res := end(t, r)
	t.Logf("left by all after %.0f ms, all send there again %.0f ms after its return; %v", left, again, res.Answers)
}

const zones = `# zones lost while stewards die, stand still, are cut off with their own, and most of all are killed
0     zone 6000 3
1500  kill 1500 0    0
14000 stop 4000 0    0 1
15000 zone 6000 2
26000 part 4000 0    3 7
32000 zone 5000 1
33500 kill 1500 0    2-7
`

// TestZoneFaults loses zones one after the other for eight processes that keep near, while other things fail: no rule breaks, all
// hold one book in the end and send everywhere again.
func TestZoneFaults(t *testing.T) {
	r := begin(t, Config{Schedulers: 8, Nodes: 12, Rate: 80, Seed: 5, Voters: 3, Zones: 4, Localities: true, Relays: true})
	play(t, r, zones)
	own := func() (at string) { // all send to their own zones wholly
		for i := range r.processes {
			_, part, err := r.ZoneShares(r.zoneOf(i))
			if err != nil {
				t.Fatal(err)
			}
			if part[i] < 1 {
				at += fmt.Sprintf(" %s sends to %g of %s", r.processes[i].name, part[i], r.zoneOf(i))
			}
		}
		return at
	}
	for end := time.Now().Add(40 * time.Second); own() != "" && time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
	}
	if left := own(); left != "" {
		t.Error(left)
	}
	res := end(t, r)
	if res.Value < 0.3 {
		t.Errorf("%.3f of the value was served", res.Value)
	}
	t.Logf("%v, %.3f of the value served in time, %.3f ran in the own zone", res.Answers, res.Value, res.LocalFraction)
}
