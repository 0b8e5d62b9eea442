// Package logic decides where allocations go. It is told what happens by the methods of Told and acts
// through Host, both in iface.go; the caller ends each round of calls with Decide. It keeps no clock and does
// no I/O, and from the same calls and seed it decides the same.
//
// The design (docs/design.md) decides the ordinary path: filters, net benefit, a uniform draw among the best.
// Beside it stand these mechanisms:
//  1. health: failures among a job type's last few tries at a node add to its rent there, but not where the
//     allocation errs all over, and so does what tasks there lack of their service; a node that does not
//     answer is ill: probed, and drawn last
//  2. patience: a try's time-out follows the start times seen for the job type
//  3. waiting: without room the most valuable goes first; a node has a window of own unanswered offers, and
//     rests where its line is too long or it turns all away
//  4. pacing: a recent node gets this scheduler's share, or turn, of what a cold node bears
//  5. probing: one probe an allocation at most, for nodes about to be drawn, else for the oldest report
//  6. flaws: ill nodes and machines beyond need are drawn last; large allocations have homes
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
)

// Tuned values. Times are milliseconds.
const (
	maxDrawCandidates      = 3    // machines in the draw at most
	drawMargin             = 0.05 // and net benefit within which they count as equally good
	diversityWeight        = 0.02 // weight of diversity beside a usage of 0 to 1
	fetchCostPerRank       = 0.4  // usage that each place further back in a service's order of nodes stands for
	maxFetchCost           = 4    // at most: a start where the program is not expected takes several times the work
	unansweredCost         = 0.05 // usage that an unanswered own offer stands for: starts queue behind it
	reportDelay            = 500  // a report was measured about so long before it arrives
	listDelay              = 4000 // and a list entry
	crowdedUsage           = 0.85 // usage from which tasks are served worse or evicted
	crowdedSlope           = 3    // and the rent rises so much faster
	consolidationLoad      = 0.65 // mean load up to which machines in use are filled, where they have a price
	usageGrowthTime        = 8000 // memory use grows for so long after a start
	reservationThreshold   = 0.6  // part of all room asked for, from which large allocations have homes
	largeSizeFactor        = 4    // mean sizes from which room for an allocation is kept whole
	changeRetention        = 8000 // own binds and ends are remembered so long, beyond any lag
	tickInterval           = 100  // housekeeping
	scanInterval           = 20   // how often those that wait are looked at again
	minAttemptTimeout      = 1200 // no try is given up sooner
	minTimeToStart         = 60   // no try starts with less time left
	minProbeAge            = 400  // a younger report needs no probe
	initialProbeCredit     = 32   // paid for from the start
	unhealthyProbeInterval = 1000 // between two probes of an ill node
	maxUnanswered          = 6    // own offers unanswered at a node at once
	probedCandidates       = 2    // nodes about to be drawn are probed first
	staleReportAge         = 1500 // if their reports are older
	probeWait              = 150  // and waited for so long
	queueFullBackoff       = 250  // a node whose line is too long rests
	maxRejectionBackoff    = 2000 // and one that turns all away for no lack of room ever longer, up to this
	historyLength          = 4    // last outcomes of a job type that judge a node
	faultyAfterNodes       = 3    // nodes at which an allocation errs before it is at fault itself
	failureDecayInterval   = 8000 // the oldest of them is forgotten, so that no node is left out for long
	failureCost            = 4    // usage that a try stands for that surely fails, or that is not served at all
	degradationDecay       = 6000 // what tasks lack of their service is believed less and less for so long
	firstPollSpread        = 25   // first watch, spread over so long for each scheduler
	pollBackoff            = 1500 // after a failed call, growing to four times that
)

// keys of timers; an allocation's expiry uses its id above them.
const (
	timerTick = iota
	timerScan
	timerDeadline = 1 << 32
)

type decision uint8

const (
	proceed decision = iota // on to the next stage
	wait                    // the stage holds the allocation
	finish                  // give it its final answer
)

// stage is a link of the chain: forward on the way to a node, back with what came of the try.
type stage struct {
	advance       func(*Scheduler, *allocation) decision
	handleOutcome func(*Scheduler, *allocation, *nodeState, Outcome, Reason)
}

// chain in the order of the forward way.
var chain = [...]stage{
	{(*Scheduler).checkDeadline, (*Scheduler).retryOrAnswer},
	{(*Scheduler).checkAttempts, (*Scheduler).noteMayHaveRun},
	{(*Scheduler).chooseNode, (*Scheduler).learnFromOutcome},
	{(*Scheduler).sendAttempt, (*Scheduler).releaseAttempt},
}

type allocation struct {
	id                          uint32
	class, service              int
	cores, memory               float64
	deadline                    float64
	attempts                    int
	node                        int        // of the try that is out, or where it is placed
	sentAt                      float64    // of that try
	usage                       [2]float64 // cores and memory in use, as told or as usual
	probedAt                    float64    // when the nodes about to be drawn were probed for it
	inFlight, running, answered bool       // a try has no outcome yet, it started, the final answer is given
	mayHaveRun                  bool       // an earlier try may have run: the first such, by time and node
	mayHaveRunSince             float64
	mayHaveRunNode              int
	triedNodes, erroredNodes    []int // nodes that failed it, and by an error
	faulty                      bool  // it erred at several: none is judged by it
}

// change is a bind (+) or an end (-) of this scheduler's on a node.
type change struct{ at, cores, memory float64 }

type nodeState struct {
	id                                                      uint32
	zone, cell, kind                                        int
	cores, memory                                           float64
	availability                                            Availability
	listVersion, rejections                                 int     // the list that last named it; turned away in a row
	startedAt, lastHeard                                    float64 // its start, the last word of it
	warmingUntil                                            float64 // just started or returned: ranks average, paced
	sentAttempts                                            []float64
	reportedFree                                            [2]float64 // cores, memory not asked for, as measured at that time
	measuredAt                                              float64
	degradation, degradedAt                                 float64
	changes                                                 []change
	allocated                                               [2]float64 // of acts since the report, while summed
	allocatedValid                                          bool
	reserved, ownUsage                                      [2]float64 // asked by this scheduler's own, and in use by them
	unanswered                                              []int      // allocs with a try out
	history                                                 []uint     // by job type the last outcomes, a bit each, 1 for a success
	nextDecayAt                                             float64
	reported, unhealthy, surplus, reservedForLarge, probing bool
	probedAt, backoffUntil                                  float64
}

