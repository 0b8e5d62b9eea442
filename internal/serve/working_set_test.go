package serve

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"testing"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/site"
)

const (
	clusterNodes      = 60
	clusterSchedulers = 5
	minSetSize        = 12 // on average, a node is in one scheduler's set
)

// workingSetCluster is a cluster that runs one of five schedulers, each of which uses a fifth of the nodes.
type workingSetCluster struct {
	*testCluster
	set     *workingSet
	address string // of the client listener
}

// newWorkingSetCluster starts the scheduler, and waits until it has visited all nodes and disconnected those outside its set.
func newWorkingSetCluster(t *testing.T, faults Faults) *workingSetCluster {
	t.Helper()
	s := newTestCluster(t, clusterSchedulers, clusterNodes, false)
	sets := make(chan *workingSet, 1)
	s.configure = func(config *Config) { config.OnLocalListener = func(l *LocalListener) { sets <- l.server.workingSet } }
	s.start(0, s.workingSetSite(), faults)
	c := &workingSetCluster{testCluster: s, set: <-sets}
	waitFor(t, "the working set is settled", func() bool { return c.set.isSettled() })
	c.address = s.clients[0].SchedulerAddress()
	return c
}

// workingSetSite returns the test cluster's site configuration with a working set.
func (s *testCluster) workingSetSite() site.Config {
	siteConfig := *s.siteConfig
	siteConfig.Cluster.SlowStartDuration = 50 // short, so that the nodes' slow start ends at once
	siteConfig.WorkingSet = site.WorkingSet{MinNodes: minSetSize, Coverage: 1, SpareFactor: 1, NodesPerStart: 1, MinPerStratum: 2, NarrowAfter: 1000}
	return siteConfig
}

// isSettled reports whether all nodes have been visited, and those outside the set are disconnected.
func (w *workingSet) isSettled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, state := range w.nodeStates {
		if state == nodeOutside {
			return false
		}
	}
	return w.set.Size() > 0 && w.visits.Pending() == 0
}

// setMembers changes the schedulers among which the nodes are divided.
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

// connectedNodes returns the number of nodes that are connected to a scheduler.
func (s *testCluster) connectedNodes(scheduler string) (n int) {
	s.testbed.WithLock(func(float64) {
		for _, node := range s.nodes {
			if node.IsConnected(scheduler) {
				n++
			}
		}
	})
	return n
}

// TestWorkingSetConnections loads a scheduler with a working set. The scheduler has to visit every node, to keep connections only to the nodes
// of its set, and to violate no rule of the audit.
func TestWorkingSetConnections(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	set := s.set
	s.load(6000, 5, "0012") // few requests, so that the load needs no larger set
	waitFor(t, "idle connections are closed", func() bool { return set.isSettled() && s.connectedNodes("s0") == set.size() })
	if size := set.size(); size < minSetSize/2 || size > 3*minSetSize {
		t.Errorf("got %d nodes in the set, want half to three times the configured minimum", size)
	}
	connected := map[uint32]bool{}
	for _, r := range s.testbed.Trace.Records() {
		if r.Kind == audit.LinkOpened {
			connected[r.Node] = true
		}
	}
	if len(connected) != clusterNodes {
		t.Errorf("got %d nodes connected or visited, want %d", len(connected), clusterNodes)
	}
	if violations, served := s.violations(); len(violations) > 0 || served < 25 {
		t.Errorf("got %d requests served, want at least 25; violations: %v", served, violations[:min(4, len(violations))])
	}
}

// runTasksOutside starts tasks, makes their nodes leave the set, and waits until the tasks are over. It returns how many tasks were reported
// to the client as ended, and how many were not.
func (s *workingSetCluster) runTasksOutside(t *testing.T) (ended, lost int) {
	t.Helper()
	c := connect(t, s.address)
	const tasks = 30
	c.serveTasks(t, "free", tasks)
	s.set.setMembers("x", "y", "z", "w")
	for end := time.Now().Add(12 * time.Second); c.count("over") < tasks && time.Now().Before(end); { // a lost task is reported after 8 s
		time.Sleep(10 * time.Millisecond)
	}
	ended = c.count(`"ended"`)
	return ended, tasks - ended
}

