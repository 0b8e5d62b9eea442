package serve

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state/maintenancestore"
)

// TestMain runs a scheduler instead of the tests if RAVENPOND_TEST_SERVE is set. Tests that kill a scheduler process start one this way.
func TestMain(m *testing.M) {
	if folder := os.Getenv("RAVENPOND_TEST_SERVE"); folder != "" {
		runTestScheduler(folder)
		return
	}
	goleak.VerifyTestMain(m)
}

// killingExecutor kills its own process when a maintenance window opens.
type killingExecutor struct {
	maintenance.Executor
	beforeShards bool // whether the process is killed before the shards are told
}

func (k killingExecutor) SetDraining(nodes []string, out bool) {
	if !k.beforeShards {
		k.Executor.SetDraining(nodes, out)
		time.Sleep(50 * time.Millisecond)
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// runTestScheduler runs a scheduler on a state folder until the process is killed.
func runTestScheduler(folder string) {
	siteConfig, faults := site.Read(strings.NewReader(strings.Replace(fmt.Sprintf(testSite, 1), "127.0.0.1:1",
		os.Getenv("RAVENPOND_TEST_LIST"), 1)))
	if len(faults) > 0 {
		panic(faults)
	}
	config := Config{Site: siteConfig, Name: "s0", Folder: folder, Seed: 1, Log: zerolog.Nop(), Ready: func(a string) {
		_ = os.WriteFile(filepath.Join(folder, "address.new"), []byte(a), 0o600)
		_ = os.Rename(filepath.Join(folder, "address.new"), filepath.Join(folder, "address"))
	}}
	if kill := os.Getenv("RAVENPOND_TEST_KILL"); kill != "" {
		config.Faults.WrapMaintenance = func(e maintenance.Executor) maintenance.Executor {
			return killingExecutor{e, kill == "before"}
		}
	}
	if err := Run(context.Background(), config); err != nil {
		panic(err)
	}
}

// addWindow adds a maintenance window for one node, with the given start, lead and duration, to a state folder.
func addWindow(t *testing.T, folder string, start time.Time, lead, last time.Duration, node string) {
	t.Helper()
	store, err := maintenancestore.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	w := calendar.Window{ID: "w", Start: start, Duration: last, Lead: lead, Scope: calendar.OneNode, Target: node, CreatedAt: start}
	if err := store.AddEvents(&calendar.Calendar{Windows: []calendar.Window{w}}, start); err != nil {
		t.Fatal(err)
	}
}

// TestKilledWhenWindowOpens kills a scheduler process after it has stored that a window is open, either before or just after it tells the
// shards. The next incarnation has to put the nodes into maintenance before it places anything, and must not open the window a second time.
func TestKilledWhenWindowOpens(t *testing.T) {
	for _, kill := range []string{"before", "after"} {
		t.Run(kill, func(t *testing.T) {
			t.Parallel()
			testKilledWhenWindowOpens(t, kill)
		})
	}
}

func testKilledWhenWindowOpens(t *testing.T, kill string) {
	t.Helper()
	s := newTestCluster(t, 1, 8, false)
	p := &schedulerProcess{testCluster: s, folder: filepath.Join(s.dir, "alone")}
	addWindow(t, p.folder, time.Now().Add(4500*time.Millisecond).Truncate(time.Second), 2*time.Second, 20*time.Second, "2")
	first := p.run(t, kill)
	p.awaitAddress()
	client := &standin.Client{Scheduler: "s0", SchedulerAddress: p.address, SettleTime: s.siteConfig.SettleTime}
	s.clients = append(s.clients, client)
	s.testbed.StartClient(client, 0)
	p.loadUntilKilled(t, first)
	s.testbed.Trace.Add(audit.Record{At: s.testbed.Now(), Kind: audit.SchedulerKilled, Scheduler: "s0"})
	_ = os.Remove(filepath.Join(p.folder, "address"))
	second := p.run(t, "")
	defer func() { _ = second.Process.Kill(); _ = second.Wait() }()
	p.awaitAddress()
	now := s.testbed.Now()
	for _, n := range s.nodes {
		if n.ID == 2 {
			s.testbed.Trace.Add(audit.Record{At: now - s.rules.DrainGrace, Kind: audit.MaintenanceChanged, Node: n.ID, Detail: "out"}) // grace has passed
		}
	}
	s.load(2500, 60, "0")
	violations, served := s.violations()
	if len(violations) > 0 || served < 50 {
		t.Errorf("got %d requests served, want at least 50; violations: %v", served, violations[:min(4, len(violations))])
	}
	_ = second.Process.Signal(syscall.SIGKILL)
	_ = second.Wait()
	store, err := maintenancestore.Open(p.folder)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	drains, err := store.Drains()
	if err != nil || len(drains) != 1 || drains[0].Stage < maintenancestore.Announced {
		t.Errorf("got drains %+v, want one that is at least announced; error: %v", drains, err)
	}
}

// schedulerProcess runs a scheduler in a process of its own, several times on the same state folder.
type schedulerProcess struct {
	*testCluster
	folder string
}

// run starts a scheduler process. kill says whether the process kills itself "before" or "after" its shards are told of an open window; if
// it is empty, the process does not kill itself.
func (p *schedulerProcess) run(t *testing.T, kill string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "RAVENPOND_TEST_SERVE="+p.folder, "RAVENPOND_TEST_LIST="+p.list.Address(), "RAVENPOND_TEST_KILL="+kill)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerStarted, Scheduler: "s0"})
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// address returns the address on which the process listens, or an empty string if it does not listen yet.
func (p *schedulerProcess) address() string {
	b, _ := os.ReadFile(filepath.Join(p.folder, "address"))
	return string(b)
}