type placement struct{ node, count int }

type service struct {
	key        uint64
	refs       int
	placements []placement
}

// jobClass is a job type with what decisions need of it.
type jobClass struct {
	JobClass
	startTimes histogram
}

// Scheduler is the decision module of one scheduler.
type Scheduler struct {
	effects                                Effects
	random                                 pcg
	now, startedAt                         float64
	cluster                                *Cluster
	classes                                []jobClass
	slowStartShare                         int    // offers that this scheduler may send to a cold node within the window
	slowStartTurns                         uint64 // if none, it has every so many turns; 0: never
	slowStartExcluded                      bool   // it takes no part in cold nodes at all
	coresField, memoryField                int    // places in a report, or -1
	nodes                                  []nodeState
	allocations                            []allocation
	services                               []service
	nodeIndex, allocationIndex             map[uint32]int
	serviceIndex                           map[uint64]int
	freeAllocations, freeServices, waiting []int
	listVersion, listFailures, readyNodes  int
	listKind                               ListKind
	lastListAt, nextPollAt                 float64 // the last news, and when to call for the list again
	probeCredit                            float64 // probes that own allocations have paid for
	used, asked                            [2]float64
	scanTimerSet, shortage, tickDue        bool
	scanAt                                 float64
	candidates, byLoad                     []candidate
	meanLoad                               float64    // load
	largest, largeMemory                   [2]float64 // the largest seen; memory that large ones and all ask
	largeWeight                            float64    // and its job type's value and kind
	largeKind                              int
	unplaceable                            []demand // found no node in this round
}

// demand is what an allocation needs of a node.
type demand struct {
	nodeKind      int
	cores, memory float64
}

// covers tells whether what has no room for w has none for x.
func (w demand) covers(x demand) bool {
	return (w.nodeKind < 0 || w.nodeKind == x.nodeKind) && w.cores <= x.cores && w.memory <= x.memory
}

type candidate struct {
	node  int
	score float64
}

// New starts a scheduler that knows nothing yet; its last list comes next.
func New(host Effects, now float64, seed uint64, cl *Cluster) *Scheduler {
	s := &Scheduler{
		effects: host, random: pcg{seed}, now: now, startedAt: now, cluster: cl,
		asked: [2]float64{20, 20}, used: [2]float64{12, 14}, // a weak first guess of use
		largeMemory: [2]float64{0, 1}, coresField: slices.Index(cl.ReportFields, "x0"), memoryField: slices.Index(cl.ReportFields, "x1"),
		nodeIndex: map[uint32]int{}, allocationIndex: map[uint32]int{}, serviceIndex: map[uint64]int{}, lastListAt: now,
	}
	s.random.next()
	s.slowStartShare = int(cl.SlowStartLimit) / max(1, cl.Schedulers)
	if half := int(cl.SlowStartLimit) / 2; half > 0 {
		s.slowStartTurns = uint64(cl.Schedulers+half-1) / uint64(half)
	}
	for _, jt := range cl.JobClasses {
		j := jobClass{JobClass: jt}
		j.startTimes.add(jt.LatencyObjective)
		s.classes = append(s.classes, j)
	}
	s.nextPollAt = now + s.random.float()*min(cl.ListMaxSilence/3, firstPollSpread*float64(cl.Schedulers))
	host.SetTimer(tickInterval*s.random.float(), timerTick)
	return s
}

// SetSchedulerCount says how many share what a cold node bears, where that changes; 0: this scheduler takes no part.
// Where all together take turns, the turns of those who take no part lapse.
func (s *Scheduler) SetSchedulerCount(schedulers int) {
	s.slowStartExcluded = schedulers == 0
	if s.slowStartShare > 0 && schedulers > 0 {
		s.slowStartShare = int(s.cluster.SlowStartLimit) / min(schedulers, s.cluster.Schedulers)
	}
}

func (s *Scheduler) OnListBegin(now float64, kind ListKind) {
	s.now, s.listKind = now, kind
	s.listVersion++
	if kind == ListCached {
		s.probeCredit = initialProbeCredit
	}
}

// OnListNode takes the state of one node from the list.
func (s *Scheduler) OnListNode(now float64, entry ListEntry) {
	i, ok := s.nodeIndex[entry.Node]
	if !ok {
		i = len(s.nodes)
		s.nodeIndex[entry.Node] = i
		s.nodes = append(s.nodes, nodeState{id: entry.Node, availability: Unavailable, lastHeard: -1, history: s.cleanHistory()})
	}
	nd := &s.nodes[i]
	fresh := !ok && s.listKind != ListCached || nd.availability == Unavailable && ok || entry.StartedAt > nd.startedAt && ok
	nd.listVersion, nd.zone, nd.cell, nd.kind = s.listVersion, entry.Zone, entry.Cell, entry.Kind
	if entry.Kind < len(s.cluster.KindCores) {
		nd.cores, nd.memory, nd.allocatedValid = s.cluster.KindCores[entry.Kind], s.cluster.KindMemory[entry.Kind], false
	}
	if entry.Availability == Ready && (fresh || nd.availability != Ready) {
		s.bringIntoUse(nd, entry.StartedAt, fresh)
	}
	nd.availability, nd.startedAt = entry.Availability, entry.StartedAt
	if s.cluster.ListsReportLoad && entry.Availability == Ready {
		lag := float64(listDelay)
		if s.listKind == ListCached {
			lag = changeRetention
		}
		s.measure(nd, entry.FreeCores, entry.FreeMemory, now-lag)
	}
}

