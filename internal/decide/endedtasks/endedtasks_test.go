package endedtasks

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/logic"
)

// TestFind checks that an end is found at its node alone, again if the hand-over is repeated, and only for the time of retention.
func TestFind(t *testing.T) {
	m := NewMemory()
	task := Task{Node: 1, ID: 7}
	m.Add(1000, task, logic.Completed)
	m.Add(2000, task, logic.Cancelled)
	for range 2 {
		if verdict, ok := m.Find(1000+retention-1, task); !ok || verdict != logic.Completed {
			t.Errorf("got %v, %t, want the first end", verdict, ok)
		}
	}
	if _, ok := m.Find(2000, Task{Node: 2, ID: 7}); ok {
		t.Error("the end of the task at another node was found")
	}
	if _, ok := m.Find(1000+retention, task); ok || m.Len() != 0 || len(m.nodes) != 0 {
		t.Errorf("got %d ends of %d nodes after the time of retention, want none", m.Len(), len(m.nodes))
	}
	if m.Dropped() != 0 {
		t.Errorf("got %d dropped, want none: the time of the end was over", m.Dropped())
	}
}

// TestFloodOfOneNode checks that a node that reports ends without limit takes a part of the room only, and displaces its own oldest.
func TestFloodOfOneNode(t *testing.T) {
	m := NewMemory()
	other := Task{Node: 2, ID: 7}
	m.Add(1000, other, logic.Completed)
	const flood = 100000
	for id := range uint64(flood) {
		m.Add(1001, Task{Node: 1, ID: id}, logic.Completed)
	}
	if _, ok := m.Find(1002, other); !ok {
		t.Error("the end at another node was displaced")
	}
	if _, ok := m.Find(1002, Task{Node: 1, ID: flood - 1}); !ok {
		t.Error("the newest end of the node is not remembered")
	}
	if m.Len() != maxPerNode+1 || m.Dropped() != flood-maxPerNode {
		t.Errorf("got %d ends and %d dropped, want %d and %d", m.Len(), m.Dropped(), maxPerNode+1, flood-maxPerNode)
	}
}

// TestMemory draws calls, and compares what is found with a plain map of all ends: nothing is found that has not ended, and what is missing is
// too old or one of too many.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, all, now := NewMemory(), map[Task]float64{}, 1.0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += rapid.Float64Range(0, retention/20).Draw(t, "pause")
			task := Task{Node: rapid.Uint32Range(1, 3).Draw(t, "node"), ID: rapid.Uint64Range(1, 20).Draw(t, "task")}
			at, ended := all[task]
			kept := ended && now-at < retention
			if _, ok := m.Find(now, task); ok != kept {
				t.Fatalf("task %v, ended %t %g ms ago: got found %t, want %t", task, ended, now-at, ok, kept)
			}
			if !kept && rapid.Bool().Draw(t, "ends") {
				m.Add(now, task, logic.Completed)
				all[task] = now
			}
			perNode := 0
			for _, atNode := range m.nodes {
				perNode += atNode.Len()
			}
			if perNode != m.Len() {
				t.Fatalf("%d ends by node, %d in all", perNode, m.Len())
			}
		}
	})
}

// TestIsEndOfRun checks which reports can be the end of a run.
func TestIsEndOfRun(t *testing.T) {
	for outcome, want := range map[logic.Outcome]bool{
		logic.Rejected: false, logic.NotSent: false, logic.Errored: true, logic.ConnectionLost: true,
	} {
		if got := IsEndOfRun(outcome); got != want {
			t.Errorf("outcome %d: got %t, want %t", outcome, got, want)
		}
	}
}
