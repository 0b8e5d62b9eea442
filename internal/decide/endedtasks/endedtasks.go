// Package endedtasks remembers for a while which tasks have ended at which nodes. A node reports an end once or twice, and a client that has not
// been notified of it may hand the task over afterwards: because its scheduler has restarted and has the report already, or because the
// notification and the hand-over cross. Without the memory such a task would count as running for good.
//
// The inputs are ends, hand-overs and the time; the output is whether a task that is handed over has ended, and how. The package does no I/O. A
// Memory is not safe for concurrent use.
package endedtasks

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"ravenpond/logic"
)

// Limits of a Memory.
const (
	retention  = 60000 // ms; a scheduler has 30 s to become ready, and clients may notice its start and hand over their tasks some seconds later
	maxEnds    = 8192  // over 100 ends a second for the time of retention
	maxPerNode = 512   // so that a faulty node that reports ends without limit displaces few of other nodes
)

// Task identifies a task at a node. The same task may have ended at one node and run at another.
type Task struct {
	Node uint32
	ID   uint64
}

// end is a remembered end.
type end struct {
	verdict logic.Outcome
	at      float64 // ms
}

// Memory holds the tasks that have ended, for a limited time and up to a limited number. When there are too many, the oldest are dropped.
type Memory struct {
	ends    *simplelru.LRU[Task, end]
	nodes   map[uint32]*simplelru.LRU[uint64, struct{}] // the remembered tasks of each node
	dropped int
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	m := &Memory{nodes: map[uint32]*simplelru.LRU[uint64, struct{}]{}}
	m.ends = newLRU(maxEnds, func(task Task, _ end) { m.forgetAtNode(task) })
	return m
}

// newLRU returns an LRU list of a positive size.
func newLRU[K comparable, V any](size int, onEvict simplelru.EvictCallback[K, V]) *simplelru.LRU[K, V] {
	list, err := simplelru.NewLRU(size, onEvict)
	if err != nil { // the size is not positive
		panic(fmt.Sprintf("LRU list of %d entries: %v", size, err))
	}
	return list
}

// IsEndOfRun reports whether a node's report that a task has ended can be about a run of the task, given what the report means for an attempt
// that never started. A rejection, or that the attempt was not sent, proves that nothing ran.
func IsEndOfRun(unstarted logic.Outcome) bool {
	return unstarted != logic.Rejected && unstarted != logic.NotSent
}

// Add remembers that a task has ended. The first end of a task stands.
func (m *Memory) Add(now float64, task Task, verdict logic.Outcome) {
	m.expire(now)
	if m.ends.Contains(task) {
		return
	}
	atNode := m.nodes[task.Node]
	if atNode == nil {
		atNode = newLRU(maxPerNode, func(id uint64, _ struct{}) { m.ends.Remove(Task{Node: task.Node, ID: id}) })
		m.nodes[task.Node] = atNode
	}
	if atNode.Add(task.ID, struct{}{}) {
		m.dropped++
	}
	if m.ends.Add(task, end{verdict, now}) {
		m.dropped++
	}
}

// Find returns how a task has ended, if that is remembered. It stays remembered, as the hand-over may be repeated.
func (m *Memory) Find(now float64, task Task) (verdict logic.Outcome, ok bool) {
	m.expire(now)
	found, ok := m.ends.Peek(task)
	return found.verdict, ok
}

// Len returns the number of remembered ends.
func (m *Memory) Len() int { return m.ends.Len() }

// Dropped returns how many ends were dropped before their time because there were too many.
func (m *Memory) Dropped() int { return m.dropped }

// expire forgets the ends whose time is over.
func (m *Memory) expire(now float64) {
	for {
		_, oldest, ok := m.ends.GetOldest()
		if !ok || now-oldest.at < retention {
			return
		}
		m.ends.RemoveOldest()
	}
}

// forgetAtNode removes a task that is no longer remembered from those of its node.
func (m *Memory) forgetAtNode(task Task) {
	atNode := m.nodes[task.Node]
	if atNode == nil {
		return
	}
	atNode.Remove(task.ID)
	if atNode.Len() == 0 {
		delete(m.nodes, task.Node)
	}
}
