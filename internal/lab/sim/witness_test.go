package sim

import (
	"testing"

	"ravenpond/internal/audit"
)

// repeatCounter counts repeated requests for tasks that ran on node 1 when the link of s0 to it was cut. The clients of these tasks were
// notified that the tasks have ended, and request them again.
type repeatCounter struct {
	requested map[requestKey]uint64 // token by request
	servedAt  map[uint64]float64    // when a request was last served, ms, by token
	node      map[uint64]uint32     // node of the last attempt, by token

	repeats     int
	first, last float64 // times of the first and last repeat, ms
}

func (w *repeatCounter) onRecord(r *audit.Record) {
	key := requestKey{r.Client, r.RequestRef}
	switch {
	case r.Kind == audit.PlacementReceived:
		w.node[r.Token] = r.Node
	case r.Kind == audit.RequestSent:
		if w.isRepeat(r) {
			if w.repeats++; w.repeats == 1 {
				w.first = r.At
			}
			w.last = r.At
		}
		w.requested[key] = r.Token
		delete(w.servedAt, r.Token)
	case r.Kind == audit.ResponseReceived && r.Detail == audit.AnswerServed:
		w.servedAt[w.requested[key]] = r.At
	}
}

func (w *repeatCounter) isRepeat(r *audit.Record) bool {
	at, ok := w.servedAt[r.Token]
	return ok && at < 9000 && w.node[r.Token] == 1 && r.Scheduler == "s0" && r.At > 10000 && r.At < 26000
}

// TestPeersObserveNode cuts the link of one scheduler to a node that runs its tasks. Where other schedulers still reach the node, no client
// is notified, as the tasks continue to run. Where they reach the node in its next incarnation, clients are notified soon. A scheduler
// without peers waits as long as for any silent node and then gives the tasks up.
func TestPeersObserveNode(t *testing.T) {
	cut := Fault{At: 10000, Kind: "cut", Target: "s0", Peer: "n1", Duration: 16000}
	for _, c := range []struct {
		name     string
		members  bool
		faults   []Fault
		lost     bool    // clients are notified of ended tasks while the link is cut
		from, to float64 // period of the repeated requests, ms
	}{
		{"link cut, others reach the node", true, []Fault{cut}, false, 0, 0},
		{"link cut, no peers", false, []Fault{cut}, true, 19000, 23000},
		{"node restarted, others reach it", true, []Fault{cut, {At: 10100, Kind: "restart", Target: "n1", Duration: 500}}, true, 13000, 17000},
		{"node restarted, no peers", false, []Fault{cut, {At: 10100, Kind: "restart", Target: "n1", Duration: 500}}, true, 19000, 23000},
		{"node dead, node list reports it as gone", true, []Fault{cut, {At: 10100, Kind: "lost", Target: "n1", Duration: 30000}}, true, 13000, 23000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Script{
				Seed: 8, Nodes: 4, Schedulers: 3, Shards: 2, ConnectionSharing: "shared", Rate: 12, Duration: 30000, Members: c.members,
				Faults: c.faults,
			}
			w := &repeatCounter{requested: map[requestKey]uint64{}, servedAt: map[uint64]float64{}, node: map[uint64]uint32{}}
			result := Simulation{Script: s, TaskRuntime: 60000, SettleTime: 62000, OnRecord: w.onRecord}.Run()
			if result.Failure != "" {
				t.Error(result.Failure)
			}
			if c.lost != (w.repeats > 0) || c.lost && (w.first < c.from || w.last > c.to) {
				t.Errorf("got %d repeated requests for ended tasks, from %.0f to %.0f ms", w.repeats, w.first, w.last)
			}
		})
	}
}
