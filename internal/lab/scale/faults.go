package scale

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/scale/result"
)

// Node faults per day in the whole cluster, and the factor by which they are sped up.
const (
	restartsPerDay = 2400
	failuresPerDay = 75 // half of the nodes hang, half are gone for the rest of the phase
	churnSpeedup   = 100
	secondsPerDay  = 86_400
	downtime       = time.Second
	hangDuration   = 5 * time.Second
)

// nodeFault is a fault of one node, or the end of one.
type nodeFault struct {
	at     time.Duration // since the start of the phase
	node   int
	action hollow.Action
}

// drawFaults generates the script of a phase from a seed: restarts, hangs and failures at uniformly distributed times, of
// uniformly drawn nodes, no node twice.
func drawFaults(seed uint64, nodes int, last time.Duration) (script []nodeFault) {
	random := rand.New(rand.NewPCG(seed, 0xc4))
	places := random.Perm(nodes)
	draw := func(perDay float64, acts ...nodeFault) {
		n := int(perDay*churnSpeedup/secondsPerDay*last.Seconds() + random.Float64())
		for range min(n, len(places)) {
			at := time.Duration(random.Float64() * float64(last))
			for _, act := range acts {
				script = append(script, nodeFault{at: at + act.at, node: places[0], action: act.action})
			}
			places = places[1:]
		}
	}
	draw(restartsPerDay, nodeFault{action: hollow.StopNodes}, nodeFault{at: downtime, action: hollow.ReturnNodes})
	draw(failuresPerDay/2, nodeFault{action: hollow.HangNodes}, nodeFault{at: hangDuration, action: hollow.ResumeNodes})
	draw(failuresPerDay/2, nodeFault{action: hollow.StopNodes})
	slices.SortStableFunc(script, func(a, b nodeFault) int { return cmp.Compare(a.at, b.at) })
	return script
}

// injectChurn injects the faults of a script and at its end brings back the nodes that are gone.
func injectChurn(ctx context.Context, r *Rig) ([]result.Reading, error) {
	began := time.Now()
	gone := map[int]bool{}
	restarts := 0
	for _, fault := range drawFaults(r.Seed+uint64(r.Run), r.Sizes.Nodes, r.MeasureFor) {
		if err := pause(ctx, time.Until(began.Add(fault.at))); err != nil {
			return nil, err
		}
		if err := r.inject(fault); err != nil {
			return nil, err
		}
		switch fault.action {
		case hollow.StopNodes:
			gone[fault.node] = true
		case hollow.ReturnNodes:
			delete(gone, fault.node)
			restarts++
		}
	}
	for node := range gone {
		if err := r.inject(nodeFault{node: node, action: hollow.ReturnNodes}); err != nil {
			return nil, err
		}
	}
	return []result.Reading{
		{Part: PartPropagation, Name: "node restarts", Unit: result.Count, Value: float64(restarts)},
		{Part: PartPropagation, Name: "nodes that vanished", Unit: result.Count, Value: float64(len(gone))},
	}, nil
}

// inject injects one fault. The node list shows whether a node is gone or ready; it does not show hangs.
func (r *Rig) inject(fault nodeFault) error {
	_, err := r.orderNodes(hollow.Order{Do: fault.action, First: fault.node, Last: fault.node + 1})
	switch fault.action {
	case hollow.StopNodes:
		r.updateList(fault.node, fault.node+1, hollow.Gone)
	case hollow.ReturnNodes:
		r.updateList(fault.node, fault.node+1, hollow.Ready)
	}
	return err
}