func (p *schedulerProcess) awaitAddress() {
	for p.address() == "" {
		time.Sleep(10 * time.Millisecond)
	}
}

// loadUntilKilled sends requests until the process has been killed.
func (p *schedulerProcess) loadUntilKilled(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	killed := make(chan struct{})
	go func() { _ = cmd.Wait(); close(killed) }()
	for {
		p.load(200, 40, "0")
		select {
		case <-killed:
			return
		case <-p.ctx.Done():
			t.Fatal("the scheduler process did not kill itself before the test ended")
		default:
		}
	}
}

// TestListServerForwardsMaintenance opens a window at one scheduler. A second scheduler, which has no calendar, has to learn from the list
// server that the node drains, and later that it is ready again.
func TestListServerForwardsMaintenance(t *testing.T) {
	s := newTestCluster(t, 2, 8, false)
	for _, folder := range []string{"s0", "s1"} {
		if err := os.MkdirAll(filepath.Join(s.dir, folder), 0o750); err != nil {
			t.Fatal(err)
		}
	}
	addWindow(t, filepath.Join(s.dir, "s0"), time.Now().Add(4500*time.Millisecond).Truncate(time.Second), 2*time.Second, 3*time.Second, "2")
	s.start(0, *s.siteConfig, Faults{})
	s.start(1, *s.siteConfig, Faults{})
	for _, until := range []struct {
		state   string
		matches func(nodes []uint32) bool
	}{
		{"draining", func(out []uint32) bool { return slices.Equal(out, []uint32{2}) }},
		{"ready", func(back []uint32) bool { return len(back) == 8 }},
	} {
		for end := s.testbed.Now() + 20000; !until.matches(s.nodesInState("s1", until.state)); s.load(100, 50, "0012") {
			if s.testbed.Now() > end {
				t.Fatalf("the scheduler without a calendar did not get the expected nodes with state %q within 20 s; got %v", until.state, s.nodesInState("s1", until.state))
			}
		}
	}
	s.load(1000, 50, "0012")
	if violations, served := s.violations(); len(violations) > 0 || served < 100 {
		t.Errorf("got %d requests served, want at least 100; violations: %v", served, violations[:min(4, len(violations))])
	}
}

// nodesInState returns the nodes whose state, as last sent to a scheduler by the list server, is the given one.
func (s *testCluster) nodesInState(scheduler, state string) (nodes []uint32) {
	last := map[uint32]string{}
	for _, r := range s.testbed.Trace.Records() {
		if r.Kind == audit.EndpointDelivered && r.Scheduler == scheduler {
			last[r.Node] = r.Detail
		}
	}
	for _, n := range s.nodes {
		if last[n.ID] == state {
			nodes = append(nodes, n.ID)
		}
	}
	return nodes
}
