package serve

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/audit"
	"ravenpond/internal/site"
)

const (
	clusterNodes      = 60
	clusterSchedulers = 5
	minSetSize        = 12 // a node is in one set in the mean
)

// workingSetCluster is a cluster with one of five schedulers, each of which works with a fifth of the nodes.
type workingSetCluster struct {
	*testCluster
	set     *workingSet
	address string // where clients connect
}

// newWorkingSetCluster starts the scheduler, and waits until it has visited all nodes.
func newWorkingSetCluster(t *testing.T, faults Faults) *workingSetCluster {
	t.Helper()
	s := newTestCluster(t, clusterSchedulers, clusterNodes, false)
	began := make(chan *workingSet, 1)
	s.configure = func(config *Config) { config.OnLocalListener = func(l *LocalListener) { began <- l.server.workingSet } }
	s.start(0, s.workingSetSite(), faults)
	c := &workingSetCluster{testCluster: s, set: <-began}
	waitFor(t, "a settled set", func() bool { return c.set.isSettled() })
	c.address = s.clients[0].SchedulerAddress()
	return c
}

// workingSetSite is the stage's site with a working set.
func (s *testCluster) workingSetSite() site.Config {
	siteConfig := *s.siteConfig
	siteConfig.Cluster.SlowStartDuration = 50 // the nodes are warm from the start
	siteConfig.WorkingSet = site.WorkingSet{MinNodes: minSetSize, Coverage: 1, SpareFactor: 1, NodesPerStart: 1, MinPerStratum: 2, NarrowAfter: 1000}
	return siteConfig
}

// isSettled reports whether all nodes outside have been visited, and disconnected where no task runs.
func (w *workingSet) isSettled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, state := range w.nodeStates {
		if state == nodeAside {
			return false
		}
	}
	return w.set.Size() > 0 && w.visits.Pending() == 0
}

// setMembers has the set shared by others than before.
func (w *workingSet) setMembers(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set.SetMembers(w.env.Now(), names)
}

func (w *workingSet) size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Size()
}

// linked counts nodes that are connected to a scheduler.
func (s *testCluster) linked(scheduler string) (n int) {
	s.world.WithLock(func(float64) {
		for _, node := range s.nodes {
			if node.IsConnected(scheduler) {
				n++
			}
		}
	})
	return n
}

// TestWorkingSetConnections loads a scheduler with a working set: it visits every node once, keeps as many connections
// as its set has nodes, and breaks no rule.
func TestWorkingSetConnections(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	v := s.set
	s.load(6000, 5, "0012") // so few that its load needs no larger set
	waitFor(t, "idle connections to end", func() bool { return v.isSettled() && s.linked("s0") == v.size() })
	if size := v.size(); size < minSetSize/2 || size > 3*minSetSize {
		t.Errorf("%d nodes in the set", size)
	}
	met := map[uint32]bool{}
	for _, r := range s.world.Trace.Records() {
		if r.Kind == audit.LinkOpened {
			met[r.Node] = true
		}
	}
	if len(met) != clusterNodes {
		t.Errorf("%d of %d nodes were connected or visited", len(met), clusterNodes)
	}
	if breaks, served := s.violations(); len(breaks) > 0 || served < 25 {
		t.Errorf("%d served, breaks %v", served, breaks[:min(4, len(breaks))])
	}
}

