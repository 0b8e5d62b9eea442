package baseline

import (
	"testing"

	"ravenpond/logic"
)

// recorder writes down what a policy wants.
type recorder struct {
	offers           map[uint32][]uint32
	declined, failed int
}

func (d *recorder) StartAttempt(alloc, node uint32, _ float64) {
	d.offers[alloc] = append(d.offers[alloc], node)
}
func (d *recorder) Shed(uint32, float64)     { d.declined++ }
func (d *recorder) Fail(uint32)              { d.failed++ }
func (d *recorder) Cancel(uint32, uint8)     {}
func (d *recorder) Migrate(uint32)           {}
func (d *recorder) Probe(uint32)             {}
func (d *recorder) WatchList(bool)           {}
func (d *recorder) ReloadList()              {}
func (d *recorder) SetTimer(float64, uint64) {}
func (d *recorder) Log(string)               {}

func TestPolicies(t *testing.T) {
	cl := &logic.Cluster{MaxAttempts: 3, KindCores: []float64{10}, KindMemory: []float64{10}, JobClasses: []logic.JobClass{
		{Semantics: logic.Restartable, NodeKind: -1},
		{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 1000, NodeKind: -1},
		{Semantics: logic.AtMostOnce, NodeKind: -1},
	}}
	for _, name := range PolicyNames {
		t.Run(name, func(t *testing.T) {
			d := &recorder{offers: map[uint32][]uint32{}}
			p := Factory(name)(d, 0, 1, cl)
			p.OnListBegin(0, logic.ListFull)
			for i := range uint32(6) {
				p.OnListNode(0, logic.ListEntry{
					Node: i + 1, Availability: logic.Ready, FreeCores: float64(i),
					FreeMemory: 10, Zone: int(i / 3),
				}) // the last has the most room
			}
			p.OnListNode(0, logic.ListEntry{Node: 7, Availability: logic.Draining, FreeCores: 10, FreeMemory: 10})
			p.OnListEnd(0)
			for job := range 3 {
				p.OnRequest(0, logic.Request{Allocation: uint32(job + 1), Class: job, Deadline: 5000, Service: 9, Cores: 1, Memory: 1})
			}
			p.Decide(0)
			first := d.offers[2][0]
			if name == "least-loaded" && d.offers[1][0] != 6 {
				t.Errorf("offered to %d", d.offers[1][0])
			}
			for id := range uint32(3) {
				p.OnOutcome(100, logic.AttemptResult{Allocation: id + 1, Node: d.offers[id+1][0], Duration: 100, Outcome: logic.TimedOut})
			}
			p.Decide(100)
			if len(d.offers[1]) != 2 || len(d.offers[2]) != 2 || len(d.offers[3]) != 1 || d.failed != 1 {
				t.Errorf("offers %v, %d failed", d.offers, d.failed)
			}
			if second := d.offers[2][1]; (first-1)/3 != (second-1)/3 || second == first {
				t.Errorf("tokened at %d, then %d", first, second)
			}
			p.OnOutcome(1500, logic.AttemptResult{Allocation: 2, Node: d.offers[2][1], Attempt: 1, Duration: 100, Outcome: logic.TimedOut})
			p.Decide(1500)
			if d.failed != 2 {
				t.Error("tokened tried after its window")
			}
			p.OnOutcome(1600, logic.AttemptResult{
				Allocation: 1, Node: d.offers[1][1], Attempt: 1, Duration: 100,
				Reason: logic.InsufficientCores, Outcome: logic.Rejected,
			})
			p.Decide(6000)
			if d.declined != 1 {
				t.Errorf("%d declined after the expiry", d.declined)
			}
			for _, all := range d.offers {
				for _, nd := range all {
					if nd == 7 {
						t.Error("offered to one that drains")
					}
				}
			}
		})
	}
}
