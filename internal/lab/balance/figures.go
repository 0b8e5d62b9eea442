// Package balance measures how evenly the load of many schedulers spreads over nodes: how full the fullest is beside the mean, who
// stands idle and for how long, how many offers meet at one node, and how soon all is even again after something has happened.
package balance

import (
	"math"
	"slices"
)

// Sample is how nodes are loaded at a time: the part of its room that is asked for at each ready node, warm ones alone.
type Sample struct {
	At   float64 // ms
	Load map[uint32]float64
}

// placement is one that a node received.
type placement struct {
	at   float64
	node uint32
}

// Recorder gathers what is seen.
type Recorder struct {
	samples        []Sample
	placements     []placement
	refused        int
	attempts       int
	startLatencies []float64 // ms from ask to answer, of those served
	requests       int
	served         int
}

// AddSample takes a moment; they come in their order.
func (w *Recorder) AddSample(m Sample) { w.samples = append(w.samples, m) }

// AddPlacement takes an offer that a node received, Refuse that one was turned away for lack of room.
func (w *Recorder) AddPlacement(at float64, node uint32) {
	w.attempts++
	w.placements = append(w.placements, placement{at, node})
}

// AddRejection counts a try that was turned away.
func (w *Recorder) AddRejection() { w.refused++ }

// AddRequest counts an ask, Answer its answer after so many ms.
func (w *Recorder) AddRequest() { w.requests++ }

// AddResponse takes an answer.
func (w *Recorder) AddResponse(served bool, took float64) {
	if served {
		w.served++
		w.startLatencies = append(w.startLatencies, took)
	}
}

// Figures are what a watch comes to over a span of time.
type Figures struct {
	FullestP50, FullestP99, FullestMax float64 // the fullest node, times the mean, over time
	Variation                          float64 // coefficient of variation, mean over time
	Jain                               float64 // Jain's index, mean over time
	LongestIdle                        float64 // ms that a node was under half of the mean at a stretch, the longest
	MaxConcurrent                      int     // offers to one node within a report's lag, the most
	Rejected                           float64 // part of all tries
	StartP99                           float64 // ms
	Served                             float64 // part of all asks
	MeanLoad                           float64 // load
}

// reportLag is what a report or a list lags, ms: offers within it are made without knowledge of each other.
const reportLag = 500

// Summarize sums up what was seen from a time to another.
func (w *Recorder) Summarize(from, to float64) (f Figures) {
	var fullest []float64
	under := map[uint32]float64{} // since when a node is under half of the mean
	n := 0.0
	for _, m := range w.samples {
		if m.At < from || m.At >= to || len(m.Load) == 0 {
			continue
		}
		mean, vary, jain, most := distribution(m.Load)
		if mean <= 0 {
			continue
		}
		n++
		f.MeanLoad, f.Variation, f.Jain = f.MeanLoad+mean, f.Variation+vary, f.Jain+jain
		fullest = append(fullest, most/mean)
		for node, l := range m.Load { // each node by itself: the order has no effect
			switch since, is := under[node]; {
			case l >= mean/2:
				delete(under, node)
			case !is:
				under[node] = m.At
			default:
				f.LongestIdle = max(f.LongestIdle, m.At-since)
			}
		}
		for node := range under { // one that is not ready any more
			if _, ok := m.Load[node]; !ok {
				delete(under, node)
			}
		}
	}
	if n > 0 {
		f.MeanLoad, f.Variation, f.Jain = f.MeanLoad/n, f.Variation/n, f.Jain/n
	}
	f.FullestP50, f.FullestP99, f.FullestMax = quantile(fullest, 0.5), quantile(fullest, 0.99), quantile(fullest, 1)
	f.MaxConcurrent = w.maxConcurrent(from, to)
	f.Rejected = float64(w.refused) / float64(max(1, w.attempts))
	f.StartP99 = quantile(slices.Clone(w.startLatencies), 0.99)
	f.Served = float64(w.served) / float64(max(1, w.requests))
	return f
}

// distribution gives the mean of loads, their coefficient of variation, Jain's index and the largest.
func distribution(load map[uint32]float64) (mean, vary, jain, most float64) {
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

// maxConcurrent is the most offers that one node received within a report's lag.
func (w *Recorder) maxConcurrent(from, to float64) (most int) {
	by := map[uint32][]float64{}
	for _, o := range w.placements {
		if o.at < from || o.at >= to {
			continue
		}
		late := append(by[o.node], o.at)
		for late[0] <= o.at-reportLag {
			late = late[1:]
		}
		by[o.node] = late
		most = max(most, len(late))
	}
	return most
}

// quantile gives a quantile, NaN of nothing.
func quantile(all []float64, q float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// TimeToBalance is how long after a time the fullest node was under so many times the mean again, and stayed there for a second at least; infinite
// if it never was.
func (w *Recorder) TimeToBalance(from, bound float64) float64 {
	since := math.Inf(1)
	for _, m := range w.samples {
		if m.At < from || len(m.Load) == 0 {
			continue
		}
		mean, _, _, most := distribution(m.Load)
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