// TestTasksOutsideWorkingSetEnd runs tasks on nodes that leave the set. The end of each task has to be reported to the client, and a node is
// disconnected only after its tasks have ended.
func TestTasksOutsideWorkingSetEnd(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	if ended, lost := s.runTasksOutside(t); lost > 0 {
		t.Errorf("got %d tasks ended and %d lost, want none lost", ended, lost)
	}
	waitFor(t, "idle connections are closed", func() bool { return s.set.isSettled() && s.connectedNodes("s0") == s.set.size() })
}

// TestAbandonedTasksAreDetected injects the fault that a scheduler disconnects nodes outside its set even if tasks run there. The check of
// TestTasksOutsideWorkingSetEnd has to find lost tasks.
func TestAbandonedTasksAreDetected(t *testing.T) {
	t.Parallel()
	if _, lost := newWorkingSetCluster(t, Faults{AbandonTasks: true}).runTasksOutside(t); lost == 0 {
		t.Error("got no lost task although nodes were disconnected while tasks ran there, want some")
	}
}

// TestNodeOutsideWorkingSetCrashes crashes nodes that left the set while tasks ran there. The client has to be told that the tasks are lost
// within the time that a scheduler waits for a broken connection to return.
func TestNodeOutsideWorkingSetCrashes(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	set, address := s.set, s.address
	c := connect(t, address)
	c.serveTasks(t, "free", 30)
	inSet := map[uint32]bool{}
	set.mu.Lock()
	for id, state := range set.nodeStates {
		inSet[id] = state == nodeInside
	}
	set.mu.Unlock()
	set.setMembers("x", "y", "z", "w")
	time.Sleep(300 * time.Millisecond)
	crashedTasks := 0
	s.testbed.WithLock(func(now float64) {
		for _, n := range s.nodes {
			if inSet[n.ID] && !set.contains(n.ID) && n.Machine.TaskCount() > 0 {
				crashedTasks += n.Machine.TaskCount()
				n.Crash(now)
			}
		}
	})
	crashedAt := time.Now()
	if crashedTasks == 0 {
		t.Fatal("got no task on a node outside the set, want some")
	}
	waitFor(t, "the client is told of the end of all tasks", func() bool { return c.count("over") == 30 })
	if lost := c.count(`"lost"`); lost != crashedTasks || time.Since(crashedAt) > 8500*time.Millisecond {
		t.Errorf("%d tasks were on crashed nodes, got %d reported lost %v after the crash, want all within 8.5 s", crashedTasks, lost, time.Since(crashedAt))
	}
}

