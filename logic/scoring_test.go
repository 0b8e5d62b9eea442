package logic

import (
	"math"
	"testing"
)

// TestNetBenefit compares net benefits with values that were calculated by hand for zones of four nodes and cells of two.
func TestNetBenefit(t *testing.T) {
	cl := testCluster()
	cl.ListsReportLoad = false
	x := newHarness(t, cl, 12)
	for id := range uint32(2) { // the service runs on nodes 10 and 14, which are in zones 0 and 1
		x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: id, Service: 5, Cores: 1, Memory: 2}, Node: 10 + 4*id})
	}
	alloc := &x.scheduler.allocations.all[x.scheduler.track(&Request{Allocation: 9, Service: 5, Cores: 1, Memory: 2})]
	x.scheduler.updateFleetStats()
	fetch := func(i int) float64 {
		return min(maxFetchCost, 12*fetchCostPerRank*hashFraction(5, x.scheduler.nodes.all[i].id))
	}
	for _, c := range []struct {
		name string
		node int
		want float64
	}{
		{"node of the service", 0, diversityWeight * (0 + 7) / 2},
		{"same cell", 1, diversityWeight*(1+7)/2 - fetch(1)},
		{"same zone", 2, diversityWeight*(3+7)/2 - fetch(2)},
		{"third zone", 8, diversityWeight*(7+7)/2 - fetch(8)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := x.scheduler.netBenefit(alloc, c.node, 0.25); math.Abs(got-(c.want-0.25)) > 1e-9 {
				t.Errorf("got net benefit %v, want %v", got, c.want-0.25)
			}
		})
	}
}