// cleanHistory is the past of a node at which nothing has failed. Each has one from the moment it is named: one
// that was never ready may hold tasks from before a restart, and reports come with their ends.
func (s *Scheduler) cleanHistory() []uint {
	return slices.Repeat([]uint{1<<historyLength - 1}, len(s.classes))
}

// bringIntoUse takes a node into use. One that just started or came back is recent for as long as it may be cold.
func (s *Scheduler) bringIntoUse(nd *nodeState, since float64, fresh bool) {
	nd.history, nd.unhealthy, nd.backoffUntil, nd.rejections = s.cleanHistory(), false, 0, 0
	if since > 0 { // 0: long ago
		nd.warmingUntil = max(nd.warmingUntil, since+s.cluster.SlowStartDuration)
	}
	if fresh {
		nd.reported, nd.measuredAt, nd.lastHeard = false, 0, -1
		nd.changes, nd.allocatedValid = nd.changes[:0], false
		nd.warmingUntil = max(nd.warmingUntil, s.now+s.cluster.SlowStartDuration)
	}
}

func (s *Scheduler) OnListEnd(now float64) {
	if s.listKind == ListFailed {
		s.listFailures++
		s.nextPollAt = now + pollBackoff*float64(min(s.listFailures, 4))*(0.5+s.random.float())
		if s.listFailures == 1 {
			s.effects.Log(fmt.Sprintf("list: call failed, %.1f s after the last news", (now-s.lastListAt)/1000))
		}
		return
	}
	if s.listKind != ListCached {
		if s.listFailures > 0 {
			s.effects.Log(fmt.Sprintf("list: back after %d failed calls, %.1f s", s.listFailures, (now-s.lastListAt)/1000))
		}
		s.listFailures, s.lastListAt = 0, now
		s.nextPollAt = now + s.cluster.ListMaxSilence*0.7 // silence on a watch: ask again well before it counts as told
	}
	if s.listKind != ListChanges {
		for i := range s.nodes {
			if s.nodes[i].listVersion != s.listVersion {
				s.nodes[i].availability = Unavailable
			}
		}
	}
}

// measure takes a report of what nobody has asked for, measured at the given time.
func (s *Scheduler) measure(nd *nodeState, freeCores, freeMemory, at float64) {
	if at >= nd.measuredAt {
		nd.reportedFree, nd.measuredAt, nd.reported, nd.allocatedValid = [2]float64{freeCores, freeMemory}, at, true, false
	}
}

func (s *Scheduler) report(nd *nodeState, report []float64) {
	if c, m, ok := s.decodeReport(nd, report); ok {
		s.measure(nd, c, m, s.now-reportDelay)
	}
}

// decodeReport is what a report says that nobody has asked for.
func (s *Scheduler) decodeReport(nd *nodeState, report []float64) (c, m float64, ok bool) {
	if min(s.coresField, s.memoryField) < 0 || max(s.coresField, s.memoryField) >= len(report) {
		return 0, 0, false
	}
	c, m = report[s.coresField], report[s.memoryField]
	if s.cluster.ReportsMeasureUse { // what is in use tells what was asked, by the usual use
		c = nd.cores - (nd.cores-c)/s.usageRatio(0)
		m = nd.memory - (nd.memory-m)/s.usageRatio(1)
	}
	return c, m, true
}

// usageRatio is the part of what they ask that own tasks use.
func (s *Scheduler) usageRatio(i int) float64 { return s.used[i] / s.asked[i] }

// allocatedOn is what is asked of a node: the last report and own binds and ends since it was measured, or own
// binds alone.
func (s *Scheduler) allocatedOn(nd *nodeState) (cores, memory float64) {
	if !nd.reported {
		return nd.reserved[0], nd.reserved[1]
	}
	if !nd.allocatedValid {
		nd.allocated, nd.allocatedValid = [2]float64{nd.cores - nd.reportedFree[0], nd.memory - nd.reportedFree[1]}, true
		for _, c := range nd.changes {
			if c.at > nd.measuredAt {
				nd.allocated = [2]float64{nd.allocated[0] + c.cores, nd.allocated[1] + c.memory}
			}
		}
	}
	return max(nd.allocated[0], nd.reserved[0]), max(nd.allocated[1], nd.reserved[1])
}

func (s *Scheduler) track(request *Request) int {
	v, ok := s.serviceIndex[request.Service]
	if !ok {
		v, s.freeServices, s.services = slot(s.freeServices, s.services)
		s.services[v] = service{key: request.Service, placements: s.services[v].placements[:0]}
		s.serviceIndex[request.Service] = v
	}
	s.services[v].refs++
	var i int
	i, s.freeAllocations, s.allocations = slot(s.freeAllocations, s.allocations)
	s.allocations[i] = allocation{
		id: request.Allocation, class: request.Class, service: v, cores: request.Cores, memory: request.Memory,
		node: -1, mayHaveRunNode: -1,
	}
	s.allocationIndex[request.Allocation] = i
	return i
}

// slot takes a place off the free list or adds one.
func slot[T any](free []int, all []T) (int, []int, []T) {
	if n := len(free); n > 0 {
		return free[n-1], free[:n-1], all
	}
	var zero T
	return len(all), free, append(all, zero)
}

// forget forgets an allocation that is answered and has no try out.
func (s *Scheduler) forget(i int) {
	a := &s.allocations[i]
	if a.inFlight || !a.answered {
		return
	}
	delete(s.allocationIndex, a.id)
	if v := &s.services[a.service]; v.refs == 1 {
		delete(s.serviceIndex, v.key)
		s.freeServices = append(s.freeServices, a.service)
	} else {
		v.refs--
	}
	s.freeAllocations = append(s.freeAllocations, i)
}

