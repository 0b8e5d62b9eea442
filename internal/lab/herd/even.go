// Package herd measures how evenly the load of many schedulers spreads over nodes: how full the fullest is beside the mean, who
// stands idle and for how long, how many offers meet at one node, and how soon all is even again after something has happened.
package herd

import (
	"math"
	"slices"
)

// Moment is how nodes are loaded at a time: the part of its room that is asked for at each ready node, warm ones alone.
type Moment struct {
	At   float64 // ms
	Load map[uint32]float64
}

// offer is one that a node received.
type offer struct {
	at   float64
	node uint32
}

// Watch gathers what is seen.
type Watch struct {
	moments []Moment
	offers  []offer
	refused int
	tries   int
	starts  []float64 // ms from ask to answer, of those served
	asks    int
	served  int
}

// See takes a moment; they come in their order.
func (w *Watch) See(m Moment) { w.moments = append(w.moments, m) }

// Offer takes an offer that a node received, Refuse that one was turned away for lack of room.
func (w *Watch) Offer(at float64, node uint32) {
	w.tries++
	w.offers = append(w.offers, offer{at, node})
}

// Refuse counts a try that was turned away.
func (w *Watch) Refuse() { w.refused++ }

// Ask counts an ask, Answer its answer after so many ms.
func (w *Watch) Ask() { w.asks++ }

// Answer takes an answer.
func (w *Watch) Answer(served bool, took float64) {
	if served {
		w.served++
		w.starts = append(w.starts, took)
	}
}

// Figures are what a watch comes to over a span of time.
type Figures struct {
	Fullest50, Fullest99, FullestMost float64 // the fullest node, times the mean, over time
	Vary                              float64 // coefficient of variation, mean over time
	Jain                              float64 // Jain's index, mean over time
	Idle                              float64 // ms that a node was under half of the mean at a stretch, the longest
	Together                          int     // offers to one node within a report's lag, the most
	Refused                           float64 // part of all tries
	Start99                           float64 // ms
	Served                            float64 // part of all asks
	Mean                              float64 // load
}

// lag is what a report or a list lags, ms: offers within it are made without knowledge of each other.
const lag = 500

// Figures sums up what was seen from a time to another.
func (w *Watch) Figures(from, to float64) (f Figures) {
	var fullest []float64
	under := map[uint32]float64{} // since when a node is under half of the mean
	n := 0.0
	for _, m := range w.moments {
		if m.At < from || m.At >= to || len(m.Load) == 0 {
			continue
		}
		mean, vary, jain, most := spread(m.Load)
		if mean <= 0 {
			continue
		}
		n++
		f.Mean, f.Vary, f.Jain = f.Mean+mean, f.Vary+vary, f.Jain+jain
		fullest = append(fullest, most/mean)
		for node, l := range m.Load { // each node by itself: the order has no effect
			switch since, is := under[node]; {
			case l >= mean/2:
				delete(under, node)
			case !is:
				under[node] = m.At
			default:
				f.Idle = max(f.Idle, m.At-since)
			}
		}
		for node := range under { // one that is not ready any more
			if _, ok := m.Load[node]; !ok {
				delete(under, node)
			}
		}
	}
	if n > 0 {
		f.Mean, f.Vary, f.Jain = f.Mean/n, f.Vary/n, f.Jain/n
	}
	f.Fullest50, f.Fullest99, f.FullestMost = at(fullest, 0.5), at(fullest, 0.99), at(fullest, 1)
	f.Together = w.together(from, to)
	f.Refused = float64(w.refused) / float64(max(1, w.tries))
	f.Start99 = at(slices.Clone(w.starts), 0.99)
	f.Served = float64(w.served) / float64(max(1, w.asks))
	return f
}

// spread gives the mean of loads, their coefficient of variation, Jain's index and the largest.
func spread(load map[uint32]float64) (mean, vary, jain, most float64) {
	var all []float64
	for _, l := range load {
		all = append(all, l)
	}
	slices.Sort(all) // so that sums come out the same whatever the order
	var sum, squares float64
	for _, l := range all {
		sum, squares, most = sum+l, squares+l*l, max(most, l)
	}
	n := float64(len(all))
	mean = sum / n
	if squares == 0 {
		return 0, 0, 1, 0
	}
	return mean, math.Sqrt(max(0, squares/n-mean*mean)) / mean, sum * sum / (n * squares), most
}

// together is the most offers that one node received within a report's lag.
func (w *Watch) together(from, to float64) (most int) {
	by := map[uint32][]float64{}
	for _, o := range w.offers {
		if o.at < from || o.at >= to {
			continue
		}
		late := append(by[o.node], o.at)
		for late[0] <= o.at-lag {
			late = late[1:]
		}
		by[o.node] = late
		most = max(most, len(late))
	}
	return most
}

// at gives a quantile, NaN of nothing.
func at(all []float64, q float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// Even is how long after a time the fullest node was under so many times the mean again, and stayed there for a second at least; infinite
// if it never was.
func (w *Watch) Even(from, bound float64) float64 {
	since := math.Inf(1)
	for _, m := range w.moments {
		if m.At < from || len(m.Load) == 0 {
			continue
		}
		mean, _, _, most := spread(m.Load)
		switch {
		case most > bound*mean:
			since = math.Inf(1)
		case math.IsInf(since, 1):
			since = m.At
		case m.At-since >= 1000:
			return since - from
		}
	}
	return math.Inf(1)
}
