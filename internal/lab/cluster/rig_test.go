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

// TestMain lets the test binary act as the scheduler processes that the rig starts.
func TestMain(m *testing.M) { spawn.Main(m.Run) }

// awaitAgreement waits until all running schedulers agree on the members and, where there are voters, on the cluster state.
func awaitAgreement(t *testing.T, r *Rig, within time.Duration) {
	t.Helper()
	reason := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var ok bool
		if ok, reason = r.MembersConverged(); ok && r.Voters > 0 {
			ok, reason = r.StateConverged()
		}
		if ok {
			return
		}
	}
	t.Errorf("no convergence within %s: %s", within, reason)
}

// startRig starts the rig with the test binary as schedulers, and waits until all agree.
func startRig(t *testing.T, config Config) *Rig {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	config.Command, config.Dir = []string{self}, t.TempDir()
	r, err := Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, r, 20*time.Second)
	return r
}

// playScript plays a script, after which all schedulers have to agree again within 20 s.
func playScript(t *testing.T, r *Rig, script string) {
	t.Helper()
	steps, err := Parse(strings.NewReader(script), r.Schedulers)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Play(t.Context(), steps, t.Logf); err != nil {
		t.Error(err)
	}
	awaitAgreement(t, r, 20*time.Second)
}

// finishRig ends the rig: no rule of the auditor may be violated, and at least 100 requests are served.
func finishRig(t *testing.T, r *Rig) Result {
	t.Helper()
	res := r.Finish()
	for i, b := range res.Violations {
		if i < 5 {
			t.Error(b)
		}
	}
	if res.Answers["served"] < 100 {
		t.Errorf("got answers %v, want at least 100 served", res.Answers)
	}
	keepTrace(t, r)
	return res
}

const processFaults = `# one killed, one paused, one deaf, a part cut off, nodes that restart cold
0     lossy 12000 0.05
200   kill  4500  0    4
500   cold  500   0.3
5000  stop  2000  0    3
5500  deaf  3000  0    0 1
8500  part  2500  0    0 1
9000  cold  500   0.5
`

// TestProcesses plays process and network faults on five schedulers under load: no rule is violated, the other four detect the killed one,
// and all converge on one view in the end.
func TestProcesses(t *testing.T) {
	r := startRig(t, Config{Schedulers: 5, Nodes: 8, Rate: 60, Seed: 1})
	playScript(t, r, processFaults)
	deaths, err := r.Deaths()
	if err != nil {
		t.Error(err)
	}
	reporters := map[string]bool{}
	for _, d := range deaths {
		if d.Member == "s004" {
			reporters[d.By] = true
		}
	}
	if len(reporters) < 4 {
		t.Errorf("s004 was killed and %d schedulers declared it dead, want 4", len(reporters))
	}
	res := finishRig(t, r)
	t.Logf("%v, %d deaths", res.Answers, len(deaths))
}

// TestParse checks that an error says which line of a script is wrong.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"100 kill 200 0 1 3-4": "", "# no\n\n1 cold 2 0.5": "", "0 stop 1 0 40%": "",
		"100 kill": "line 1", "100 burn 1 0 1": "line 1", "\n100 kill 1 0 9": "line 2", "1 deaf 1 0 1": "deaf needs two scheduler numbers", "x kill 1 0 1": "line 1",
		"1 kill 1 0 4-3": "numbers",
	} {
		_, err := Parse(strings.NewReader(text), 5)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", text, err, want)
		}
	}
}