// OnRequest queues an allocation.
func (s *Scheduler) OnRequest(now float64, request Request) {
	s.now = now
	i := s.track(&request)
	s.allocations[i].deadline = request.Deadline - 2*s.cluster.MinRoundInterval // the answer is there before the client stops waiting
	cores, memory := request.Cores, request.Memory
	s.largeMemory[1] += memory
	if (cores/s.cluster.MeanCores+memory/s.cluster.MeanMemory)/2 >= largeSizeFactor { // of mean sizes
		s.largeMemory[0] += memory
		s.largest, s.largeKind = [2]float64{max(cores, s.largest[0]), max(memory, s.largest[1])}, s.classes[request.Class].NodeKind
		s.largeWeight = s.classes[request.Class].PriorityWeight
	}
	s.waiting = append(s.waiting, i)
	s.effects.SetTimer(s.allocations[i].deadline-now, timerDeadline+uint64(request.Allocation))
	s.probeCredit = min(s.probeCredit+1, float64(len(s.nodes)))
	s.scanAt = now
}

// OnRecovered takes an allocation that runs at a node already.
func (s *Scheduler) OnRecovered(now float64, recovered Recovered) {
	s.now = now
	n, ok := s.nodeIndex[recovered.Node]
	if !ok {
		return
	}
	i := s.track(&recovered.Request)
	a := &s.allocations[i]
	a.attempts, a.inFlight, a.running, a.answered, a.node, a.sentAt = 1, true, true, true, n, now
	s.countPlacement(a, 1)
}

// countPlacement counts an allocation in or out of its node and of its service's machines.
func (s *Scheduler) countPlacement(a *allocation, by int) {
	nd := &s.nodes[a.node]
	if by > 0 {
		a.usage = [2]float64{a.cores * s.usageRatio(0), a.memory * s.usageRatio(1)}
	}
	nd.reserved[0] += float64(by) * a.cores
	nd.reserved[1] += float64(by) * a.memory
	nd.ownUsage[0] += float64(by) * a.usage[0]
	nd.ownUsage[1] += float64(by) * a.usage[1]
	v := &s.services[a.service]
	h := slices.IndexFunc(v.placements, func(h placement) bool { return h.node == a.node })
	if h < 0 {
		v.placements = append(v.placements, placement{a.node, by})
	} else if v.placements[h].count += by; v.placements[h].count == 0 {
		v.placements = slices.Delete(v.placements, h, h+1)
	}
}

// Decide sends what waits along the chain, the most valuable first.
func (s *Scheduler) Decide(now float64) {
	s.now = now
	if s.tickDue { // after all news of the round: one that stood still finds answers behind its timers
		s.tickDue = false
		s.tick()
	}
	if len(s.waiting) == 0 || now < s.scanAt {
		return
	}
	slices.SortStableFunc(s.waiting, func(x, y int) int { // among equals in order of arrival
		return cmp.Compare(s.classes[s.allocations[y].class].PriorityWeight, s.classes[s.allocations[x].class].PriorityWeight)
	})
	s.survey()
	s.unplaceable = s.unplaceable[:0]
	left := s.waiting[:0]
	for _, i := range s.waiting {
		if a := &s.allocations[i]; !a.answered && s.advance(a) == wait {
			left = append(left, i)
		} else {
			s.forget(i)
		}
	}
	s.waiting = left
	s.scanAt = now + scanInterval
	if len(left) > 0 && !s.scanTimerSet {
		s.scanTimerSet = true
		s.effects.SetTimer(scanInterval, timerScan)
	}
	if short := len(left) > 2*len(s.classes); short != s.shortage && (short || len(left) == 0) {
		s.shortage = short
		s.effects.Log(fmt.Sprintf("room: short=%t, %d wait", short, len(left)))
	}
}

func (s *Scheduler) advance(a *allocation) decision {
	v := proceed
	for i := 0; i < len(chain) && v == proceed; i++ {
		v = chain[i].advance(s, a)
	}
	if v == finish {
		s.answer(a)
	}
	return v
}

// checkDeadline ends an allocation that no try can serve any more.
func (s *Scheduler) checkDeadline(a *allocation) decision {
	if a.deadline-s.now < minTimeToStart {
		return finish
	}
	return proceed
}

// retryOrAnswer: an allocation that came back without being placed goes on or gets its answer at once.
func (s *Scheduler) retryOrAnswer(a *allocation, _ *nodeState, _ Outcome, _ Reason) {
	if !a.answered && s.checkAttempts(a) == finish {
		s.answer(a)
	} else if !a.answered {
		s.waiting = append(s.waiting, s.allocationIndex[a.id])
		s.scanAt = s.now
	}
}

// answer gives the final answer: declined where trying again does no harm, else failed.
func (s *Scheduler) answer(a *allocation) {
	j := &s.classes[a.class]
	if j.Semantics == Restartable || !a.inFlight && (!a.mayHaveRun || j.Semantics == Idempotent && j.IdempotencyScope == ScopeAll) {
		s.effects.Shed(a.id, 0)
	} else {
		s.effects.Fail(a.id)
	}
	a.answered = true
}

// checkAttempts says whether the job type allows another try.
func (s *Scheduler) checkAttempts(a *allocation) decision {
	j := &s.classes[a.class]
	late := j.Semantics == Idempotent && s.now >= a.mayHaveRunSince+j.IdempotencyWindow-s.cluster.MinRoundInterval
	if a.inFlight || a.attempts >= s.cluster.MaxAttempts || a.mayHaveRun && (j.Semantics == AtMostOnce || late) {
		return finish
	}
	return proceed
}

// noteMayHaveRun notes a try that may have run. Only three outcomes prove that it never did.
func (s *Scheduler) noteMayHaveRun(a *allocation, _ *nodeState, v Outcome, _ Reason) {
	if v != Rejected && v != Unreachable && v != NotSent && !a.mayHaveRun {
		a.mayHaveRun, a.mayHaveRunSince, a.mayHaveRunNode = true, a.sentAt, a.node
	}
}