// restartElsewhere runs tasks, restarts the scheduler with a set of other nodes, and requests the same tasks again. It returns the number of
// tasks and how often tasks were started in total.
func restartElsewhere(t *testing.T, faults Faults) (tasks, starts int) {
	t.Helper()
	s := newTestCluster(t, clusterSchedulers, clusterNodes, false)
	siteConfig := s.workingSetSite()
	siteConfig.ListAddress = s.list.Address()
	for _, n := range s.nodes { // tasks of this job class have to run until the end of the test
		n.Machine.JobProfiles[2].MeanRuntime = 20_000
	}
	run := func(index int) (string, *workingSet, func()) {
		ctx, stop := context.WithCancel(s.ctx)
		ready, sets, done := make(chan string, 1), make(chan *workingSet, 1), make(chan error, 1)
		go func() {
			done <- Run(ctx, Config{
				Site: &siteConfig, Name: "s0", Index: index, Folder: filepath.Join(s.dir, "s0"), Seed: uint64(index + 1),
				Log: s.trace.logger("s0"), Faults: faults, Ready: func(a string) { ready <- a }, OnLocalListener: func(l *LocalListener) { sets <- l.server.workingSet },
			})
		}()
		return <-ready, <-sets, func() {
			stop()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
	tasks = 20
	requestAll := func(address string) {
		connect(t, address).serveTasks(t, "once", tasks)
	}
	address, set, stopScheduler := run(0)
	waitFor(t, "the working set is settled", set.isSettled)
	requestAll(address)
	stopScheduler()
	address, _, stopScheduler = run(3)
	time.Sleep(time.Duration(s.siteConfig.SettleTime) * time.Millisecond) // clients wait this long before they request a task that may start a second time
	requestAll(address)
	stopScheduler()
	for _, r := range s.testbed.Trace.Records() {
		if r.Kind == audit.TaskStarted {
			starts++
		}
	}
	return tasks, starts
}

// TestTasksOfEarlierIncarnation restarts a scheduler while its tasks run on nodes that are no longer in its set. The scheduler has to find the
// tasks by visiting these nodes, and must not start them a second time. With the fault that the nodes are not visited, it does.
func TestTasksOfEarlierIncarnation(t *testing.T) {
	t.Parallel()
	if tasks, starts := restartElsewhere(t, Faults{}); starts != tasks {
		t.Errorf("got %d starts of %d tasks, want one start of each", starts, tasks)
	}
	if tasks, starts := restartElsewhere(t, Faults{SkipVisits: true}); starts == tasks {
		t.Error("got no second start of a task although nodes outside the set were not visited, want some")
	}
}

// TestWorkingSetWidensWhenFull requests more tasks than the nodes of the set can hold. The set has to grow so that all tasks run in time.
func TestWorkingSetWidensWhenFull(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	set, address := s.set, s.address
	sizeBefore := set.size()
	c := connect(t, address)
	const tasks = 40
	c.serveAll(t, tasks, func(ref uint64, task int) error { // each takes more than half of a node, so each node of the set holds one
		_, err := c.Call(s.ctx, "allocate", map[string]any{
			"ref": ref, "tenant": "t", "key": fmt.Sprint("large", task), "job-type": "free",
			"service": "large", "cores": 40, "memory": 1,
		})
		return err
	})
	if size := set.size(); size <= sizeBefore {
		t.Errorf("got %d nodes in the set, want more than the %d before", size, sizeBefore)
	}
}

// serveTasks requests tasks of a job class, and waits until all run.
func (c *testClient) serveTasks(t *testing.T, job string, tasks int) {
	t.Helper()
	c.serveAll(t, tasks, func(ref uint64, task int) error { return c.allocate(ref, job, fmt.Sprint("task", task)) })
}

// serveAll requests tasks and waits until all run. A request that the scheduler declines because it lags behind, as it does on a machine that
// leaves it no processor time, is repeated as a client repeats it, with a new number. Any other answer than "served" fails the test.
func (c *testClient) serveAll(t *testing.T, tasks int, request func(ref uint64, task int) error) {
	t.Helper()
	lastRef, taskOf := uint64(0), map[uint64]int{}
	send := func(task int) {
		lastRef++
		taskOf[lastRef] = task
		if err := request(lastRef, task); err != nil {
			t.Fatal(err)
		}
	}
	for task := range tasks {
		send(task)
	}
	waitFor(t, "all tasks run", func() bool {
		for ref, task := range maps.Clone(taskOf) {
			if c.count(fmt.Sprintf(`{"ref":%d,"answer":"declined","why":"behind"}`, ref)) > 0 {
				delete(taskOf, ref)
				send(task)
			}
		}
		if failed := c.count(`"answer":"declined"}`) + c.count(`"answer":"failed"`); failed > 0 {
			t.Fatalf("got %d requests that were declined or failed though nodes have capacity, want none", failed)
		}
		return c.count(`"served"`) == tasks
	})
}

// TestRequestAfterWorkingSetCrashes crashes all nodes of the set before a single request: the request has to be served by another node. It guards
// against attempts at nodes that can't be reached using up the attempts that the site allows. Which nodes are tried is drawn at random.
func TestRequestAfterWorkingSetCrashes(t *testing.T) {
	t.Parallel()
	for round := range 8 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			s := newWorkingSetCluster(t, Faults{})
			c := connect(t, s.address)
			s.crashWorkingSet()
			c.serveTasks(t, "free", 1)
		})
	}
}

// crashWorkingSet crashes all nodes of the set.
func (s *workingSetCluster) crashWorkingSet() {
	s.testbed.WithLock(func(now float64) {
		for _, n := range s.nodes {
			if s.set.contains(n.ID) {
				n.Crash(now)
			}
		}
	})
}

// TestWholeWorkingSetCrashes crashes all nodes of the set at once. Requests that arrive right after have to start on other nodes in time.
func TestWholeWorkingSetCrashes(t *testing.T) {
	t.Parallel()
	s := newWorkingSetCluster(t, Faults{})
	c := connect(t, s.address)
	s.crashWorkingSet()
	crashedAt := time.Now()
	const tasks = 20
	c.serveTasks(t, "free", tasks)
	if took := time.Since(crashedAt); took > 1800*time.Millisecond {
		t.Errorf("%d tasks took %v after the crash of the set to run, want at most 1.8 s", tasks, took)
	}
}
