package platformproc

import (
	"slices"
	"testing"
	"time"

	codec "ravenpond/internal/proto/platform"
)

const (
	kindAnswer = codec.KindAnswer
	kindEnd    = codec.KindEnd
)

// checkGroups checks that each keyed request was sent only to nodes of one zone, once an attempt may have run: the nodes answer with errors.
func (r *rig) checkGroups(tasks []uint64) {
	r.t.Helper()
	for _, task := range tasks {
		setUps := r.history.SetUps(task)
		if slices.ContainsFunc(setUps, func(s SetUp) bool { return s.Zone != setUps[0].Zone }) {
			r.t.Errorf("keyed task %d was sent again outside its group: %v", task, setUps)
		}
	}
}

// requestMany sends keyed requests one after the other, as many as there are intervals.
func (r *rig) requestMany(x *Client, count int, interval time.Duration) (tasks []uint64) {
	for range count {
		tasks = append(tasks, r.request(x, "marked"))
		time.Sleep(interval)
	}
	return tasks
}

// awaitAnswers waits until each request has its final answer, and checks that it has one in time.
func (r *rig) awaitAnswers(x *Client, tasks []uint64) {
	r.t.Helper()
	for _, task := range tasks {
		if _, ok := x.Await(task, 0, requestTimeout+answerSlack); !ok {
			r.t.Errorf("task %d has no answer", task)
		}
	}
}

// TestKeyedRetryStaysInGroupAtListedAddress guards against repeats outside the group while two listed nodes have one address: a silent machine is
// replaced at its address, and the list tells of the new node before it tells that the old one is gone.
func TestKeyedRetryStaysInGroupAtListedAddress(t *testing.T) {
	r := startRig(t, [2]string{"a", "east"}, [2]string{"b", "east"}, [2]string{"c", "west"})
	x := r.dial()
	old := r.nodes["a"]
	old.Die()
	replacement := r.startNode("d", "west", old.Address())
	for _, n := range r.nodes {
		n.SetAnswer(Fail)
	}
	r.check(r.journal.Publish(replacement.Entry("ready", time.Now())))
	tasks := r.requestMany(x, 60, 20*time.Millisecond)
	r.awaitAnswers(x, tasks)
	r.checkGroups(tasks)
}

// TestKeyedRetryStaysInGroupAfterLateConnection guards against repeats outside the group after a dial to a silent machine that a new node at its
// address answers, before the list tells of any of this.
func TestKeyedRetryStaysInGroupAfterLateConnection(t *testing.T) {
	r := startRig(t, [2]string{"a", "east"}, [2]string{"b", "east"}, [2]string{"c", "west"})
	x := r.dial()
	for _, n := range r.nodes {
		n.SetAnswer(Fail)
	}
	old := r.nodes["a"]
	r.check(old.Vanish())
	tasks := r.requestMany(x, 30, 20*time.Millisecond)
	old.Release()
	r.startNode("d", "west", old.Address()).SetAnswer(Fail)
	r.awaitAnswers(x, tasks)
	r.checkGroups(tasks)
}

// TestTasksOfReplacedNodeEnd guards against clients left waiting for tasks of a silent machine whose address a new node has, while the list
// shows both as ready.
func TestTasksOfReplacedNodeEnd(t *testing.T) {
	r := startRig(t, [2]string{"a", "east"}, [2]string{"b", "east"})
	x := r.dial()
	var tasks []uint64
	for range 20 {
		tasks = append(tasks, r.request(x, "single"))
	}
	r.awaitAnswers(x, tasks)
	old := r.nodes["a"]
	cut := slices.DeleteFunc(old.RunningTasks(), func(task uint64) bool { return !slices.Contains(tasks, task) })
	if len(cut) == 0 {
		t.Fatal("no task runs at the node that vanishes")
	}
	endedAt := time.Now()
	r.check(old.Vanish())
	time.Sleep(5 * time.Second)
	old.Release()
	replacement := r.startNode("d", "west", old.Address())
	time.Sleep(time.Second)
	r.check(r.journal.Publish(replacement.Entry("ready", time.Now().Add(-time.Second))))
	for _, task := range cut {
		e, ok := x.Await(task, 1, endLimit-time.Since(endedAt))
		if !ok || e.Kind != kindEnd {
			t.Errorf("the client of task %d was not told within %s of its end", task, endLimit)
		}
	}
}

// TestTaskAtUnlistedNodeRunsOnce guards against a second run of at-most-once work: a new node runs it under the name of the node that had its
// address before, and the client is told that it is over when the list tells of the new node.
func TestTaskAtUnlistedNodeRunsOnce(t *testing.T) {
	r := startRig(t, [2]string{"a", "east"})
	x := r.dial()
	old := r.nodes["a"]
	old.Die()
	replacement := r.startNode("d", "west", old.Address())
	startedAt := time.Now()
	time.Sleep(time.Second)
	var tasks []uint64
	for range 10 {
		tasks = append(tasks, r.request(x, "single"))
	}
	r.awaitAnswers(x, tasks)
	r.check(r.journal.Publish(replacement.Entry("ready", startedAt), old.Entry("gone", time.Time{})))
	time.Sleep(endLimit)
	for _, task := range tasks {
		if events := x.Received(task); len(events) > 1 && replacement.IsRunning(task) {
			t.Errorf("task %d runs at the new node, and its client was told that it is over", task)
		}
	}
}