// chooseNode draws the node: the design's filters, net benefit, and a uniform draw among the best. Only nodes of
// the least flaw are in it: sound ones, else shut, else ill; no flaw filters out every node.
func (s *Scheduler) chooseNode(a *allocation) decision {
	kept, least, barred := s.candidates[:0], math.MaxInt, false
	w := demand{s.classes[a.class].NodeKind, a.cores, a.memory}
	// In a round nodes only fill, and who comes later is worth no more: a look for each of hundreds that wait
	// would take longer than their owners do.
	if slices.ContainsFunc(s.unplaceable, func(f demand) bool { return f.covers(w) }) {
		return wait
	}
	for i := range s.nodes {
		nd, flaw := &s.nodes[i], 0
		switch {
		case nd.availability != Ready || !s.nodeAccepts(a, nd):
			continue
		case !s.allocationAllows(a, i, nd):
			barred = true
			continue
		case nd.unhealthy:
			flaw = 2
		case nd.surplus:
			flaw = 1
		}
		if flaw < least {
			kept, least = kept[:0], flaw
		}
		if flaw == least {
			kept = append(kept, candidate{i, s.netBenefit(a, i, s.meanLoad)})
		}
	}
	s.candidates = kept
	if len(kept) == 0 {
		if !barred {
			s.unplaceable = append(s.unplaceable, w)
		}
		return wait
	}
	selectTop(kept, max(maxDrawCandidates, probedCandidates))
	if s.probeCandidates(a, kept[:min(probedCandidates, len(kept))]) {
		return wait
	}
	k := 1 // so many as are as good as the best
	for k < min(maxDrawCandidates, len(kept)) && kept[k].score > kept[0].score-drawMargin {
		k++
	}
	a.node = kept[s.random.below(k)].node
	return proceed
}

// selectTop brings the n best to the front, in order, among equals those that stood first.
func selectTop(all []candidate, n int) {
	for i := range min(n, len(all)) {
		best := i
		for x := i + 1; x < len(all); x++ {
			if all[x].score > all[best].score {
				best = x
			}
		}
		b := all[best]
		copy(all[i+1:best+1], all[i:best])
		all[i] = b
	}
}

// probeCandidates probes those about to be drawn whose reports are old, once an allocation, and tells whether to wait.
// It guards against draws on what a large fleet looked like long ago, as own allocations pay for few probes;
// a node that does not answer in time is drawn on what is known.
func (s *Scheduler) probeCandidates(a *allocation, best []candidate) bool {
	if s.cluster.ReportsPiggybacked || !s.cluster.CanProbe {
		return false
	}
	first, wait := a.probedAt == 0, false
	if first {
		a.probedAt = s.now
	}
	for _, b := range best {
		nd := &s.nodes[b.node]
		if first && s.probeCredit >= 1 && s.now-reportDelay-nd.measuredAt > staleReportAge && !nd.probing {
			s.probeCredit--
			s.probe(nd)
		}
		wait = wait || nd.probing && s.now-a.probedAt < probeWait
	}
	return wait
}

// nodeAccepts holds the filters that look at what a node can take, alike for all that need and are worth as much,
// and the guards that the rules need at each send.
func (s *Scheduler) nodeAccepts(a *allocation, nd *nodeState) bool {
	j := &s.classes[a.class]
	if s.now < nd.backoffUntil || len(nd.unanswered) >= maxUnanswered || j.NodeKind >= 0 && nd.kind != j.NodeKind ||
		nd.reservedForLarge && nd.reported && j.PriorityWeight < s.largeWeight && !s.fits(nd, a.cores+s.largest[0], a.memory+s.largest[1]) {
		return false
	}
	if nd.lastHeard < 0 && len(nd.unanswered) > 0 || s.now < nd.warmingUntil && !s.slowStartAllows(nd) {
		return false
	}
	return !nd.reported || s.fits(nd, a.cores, a.memory)
}

// fits tells whether a node accepts so much more.
func (s *Scheduler) fits(nd *nodeState, cores, memory float64) bool {
	c, m := s.allocatedOn(nd)
	return c+cores <= nd.cores*s.cluster.CoresOvercommit && m+memory <= nd.memory*s.cluster.MemoryOvercommit
}

// slowStartAllows tells whether a cold node may get one more offer. All schedulers together keep within what it bears:
// each has its part of that in any window, lengthened for offers under way; where that is under one offer,
// they take turns of a window each, half of what is borne to a turn, as a window may touch two turns.
// What was sent before a restart of this scheduler is forgotten but still counts.
func (s *Scheduler) slowStartAllows(nd *nodeState) bool {
	span := s.cluster.SlowStartWindow + reportDelay
	from, most := s.now-span, s.slowStartShare
	if most == 0 {
		turn := math.Floor(s.now / span)
		if s.slowStartTurns == 0 || (uint64(turn)+uint64(nd.id)+uint64(s.cluster.Index))%s.slowStartTurns != 0 {
			return false
		}
		from, most = turn*span, 1
	}
	nd.sentAttempts = slices.DeleteFunc(nd.sentAttempts, func(t float64) bool { return t < from })
	return len(nd.sentAttempts) < most && from >= s.startedAt && !s.slowStartExcluded
}

// allocationAllows holds the filters of the allocation itself: its tries, its group, spread.
func (s *Scheduler) allocationAllows(a *allocation, i int, nd *nodeState) bool {
	j := &s.classes[a.class]
	if slices.Contains(a.triedNodes, i) {
		return false
	}
	if a.mayHaveRun && j.Semantics == Idempotent {
		d := &s.nodes[a.mayHaveRunNode]
		if j.IdempotencyScope == ScopeZone && d.zone != nd.zone || j.IdempotencyScope == ScopeCell && d.cell != nd.cell {
			return false
		}
	}
	if j.Spread != Anywhere {
		together := 0
		for _, h := range s.services[a.service].placements {
			if s.diversity(&s.nodes[h.node], nd, h.node == i) <= [...]int{0, 0, 1, 3}[j.Spread] {
				together += h.count
			}
		}
		if together >= j.MaxPerScope {
			return false
		}
	}
	return true
}

// diversity is the document's diversity over zone, cell and machine.
func (s *Scheduler) diversity(x, y *nodeState, same bool) int {
	switch {
	case same:
		return 0
	case x.zone != y.zone:
		return 7
	case x.cell != y.cell:
		return 3
	}
	return 1
}

