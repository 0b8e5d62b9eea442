// Package balance measures how evenly many schedulers distribute load over nodes: the load of the fullest node relative to the mean, how long
// nodes are under-used, how many offers reach one node at a time, and how soon the load is balanced again after a fault.
package balance

import (
	"math"
	"slices"
)

// Sample is the load of the nodes at one time: the allocated fraction of its capacity for each node that is ready and warm.
type Sample struct {
	At   float64            // ms
	Load map[uint32]float64 // by node id
}

// placement is an offer that a node received.
type placement struct {
	at   float64 // ms
	node uint32
}

// Recorder collects load samples, offers, requests and responses of a simulation.
type Recorder struct {
	samples        []Sample
	placements     []placement
	rejections     int
	attempts       int
	startLatencies []float64 // ms from request to response, of served requests
	requests       int
	served         int
}

// AddSample adds a sample. Samples are added in order of time.
func (r *Recorder) AddSample(s Sample) { r.samples = append(r.samples, s) }

// AddPlacement adds an offer that a node received.
func (r *Recorder) AddPlacement(at float64, node uint32) {
	r.attempts++
	r.placements = append(r.placements, placement{at, node})
}

// AddRejection counts an attempt that a node rejected for lack of capacity.
func (r *Recorder) AddRejection() { r.rejections++ }

// AddRequest counts a request.
func (r *Recorder) AddRequest() { r.requests++ }

// AddResponse adds the response to a request and its latency in ms, which is recorded if the request was served.
func (r *Recorder) AddResponse(served bool, latency float64) {
	if served {
		r.served++
		r.startLatencies = append(r.startLatencies, latency)
	}
}

// Figures summarize what a Recorder has collected over a span of time.
type Figures struct {
	FullestP50, FullestP99, FullestMax float64 // load of the fullest node as a multiple of the mean, quantiles over time
	Variation                          float64 // coefficient of variation, mean over time
	Jain                               float64 // Jain's index, mean over time
	LongestIdle                        float64 // longest time that a node stayed below half of the mean, in ms
	MaxConcurrent                      int     // most offers to one node within reportLag
	Rejected                           float64 // fraction of all attempts
	StartP99                           float64 // 99th percentile of the start latency, in ms
	Served                             float64 // fraction of all requests
	MeanLoad                           float64 // mean load of the nodes, mean over time
}

// reportLag is the delay of load reports and of the list, in ms: offers within it are made without knowledge of each other.
const reportLag = 500

// Summarize computes the figures for the time from one moment up to another, in ms. Rejected, StartP99 and Served cover the whole recording.
func (r *Recorder) Summarize(from, to float64) (f Figures) {
	var fullest []float64
	underusedSince := map[uint32]float64{} // when a node fell below half of the mean, by node id
	count := 0.0
	for _, m := range r.samples {
		if m.At < from || m.At >= to || len(m.Load) == 0 {
			continue
		}
		mean, variation, jain, largest := distribution(m.Load)
		if mean <= 0 {
			continue
		}
		count++
		f.MeanLoad, f.Variation, f.Jain = f.MeanLoad+mean, f.Variation+variation, f.Jain+jain
		fullest = append(fullest, largest/mean)
		for node, l := range m.Load { // nodes are independent: the iteration order has no effect
			switch since, underused := underusedSince[node]; {
			case l >= mean/2:
				delete(underusedSince, node)
			case !underused:
				underusedSince[node] = m.At
			default:
				f.LongestIdle = max(f.LongestIdle, m.At-since)
			}
		}
		for node := range underusedSince { // forget nodes that are no longer ready
			if _, ok := m.Load[node]; !ok {
				delete(underusedSince, node)
			}
		}
	}
	if count > 0 {
		f.MeanLoad, f.Variation, f.Jain = f.MeanLoad/count, f.Variation/count, f.Jain/count
	}
	f.FullestP50, f.FullestP99, f.FullestMax = quantile(fullest, 0.5), quantile(fullest, 0.99), quantile(fullest, 1)
	f.MaxConcurrent = r.maxConcurrent(from, to)
	f.Rejected = float64(r.rejections) / float64(max(1, r.attempts))
	f.StartP99 = quantile(slices.Clone(r.startLatencies), 0.99)
	f.Served = float64(r.served) / float64(max(1, r.requests))
	return f
}

// distribution returns the mean of loads, their coefficient of variation, Jain's index and the largest load.
func distribution(load map[uint32]float64) (mean, variation, jain, largest float64) {
	var all []float64
	for _, l := range load {
		all = append(all, l)
	}
	slices.Sort(all) // makes the sums independent of the iteration order
	var sum, squares float64
	for _, l := range all {
		sum, squares, largest = sum+l, squares+l*l, max(largest, l)
	}
	n := float64(len(all))
	mean = sum / n
	if squares == 0 {
		return 0, 0, 1, 0
	}
	return mean, math.Sqrt(max(0, squares/n-mean*mean)) / mean, sum * sum / (n * squares), largest
}

// maxConcurrent returns the largest number of offers that one node received within reportLag.
func (r *Recorder) maxConcurrent(from, to float64) (most int) {
	recent := map[uint32][]float64{}
	for _, o := range r.placements {
		if o.at < from || o.at >= to {
			continue
		}
		times := append(recent[o.node], o.at)
		for times[0] <= o.at-reportLag {
			times = times[1:]
		}
		recent[o.node] = times
		most = max(most, len(times))
	}
	return most
}

// quantile returns a quantile of the values, which it sorts, or NaN if there are none.
func quantile(all []float64, q float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// TimeToBalance returns how long after a moment the load of the fullest node fell to the given multiple of the mean or below and stayed there
// for 1 s at least, in ms. It is infinite if that never happened.
func (r *Recorder) TimeToBalance(from, bound float64) float64 {
	since := math.Inf(1)
	for _, m := range r.samples {
		if m.At < from || len(m.Load) == 0 {
			continue
		}
		mean, _, _, largest := distribution(m.Load)
		switch {
		case largest > bound*mean:
			since = math.Inf(1)
		case math.IsInf(since, 1):
			since = m.At
		case m.At-since >= 1000:
			return since - from
		}
	}
	return math.Inf(1)
}