const routeFaults = `# overlapping faults of routes to list, nodes and clients; nodes restart cold meanwhile
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

// TestRouteFaults plays faults of the routes to node list, nodes and clients on four schedulers under load: no rule is violated, and all
// schedulers agree on the members in the end.
func TestRouteFaults(t *testing.T) {
	r := startRig(t, Config{Schedulers: 4, Nodes: 10, Rate: 60, Seed: 2, Relays: true})
	playScript(t, r, routeFaults)
	res := finishRig(t, r)
	t.Logf("%v", res.Answers)
}

const voterFaults = `# voters: one killed, two of three paused, one cut off; then most of all schedulers killed
0     lossy 9000 0.05
200   kill  3000 0    0
4000  stop  3000 0    1 2
8000  part  3000 0    1
9000  kill  1500 0    3 4 5
11500 kill  1000 0    0 2 3 4
`

// TestVoterFaults has six schedulers under load, three of them voters, agree on one cluster state through kills, pauses and cuts: no rule is
// violated, version and epoch grow, and all hold the same state in the end.
func TestVoterFaults(t *testing.T) {
	r := startRig(t, Config{Schedulers: 6, Nodes: 8, Rate: 60, Seed: 3, Voters: 3})
	before, err := r.SchedulerView(5)
	if err != nil {
		t.Fatal(err)
	}
	playScript(t, r, voterFaults)
	after, err := r.SchedulerView(5)
	if err != nil {
		t.Fatal(err)
	}
	if after.ClusterState.Version <= before.ClusterState.Version || after.ClusterState.Epoch <= before.ClusterState.Epoch {
		t.Errorf("got version %d, epoch %d, want above version %d, epoch %d", after.ClusterState.Version, after.ClusterState.Epoch, before.ClusterState.Version, before.ClusterState.Epoch)
	}
	res := finishRig(t, r)
	t.Logf("%v, %+v", res.Answers, *after.ClusterState)
}

// TestZoneLoss cuts one zone's nodes off from eight schedulers in four zones under load, and restores them; any of the voters may lead. All
// schedulers stop sending to the zone, no rule is violated, and all send there again afterwards.
func TestZoneLoss(t *testing.T) {
	r := startRig(t, Config{Schedulers: 8, Nodes: 12, Rate: 80, Seed: 4, Voters: 3, Zones: 4, Relays: true})
	awaitShares := func(share float64, within time.Duration) (last float64) {
		t.Helper()
		var shares []float64
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			at, part, err := r.ZoneShares("south")
			if err != nil {
				t.Fatal(err)
			}
			if shares = part; slices.Min(part) == share && slices.Max(part) == share {
				return slices.Max(at)
			}
		}
		t.Fatalf("got shares of the zone %v, want %g from all schedulers", shares, share)
		return 0
	}
	lost := float64(time.Now().UnixMilli())
	r.IsolateZone("south", true)
	evacuated := awaitShares(0, 20*time.Second) - lost
	time.Sleep(3 * time.Second)
	r.IsolateZone("south", false)
	restored := float64(time.Now().UnixMilli())
	resumed := awaitShares(1, 40*time.Second) - restored
	time.Sleep(time.Second)
	res := finishRig(t, r)
	t.Logf("evacuated after %.0f ms, all send there again %.0f ms after its return; %v", evacuated, resumed, res.Answers)
}

const zoneFaults = `# zones lost while voters are killed, paused or cut off with their zone, and most schedulers are killed
0     zone 6000 3
1500  kill 1500 0    0
14000 stop 4000 0    0 1
15000 zone 6000 2
26000 part 4000 0    3 7
32000 zone 5000 1
33500 kill 1500 0    2-7
`

// TestZoneFaults loses one zone after the other for eight locality-aware schedulers, while schedulers fail: no rule is violated, all hold one
// cluster state in the end and send to their own zones without a limit again.
func TestZoneFaults(t *testing.T) {
	r := startRig(t, Config{Schedulers: 8, Nodes: 12, Rate: 80, Seed: 5, Voters: 3, Zones: 4, Localities: true, Relays: true})
	playScript(t, r, zoneFaults)
	missingShares := func() (text string) { // The result names the schedulers that do not send all to their own zone.
		for i := range r.processes {
			_, part, err := r.ZoneShares(r.zoneOf(i))
			if err != nil {
				t.Fatal(err)
			}
			if part[i] < 1 {
				text += fmt.Sprintf(" %s sends a share of %g to %s", r.processes[i].name, part[i], r.zoneOf(i))
			}
		}
		return text
	}
	for end := time.Now().Add(40 * time.Second); missingShares() != "" && time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
	}
	if missing := missingShares(); missing != "" {
		t.Error(missing)
	}
	res := finishRig(t, r)
	if res.Value < 0.3 {
		t.Errorf("got a fraction of %.3f of the value served in time, want at least 0.3", res.Value)
	}
	t.Logf("%v, %.3f of the value served in time, %.3f of the attempts in the scheduler's own zone", res.Answers, res.Value, res.LocalFraction)
}