// netBenefit is the design's net benefit of a node for an allocation.
func (s *Scheduler) netBenefit(a *allocation, i int, mean float64) float64 {
	nd := &s.nodes[i]
	on := s.services[a.service].placements
	held, sum := false, 0.0
	for _, h := range on {
		held = held || h.node == i
		sum += float64(s.diversity(&s.nodes[h.node], nd, h.node == i))
	}
	if len(on) > 0 {
		sum /= float64(len(on))
	}
	rent := mean
	if nd.reported && s.now >= nd.warmingUntil {
		rent = s.rent(nd, a)
	}
	if !held {
		rent += min(maxFetchCost, fetchCostPerRank*hashFraction(s.services[a.service].key, nd.id)*float64(s.readyNodes))
	}
	return diversityWeight*sum - rent - failureCost*(nd.failureRate(a.class)+s.degradation(nd))
}

// hashFraction gives a service's key and a node a number from 0 to 1, the same at all schedulers.
func hashFraction(key uint64, id uint32) float64 {
	p := pcg{key ^ uint64(id)*0x9e3779b97f4a7c15}
	p.next()
	return p.float()
}

// usageOn is what a node's tasks use: own ones as told, others the usual part of what they ask.
func (s *Scheduler) usageOn(nd *nodeState) (cores, memory float64) {
	c, m := s.allocatedOn(nd)
	return nd.ownUsage[0] + s.usageRatio(0)*(c-nd.reserved[0]), nd.ownUsage[1] + s.usageRatio(1)*(m-nd.reserved[1])
}

// rent is the larger share of cores or memory in use, dearer near full, with the line of own offers.
func (s *Scheduler) rent(nd *nodeState, a *allocation) float64 {
	c, m := s.usageOn(nd)
	u := max((c+a.cores*s.usageRatio(0))/nd.cores, (m+a.memory*s.usageRatio(1))/nd.memory)
	u += crowdedSlope * max(0, u-crowdedUsage)
	return u + unansweredCost*float64(len(nd.unanswered))
}

// survey finds the mean load and two kinds of nodes that small allocations are to leave alone. Where machines
// in use have a price, those beyond what all need are shut, the least loaded first: they get nothing new,
// empty, and stay last. While room is short and nodes push nothing out, large ones have homes: twice their
// part of the nodes, drawn by their ids, so that all schedulers choose the same.
func (s *Scheduler) survey() {
	s.byLoad, s.meanLoad, s.readyNodes = s.byLoad[:0], 0, 0
	var need, have, asked, room [2]float64
	able := 0.0 // nodes that may hold large ones
	for i := range s.nodes {
		nd := &s.nodes[i]
		if nd.availability == Ready {
			s.readyNodes++
			if s.largeKind < 0 || s.largeKind == nd.kind {
				able++
			}
		}
		if nd.availability == Ready && nd.reported {
			c, m := s.usageOn(nd)
			load := max(c/nd.cores, m/nd.memory)
			s.byLoad = append(s.byLoad, candidate{i, load})
			s.meanLoad += load
			need = [2]float64{need[0] + c, need[1] + m}
			c, m = s.allocatedOn(nd)
			asked = [2]float64{asked[0] + c, asked[1] + m}
			room = [2]float64{room[0] + nd.cores*s.cluster.CoresOvercommit, room[1] + nd.memory*s.cluster.MemoryOvercommit}
		}
	}
	s.meanLoad /= max(1, float64(len(s.byLoad)))
	if s.cluster.FleetPrice > 0 {
		slices.SortFunc(s.byLoad, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.node, y.node))
		})
	}
	for _, c := range s.byLoad {
		nd := &s.nodes[c.node]
		nd.surplus = s.cluster.FleetPrice > 0 && have[0]*consolidationLoad >= need[0] && have[1]*consolidationLoad >= need[1]
		if !nd.unhealthy {
			have[0], have[1] = have[0]+nd.cores, have[1]+nd.memory
		}
	}
	homes := 0.0
	if !s.cluster.Preempts && (asked[0] > reservationThreshold*room[0] || asked[1] > reservationThreshold*room[1]) {
		homes = 2 * s.largeMemory[0] / s.largeMemory[1] * float64(len(s.byLoad))
	}
	for i := range s.nodes {
		nd := &s.nodes[i]
		nd.reservedForLarge = homes > 0 && (s.largeKind < 0 || s.largeKind == nd.kind) && hashFraction(0, nd.id)*able < homes
	}
}

// sendAttempt sends the try.
func (s *Scheduler) sendAttempt(a *allocation) decision {
	nd := &s.nodes[a.node]
	left, wait := a.deadline-s.now, a.deadline-s.now
	if s.classes[a.class].Semantics != AtMostOnce && a.attempts+1 < s.cluster.MaxAttempts {
		if p := max(minAttemptTimeout, 2*s.classes[a.class].startTimes.quantile(0.95)); p+minAttemptTimeout/2 < left {
			wait = p
		}
	}
	a.attempts++
	a.inFlight, a.sentAt = true, s.now
	s.countPlacement(a, 1)
	s.recordChange(nd, s.now, a.cores, a.memory)
	nd.unanswered = append(nd.unanswered, s.allocationIndex[a.id])
	nd.sentAttempts = append(nd.sentAttempts[max(0, len(nd.sentAttempts)-max(1, s.slowStartShare)):], s.now) // before news of a start too
	s.effects.StartAttempt(a.id, nd.id, wait)
	return proceed
}

func (s *Scheduler) recordChange(nd *nodeState, at, cores, memory float64) {
	nd.changes = slices.DeleteFunc(nd.changes, func(c change) bool { return c.at < s.now-changeRetention })
	nd.changes, nd.allocatedValid = append(nd.changes, change{at, cores, memory}), false
}

