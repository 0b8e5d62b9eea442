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

// Faults of nodes in a day of the whole cluster, and how much faster it is played.
const (
	restartsPerDay = 2400
	failuresPerDay = 75 // half of them hang, half vanish for the rest of the phase
	churnSpeedup   = 100
	secondsPerDay  = 86_400
	downtime       = time.Second
	hangDuration   = 5 * time.Second
)

// nodeFault is a fault of one node.
type nodeFault struct {
	at     time.Duration // since the begin of the phase
	place  int
	action hollow.Action
}

// drawFaults writes the script of a phase from a seed: restarts, hangs and failures at times drawn evenly, nodes drawn
// evenly, no node twice.
func drawFaults(seed uint64, nodes int, last time.Duration) (script []nodeFault) {
	random := rand.New(rand.NewPCG(seed, 0xc4))
	places := random.Perm(nodes)
	draw := func(perDay float64, acts ...nodeFault) {
		n := int(perDay*churnSpeedup/secondsPerDay*last.Seconds() + random.Float64())
		for range min(n, len(places)) {
			at := time.Duration(random.Float64() * float64(last))
			for _, act := range acts {
				script = append(script, nodeFault{at: at + act.at, place: places[0], action: act.action})
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

// churn injects the faults of a script, and restarts at its end the nodes that vanished.
func churn(ctx context.Context, r *Rig) ([]result.Reading, error) {
	began := time.Now()
	gone := map[int]bool{}
	restarts := 0
	for _, m := range drawFaults(r.Seed+uint64(r.Run), r.Sizes.Nodes, r.MeasureFor) {
		if err := pause(ctx, time.Until(began.Add(m.at))); err != nil {
			return nil, err
		}
		if err := r.inject(m); err != nil {
			return nil, err
		}
		switch m.action {
		case hollow.StopNodes:
			gone[m.place] = true
		case hollow.ReturnNodes:
			delete(gone, m.place)
			restarts++
		}
	}
	for place := range gone {
		if err := r.inject(nodeFault{place: place, action: hollow.ReturnNodes}); err != nil {
			return nil, err
		}
	}
	return []result.Reading{
		{Part: PartPropagation, Name: "node restarts", Unit: result.Count, Value: float64(restarts)},
		{Part: PartPropagation, Name: "nodes that vanished", Unit: result.Count, Value: float64(len(gone))},
	}, nil
}

// inject carries out one fault. The list tells of nodes that are away.
func (r *Rig) inject(m nodeFault) error {
	_, err := r.orderNodes(hollow.Order{Do: m.action, First: m.place, Last: m.place + 1})
	switch m.action {
	case hollow.StopNodes:
		r.updateList(m.place, m.place+1, hollow.Gone)
	case hollow.ReturnNodes:
		r.updateList(m.place, m.place+1, hollow.Ready)
	}
	return err
}
