package platform

import (
	"fmt"
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestTasksEndWhileListIsSilent guards against tasks that are held for good because some process accepts connections at the address of their node, while the
// list tells nothing of its restart: its machine vanishes and comes back cold, and the journal service is silent. The task of a node that stays alive goes on.
func TestTasksEndWhileListIsSilent(t *testing.T) {
	for _, vanishes := range []bool{true, false} {
		t.Run(fmt.Sprint("vanishes ", vanishes), func(t *testing.T) {
			r := startRig(t, "a")
			n, x := r.nodes["a"], r.dial()
			x.request(7, "single")
			r.advance(1000)
			r.journal.silent = true
			want := []string{"7 served " + n.description(7)}
			if vanishes {
				n.vanish()
				want = append(want, "7 end 41")
			}
			r.advance(5000)
			if vanishes {
				n.restart()
			}
			r.advance(3050) // clients are to be notified within 8.05 s
			x.want("8.05 s later", want...)
			r.advance(30000)
			x.want("in the end", want...)
		})
	}
}

// TestEndUnderFormerName guards against tasks that are held for good: a new node reports their end while the scheduler takes it for the node that had its
// address before, and their client hands them over once the list has told of the new node.
func TestEndUnderFormerName(t *testing.T) {
	r := startRig(t, "a")
	r.nodes["a"].process.Kill(false)
	n := newFakeNode(r, "d", "a")
	startedAt := r.unixNow()
	r.advance(1000)
	r.connectNodes()
	n.conns[0].send(codec.AppendEnd(nil, 7, codec.CauseNormal))
	r.advance(50)
	entry := strings.Replace(entryJSON("d", "a", "ready"), `"since_ms":0`, fmt.Sprintf(`"since_ms":%.0f`, startedAt), 1)
	r.journal.publish(entry)
	r.advance(50)
	x := r.dial()
	x.send(setUp(7, "single", codec.ParamDemand, demandText+";at:d"))
	r.advance(50)
	x.want("after the hand-over", "7 end 16")
}

// TestTaskOutlivesEarlierBreak guards against ending a task that runs: the only connection to its node broke long before the journal service falls silent.
func TestTaskOutlivesEarlierBreak(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	x.request(7, "single")
	r.advance(1000)
	n.resetConns()
	r.advance(40000)
	r.journal.silent = true
	r.advance(20000)
	x.want("while the journal service is silent", "7 served "+n.description(7))
	if !n.running[7] {
		t.Error("the task was stopped")
	}
}

// TestGoneNodeDisplacesNoOther guards against ending a task that runs at a gone node: another node at its address is gone too, and its last entry has a start time.
func TestGoneNodeDisplacesNoOther(t *testing.T) {
	r := startRig(t, "a")
	n, x := r.nodes["a"], r.dial()
	startedAt := r.unixNow()
	x.request(7, "single")
	r.advance(1000)
	r.journal.publish(entryJSON("a", "a", "gone"))
	r.journal.publish(entryJSON("b", "a", "ready"))
	r.advance(100)
	r.journal.publish(strings.Replace(entryJSON("b", "a", "gone"), `"since_ms":0`, fmt.Sprintf(`"since_ms":%.0f`, startedAt), 1))
	r.advance(5000)
	x.want("after both are gone", "7 served "+n.description(7))
}