// releaseAttempt takes the try off its node's counts.
func (s *Scheduler) releaseAttempt(a *allocation, nd *nodeState, v Outcome, _ Reason) {
	s.countPlacement(a, -1)
	a.inFlight = false
	s.removeUnanswered(a, nd)
	if v == Rejected || v == Unreachable || v == NotSent {
		s.recordChange(nd, a.sentAt, -a.cores, -a.memory) // as if never sent
	} else if a.running {
		s.recordChange(nd, s.now, -a.cores, -a.memory)
	}
}

func (s *Scheduler) removeUnanswered(a *allocation, nd *nodeState) {
	nd.unanswered = slices.DeleteFunc(nd.unanswered, func(i int) bool { return s.allocations[i].id == a.id })
}

// learnFromOutcome learns of the node from the outcome.
func (s *Scheduler) learnFromOutcome(a *allocation, nd *nodeState, v Outcome, why Reason) {
	if a.running {
		return
	}
	switch v {
	case Rejected:
		s.noteReachability(nd, true)
		switch why {
		case InsufficientCores, InsufficientMemory: // it has less than thought: believe it until the next report
			s.believeRejection(nd, a, why)
		case QueueFull:
			nd.backoffUntil = s.now + queueFullBackoff
		case NotAccepting, ReasonUnknown: // it drains unheard of, or holds a copy: it won't have this one
			if why == ReasonUnknown && nd.rejections == 0 {
				break // for want of room, as far as anybody knows
			}
			a.triedNodes = append(a.triedNodes, a.node)
			if nd.rejections++; nd.rejections > 1 {
				nd.backoffUntil = s.now + min(maxRejectionBackoff, queueFullBackoff*float64(int(1)<<min(nd.rejections-2, 8)))
			}
		}
	case Unreachable:
		s.noteReachability(nd, false)
		a.triedNodes = append(a.triedNodes, a.node)
	case TimedOut, Errored, ConnectionLost:
		a.triedNodes = append(a.triedNodes, a.node)
		if !a.faulty {
			nd.recordOutcome(a.class, 0)
		}
		if v == Errored {
			a.erroredNodes = append(a.erroredNodes, a.node)
			s.clearFaulty(a)
		}
	}
}

// clearFaulty takes the blame off nodes for an allocation that erred at several: what nobody can use is at fault
// itself. It guards against bad clients, whose allocations would make all nodes look ill in turn. Where as
// many nodes fail a job type, allocations that meet no other hide it.
func (s *Scheduler) clearFaulty(a *allocation) {
	if len(a.erroredNodes) < faultyAfterNodes {
		return
	}
	for _, n := range a.erroredNodes {
		past := &s.nodes[n].history[a.class]
		*past = (*past | (*past + 1)) & (1<<historyLength - 1) // the latest failure counts as a success
	}
	a.erroredNodes = a.erroredNodes[:0]
	a.faulty = true
}

// believeRejection takes a refusal as the freshest report: just under what was asked is free, older reports void. It
// guards against try after try where late reports still show room, and could hold a scheduler off a node that
// has just emptied, for one report.
func (s *Scheduler) believeRejection(nd *nodeState, a *allocation, why Reason) {
	c, m := s.allocatedOn(nd)
	if why == InsufficientCores {
		c = max(c, nd.cores*s.cluster.CoresOvercommit-a.cores*0.99)
	} else {
		m = max(m, nd.memory*s.cluster.MemoryOvercommit-a.memory*0.99)
	}
	nd.reportedFree, nd.measuredAt, nd.reported, nd.allocatedValid = [2]float64{nd.cores - c, nd.memory - m}, s.now, true, false
}

// recordOutcome adds an outcome of a job type, 1 for a success, to a node's last few. An answered probe does not: it
// proves reach, and a node may fail one job type while it serves others.
func (nd *nodeState) recordOutcome(job int, ok uint) {
	nd.history[job] = (nd.history[job]<<1 | ok) & (1<<historyLength - 1)
}

// failureRate is the part of a job type's last few tries that failed at a node.
func (nd *nodeState) failureRate(job int) float64 {
	return 1 - float64(bits.OnesCount(nd.history[job]))/historyLength
}

// noteReachability takes it that a node answers, or does not.
func (s *Scheduler) noteReachability(nd *nodeState, answers bool) {
	if answers {
		nd.lastHeard = s.now
	}
	if nd.unhealthy == answers {
		nd.unhealthy, nd.probedAt = !answers, s.now
		quiet := (s.now - max(nd.lastHeard, s.startedAt)) / 1000
		s.effects.Log(fmt.Sprintf("node %d: ill=%t, unheard %.1f s", nd.id, nd.unhealthy, quiet))
	}
}

func (s *Scheduler) OnStarted(now float64, id uint32, try uint8, took float64) {
	s.now = now
	i, ok := s.allocationIndex[id]
	if !ok {
		return
	}
	a := &s.allocations[i]
	nd := &s.nodes[a.node]
	s.removeUnanswered(a, nd)
	a.running, a.answered = true, true
	nd.rejections = 0
	s.noteReachability(nd, true)
	nd.recordOutcome(a.class, 1)
	s.classes[a.class].startTimes.add(took)
}

// OnOutcome passes an attempt back along the chain.
func (s *Scheduler) OnOutcome(now float64, result AttemptResult) {
	s.now = now
	if n, ok := s.nodeIndex[result.Node]; ok {
		s.report(&s.nodes[n], result.Report)
	}
	i, ok := s.allocationIndex[result.Allocation]
	if !ok {
		return
	}
	a := &s.allocations[i]
	if !a.inFlight || int(result.Attempt) != a.attempts-1 {
		return
	}
	a.answered = a.answered || result.Answered
	nd := &s.nodes[a.node]
	for x := len(chain) - 1; x >= 0; x-- {
		chain[x].handleOutcome(s, a, nd, result.Outcome, result.Reason)
	}
	s.forget(i)
	s.scanAt = min(s.scanAt, now+scanInterval/4)
}