// runTasksOutside runs tasks and has their nodes leave the set, until the tasks have ended. It returns of how many tasks the client was told
// that they ended, and of how many that they were lost.
func (s *workingSetCluster) runTasksOutside(t *testing.T) (ended, lost int) {
	t.Helper()
	c := connect(t, s.address)
	const tasks = 30
	for ref := range uint64(tasks) {
		if err := c.allocate(ref+1, "free", fmt.Sprint("task", ref)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "tasks to run", func() bool { return c.count(`"served"`) == tasks })
	s.set.setMembers("x", "y", "z", "w")
	for end := time.Now().Add(12 * time.Second); c.count("over") < tasks && time.Now().Before(end); { // lost ones take 8 s
		time.Sleep(10 * time.Millisecond)
	}
	ended = c.count(`"ended"`)
	return ended, tasks - ended
}

// TestTasksOutsideWorkingSetEnd runs tasks on nodes that leave the set: each is told to end, and only then is its node disconnected.
func TestTasksOutsideWorkingSetEnd(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	if ended, lost := s.runTasksOutside(t); lost > 0 {
		t.Errorf("%d tasks ended, %d were lost", ended, lost)
	}
	waitFor(t, "idle connections to end", func() bool { return s.set.isSettled() && s.linked("s0") == s.set.size() })
}

// TestAbandonedTasksAreDetected injects a scheduler that disconnects nodes outside its set whatever runs there.
func TestAbandonedTasksAreDetected(t *testing.T) {
	t.Parallel()
	if _, lost := newWorkingSetCluster(t, Faults{AbandonTasks: true}).runTasksOutside(t); lost == 0 {
		t.Error("tasks without a way home are not found")
	}
}

// TestNodeOutsideWorkingSetCrashes has a node die that left the set while tasks run there: their client is told within the
// time that a broken connection is given.
func TestNodeOutsideWorkingSetCrashes(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	v, address := s.set, s.address
	c := connect(t, address)
	for ref := range uint64(30) {
		if err := c.allocate(ref+1, "free", fmt.Sprint("task", ref)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "tasks to run", func() bool { return c.count(`"served"`) == 30 })
	before := map[uint32]bool{}
	v.mu.Lock()
	for id, state := range v.nodeStates {
		before[id] = state == nodeInside
	}
	v.mu.Unlock()
	v.setMembers("x", "y", "z", "w")
	time.Sleep(300 * time.Millisecond)
	died := 0
	s.world.WithLock(func(now float64) {
		for _, n := range s.nodes {
			if before[n.ID] && !v.contains(n.ID) && n.Machine.TaskCount() > 0 {
				died += n.Machine.TaskCount()
				n.Crash(now)
			}
		}
	})
	at := time.Now()
	if died == 0 {
		t.Fatal("no task at a node outside the set")
	}
	waitFor(t, "the owner to hear of all", func() bool { return c.count("over") == 30 })
	if lost := c.count(`"lost"`); lost != died || time.Since(at) > 8500*time.Millisecond {
		t.Errorf("%d tasks were at nodes that died, %d are told lost after %v", died, lost, time.Since(at))
	}
}

// restartElsewhere runs tasks, restarts the scheduler with a set of other nodes, and requests the same tasks again. It returns how often
// they were started in all.
func restartElsewhere(t *testing.T, faults Faults) (tasks, starts int) {
	t.Helper()
	s := newTestCluster(t, clusterSchedulers, clusterNodes, false)
	siteConfig := s.workingSetSite()
	siteConfig.ListAddress = s.list.Address()
	for _, n := range s.nodes { // work runs long enough
		n.Machine.JobProfiles[2].MeanRuntime = 20_000
	}
	run := func(index int) (string, *workingSet, func()) {
		ctx, stop := context.WithCancel(s.ctx)
		ready, began, done := make(chan string, 1), make(chan *workingSet, 1), make(chan error, 1)
		go func() {
			done <- Run(ctx, Config{
				Site: &siteConfig, Name: "s0", Index: index, Folder: filepath.Join(s.dir, "s0"), Seed: uint64(index + 1),
				Log: zerolog.Nop(), Faults: faults, Ready: func(a string) { ready <- a }, OnLocalListener: func(l *LocalListener) { began <- l.server.workingSet },
			})
		}()
		return <-ready, <-began, func() {
			stop()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
	tasks = 20
	requestAll := func(address string) {
		c := connect(t, address)
		for ref := range uint64(tasks) {
			if err := c.allocate(ref+1, "once", fmt.Sprint("task", ref)); err != nil {
				t.Fatal(err)
			}
		}
		waitFor(t, "tasks to run", func() bool { return c.count(`"served"`) == tasks })
	}
	address, v, end := run(0)
	waitFor(t, "a settled set", v.isSettled)
	requestAll(address)
	end()
	address, _, end = run(3)
	time.Sleep(time.Duration(s.siteConfig.SettleTime) * time.Millisecond) // as clients do
	requestAll(address)
	end()
	for _, r := range s.world.Trace.Records() {
		if r.Kind == audit.TaskStarted {
			starts++
		}
	}
	return tasks, starts
}

// TestTasksOfEarlierIncarnation has a scheduler recover what it left running on nodes that are not in its set any more: it does not start
// it a second time. One that does not visit these nodes does.
func TestTasksOfEarlierIncarnation(t *testing.T) {
	t.Parallel()
	if tasks, starts := restartElsewhere(t, Faults{}); starts != tasks {
		t.Errorf("%d starts of %d tasks", starts, tasks)
	}
	if tasks, starts := restartElsewhere(t, Faults{SkipVisits: true}); starts == tasks {
		t.Error("no second start is seen where nodes outside are not visited")
	}
}

// TestWorkingSetWidensWhenFull fills the set: tasks find nodes beyond it in time.
func TestWorkingSetWidensWhenFull(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	v, address := s.set, s.address
	usual := v.size()
	c := connect(t, address)
	const tasks = 40
	for ref := range uint64(tasks) { // each takes more than half of a node: the set holds as many as it has nodes
		_, err := c.Call(s.ctx, "allocate", map[string]any{
			"ref": ref + 1, "tenant": "t", "key": fmt.Sprint("large", ref), "job-type": "free",
			"service": "large", "cores": 40, "memory": 1,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	served := func() int { return c.count(`"served"`) }
	waitFor(t, "tasks to run", func() bool { return served() == tasks })
	if size := v.size(); size <= usual {
		t.Errorf("%d nodes, %d before", size, usual)
	}
}

// TestWholeWorkingSetCrashes has all nodes of the set die at once: requests right after start elsewhere in time.
func TestWholeWorkingSetCrashes(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	v, address := s.set, s.address
	c := connect(t, address)
	s.world.WithLock(func(now float64) {
		for _, n := range s.nodes {
			if v.contains(n.ID) {
				n.Crash(now)
			}
		}
	})
	began := time.Now()
	const tasks = 20
	for ref := range uint64(tasks) {
		if err := c.allocate(ref+1, "free", fmt.Sprint("task", ref)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "tasks to run", func() bool { return c.count(`"served"`) == tasks })
	if took := time.Since(began); took > 1800*time.Millisecond {
		t.Errorf("%d tasks run %v after their scheduler's set died", tasks, took)
	}
}