// degradation is the part of their service that tasks at a node lack, as they told lately. It guards against nodes
// whose cores are taken by what no report shows.
func (s *Scheduler) degradation(nd *nodeState) float64 {
	return nd.degradation * max(0, 1-(s.now-nd.degradedAt)/degradationDecay)
}

// OnTaskMetric learns what part of their asks tasks use, and how well they are served.
func (s *Scheduler) OnTaskMetric(now float64, sample TaskSample) {
	s.now = now
	i, ok := s.allocationIndex[sample.Allocation]
	if !ok {
		return
	}
	a := &s.allocations[i]
	if a.running && sample.Metric == ServedShare {
		nd := &s.nodes[a.node]
		nd.degradation, nd.degradedAt = (s.degradation(nd)+1-sample.Value)/2, now
	}
	if a.inFlight && (sample.Metric == CoresUsed || sample.Metric == MemoryUsed) {
		x, value := sample.Metric-CoresUsed, sample.Value
		if now-a.sentAt < usageGrowthTime {
			value = max(value, a.usage[x])
		}
		s.nodes[a.node].ownUsage[x] += value - a.usage[x]
		a.usage[x] = value
		s.used[x] = s.used[x]*0.998 + value
		s.asked[x] = s.asked[x]*0.998 + [2]float64{a.cores, a.memory}[x]
	}
}

func (s *Scheduler) OnExpired(now float64, id uint32) {
	s.now = now
	if i, ok := s.allocationIndex[id]; ok {
		s.allocations[i].answered = true // a waiting one is dropped at the next scan
		s.scanAt = now
	}
}

// OnProbeResult takes the answer to a probe, or that none came.
func (s *Scheduler) OnProbeResult(now float64, result ProbeResult) {
	s.now = now
	n, ok := s.nodeIndex[result.Node]
	if !ok {
		return
	}
	nd := &s.nodes[n]
	nd.probing = false
	s.scanAt = now
	s.noteReachability(nd, result.Outcome == Completed)
	if result.Outcome == Completed {
		s.report(nd, result.Report)
	}
}

func (s *Scheduler) OnTimer(now float64, key uint64) {
	s.now = now
	switch key {
	case timerTick:
		s.tickDue = true
		s.effects.SetTimer(tickInterval, timerTick)
	case timerScan:
		s.scanTimerSet = false
	default:
		if i, ok := s.allocationIndex[uint32(key-timerDeadline)]; ok && !s.allocations[i].answered {
			a := &s.allocations[i]
			if a.inFlight && s.cluster.CanCancel {
				s.effects.Cancel(a.id, uint8(a.attempts-1))
			}
			s.answer(a)
			s.scanAt = now
		}
	}
}

// tick watches for silence, probes and asks for the list.
func (s *Scheduler) tick() {
	for i := range s.nodes {
		nd := &s.nodes[i]
		if nd.availability != Ready {
			continue
		}
		if !nd.probing && s.now-nd.probedAt > unhealthyProbeInterval && (nd.unhealthy || s.isSilent(nd)) {
			s.noteReachability(nd, !s.cluster.CanProbe)
			s.probe(nd)
		}
		if s.now > nd.nextDecayAt {
			nd.nextDecayAt = s.now + failureDecayInterval
			for j := range nd.history {
				nd.recordOutcome(j, 1)
			}
		}
	}
	s.probeOldest()
	if s.cluster.PollsList && s.now >= s.nextPollAt {
		s.nextPollAt = s.now + 2*pollBackoff*(1+s.random.float())
		s.effects.WatchList(true)
	}
}

// isSilent tells whether a node owes an answer for longer than starts take.
func (s *Scheduler) isSilent(nd *nodeState) bool {
	if len(nd.unanswered) == 0 {
		return false
	}
	first := &s.allocations[nd.unanswered[0]]
	return s.now-max(first.sentAt, nd.lastHeard) > max(minAttemptTimeout, s.classes[first.class].startTimes.quantile(0.95))
}

// probeOldest probes for reports, the oldest first, as far as own allocations have paid for it.
func (s *Scheduler) probeOldest() {
	for ; !s.cluster.ReportsPiggybacked && s.probeCredit >= 1; s.probeCredit-- {
		oldest := -1
		for i := range s.nodes {
			if nd := &s.nodes[i]; nd.availability == Ready && !nd.probing &&
				(oldest < 0 || nd.measuredAt < s.nodes[oldest].measuredAt) {
				oldest = i
			}
		}
		if oldest < 0 || s.now-reportDelay-s.nodes[oldest].measuredAt < minProbeAge {
			return
		}
		s.probe(&s.nodes[oldest])
	}
}

func (s *Scheduler) probe(nd *nodeState) {
	if s.cluster.CanProbe && !nd.probing {
		nd.probing, nd.probedAt = true, s.now
		s.effects.Probe(nd.id)
	}
}

// histogram counts durations in a few coarse bins, each twice as wide as the one before, halved from time to time.
type histogram struct {
	counts [8]float64
	total  float64
}

const firstBucket = 100 // upper end of the first bin

func (b *histogram) add(v float64) {
	i := 0
	for top := float64(firstBucket); v > top && i < len(b.counts)-1; top *= 2 {
		i++
	}
	b.counts[i]++
	if b.total++; b.total > 200 {
		b.total = 0
		for x := range b.counts {
			b.counts[x] /= 2
			b.total += b.counts[x]
		}
	}
}

// quantile is the upper end of the bin in which the given part is reached.
func (b *histogram) quantile(q float64) float64 {
	seen, top := 0.0, float64(firstBucket)
	for i := range b.counts {
		if seen += b.counts[i]; seen >= q*b.total {
			break
		}
		top *= 2
	}
	return top
}

// pcg is a permuted congruential generator.
type pcg struct{ state uint64 }

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x := uint32((old>>18 ^ old) >> 27)
	r := uint32(old >> 59)
	return x>>r | x<<(-r&31)
}

func (p *pcg) float() float64  { return float64(p.next()) / (1 << 32) }
func (p *pcg) below(n int) int { return int(math.Floor(p.float() * float64(n))) }
