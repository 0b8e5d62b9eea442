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
	drawK         = 3    // machines in the draw at most
	drawWithin    = 0.05 // and net benefit within which they count as equally good
	gPlain        = 0.02 // weight of diversity beside a usage of 0 to 1
	fetchStep     = 0.4  // usage that each place further back in a service's order of nodes stands for
	fetchMost     = 4    // at most: a start where the program is not expected takes several times the work
	lineShare     = 0.05 // usage that an unanswered own offer stands for: starts queue behind it
	reportLag     = 500  // a report was measured about so long before it arrives
	listLag       = 4000 // and a list entry
	easyUse       = 0.85 // usage from which tasks are served worse or evicted
	steep         = 3    // and the rent rises so much faster
	openAt        = 0.65 // mean load up to which machines in use are filled, where they have a price
	growFor       = 8000 // memory use grows for so long after a start
	homesFrom     = 0.6  // part of all room asked for, from which large allocations have homes
	large         = 4    // mean sizes from which room for an allocation is kept whole
	keepActs      = 8000 // own binds and ends are remembered so long, beyond any lag
	tickEvery     = 100  // housekeeping
	scanEvery     = 20   // how often those that wait are looked at again
	leastWait     = 1200 // no try is given up sooner
	hopeless      = 60   // no try starts with less time left
	probeAge      = 400  // a younger report needs no probe
	unaskedProbes = 32   // paid for from the start
	illProbe      = 1000 // between two probes of an ill node
	window        = 6    // own offers unanswered at a node at once
	askFirst      = 2    // nodes about to be drawn are probed first
	askAge        = 1500 // if their reports are older
	askFor        = 150  // and waited for so long
	lineRest      = 250  // a node whose line is too long rests
	awayRest      = 2000 // and one that turns all away for no lack of room ever longer, up to this
	outcomes      = 4    // last outcomes of a job type that judge a node
	faulty        = 3    // nodes at which an allocation errs before it is at fault itself
	forgetEvery   = 8000 // the oldest of them is forgotten, so that no node is left out for long
	failCost      = 4    // usage that a try stands for that surely fails, or that is not served at all
	strainFor     = 6000 // what tasks lack of their service is believed less and less for so long
	followEach    = 25   // first watch, spread over so long for each scheduler
	followAgain   = 1500 // after a failed call, growing to four times that
)

// keys of timers; an allocation's expiry uses its id above them.
const (
	keyTick = iota
	keyScan
	keyAlloc = 1 << 32
)

type step uint8

const (
	pass step = iota // on to the next stage
	keep             // the stage holds the allocation
	end              // give it its final answer
)

// stage is a link of the chain: forward on the way to a node, back with what came of the try.
type stage struct {
	forward func(*Scheduler, *alloc) step
	back    func(*Scheduler, *alloc, *node, Outcome, Reason)
}

// chain in the order of the forward way.
var chain = [...]stage{
	{(*Scheduler).owed, (*Scheduler).owedBack},
	{(*Scheduler).licence, (*Scheduler).licenceBack},
	{(*Scheduler).choice, (*Scheduler).choiceBack},
	{(*Scheduler).offer, (*Scheduler).offerBack},
}

type alloc struct {
	id                uint32
	job, svc          int
	cores, memory     float64
	expiry            float64
	tries             int
	nd                int        // of the try that is out, or where it is placed
	sentAt            float64    // of that try
	use               [2]float64 // cores and memory in use, as told or as usual
	askedAt           float64    // when the nodes about to be drawn were probed for it
	out, placed, over bool       // a try has no outcome yet, it started, the final answer is given
	doubt             bool       // an earlier try may have run: the first such, by time and node
	doubtAt           float64
	doubtNd           int
	tried, erred      []int // nodes that failed it, and by an error
	unfit             bool  // it erred at several: none is judged by it
}

// change is a bind (+) or an end (-) of this scheduler's on a node.
type change struct{ at, cores, memory float64 }

type node struct {
	id                              uint32
	zone, cell, kind                int
	cores, memory                   float64
	avail                           Availability
	page, away                      int     // the list that last named it; turned away in a row
	since, heard                    float64 // its start, the last word of it
	recentUntil                     float64 // just started or returned: ranks average, paced
	offers                          []float64
	free                            [2]float64 // cores, memory not asked for, as measured at that time
	measured                        float64
	strain, strainAt                float64
	acts                            []change
	sum                             [2]float64 // of acts since the report, while summed
	summed                          bool
	held, own                       [2]float64 // asked by this scheduler's own, and in use by them
	unanswered                      []int      // allocs with a try out
	past                            []uint     // by job type the last outcomes, a bit each, 1 for a success
	forgetAt                        float64
	known, ill, shut, home, probing bool
	probedAt, restUntil             float64
}

type hold struct{ nd, n int }

type service struct {
	key  uint64
	refs int
	on   []hold
}

// job is a job type with what decisions need of it.
type job struct {
	JobClass
	starts bins
}

// Scheduler is the decision module of one scheduler.
type Scheduler struct {
	host                        Effects
	rng                         pcg
	now, born                   float64
	cl                          *Cluster
	jobs                        []job
	share                       int    // offers that this scheduler may send to a cold node within the window
	every                       uint64 // if none, it has every so many turns; 0: never
	apart                       bool   // it takes no part in cold nodes at all
	x0, x1                      int    // places in a report, or -1
	nodes                       []node
	allocs                      []alloc
	svcs                        []service
	nodeAt, allocAt             map[uint32]int
	svcAt                       map[uint64]int
	freeAlloc, freeSvc, waiting []int
	page, fails, ready          int
	listKind                    ListKind
	listAt, callAt              float64 // the last news, and when to call for the list again
	credit                      float64 // probes that own allocations have paid for
	used, asked                 [2]float64
	scanSet, short, tickDue     bool
	scanAt                      float64
	scores, byLoad              []scored
	mean                        float64    // load
	big, bigPart                [2]float64 // the largest seen; memory that large ones and all ask
	bigValue                    float64    // and its job type's value and kind
	bigKind                     int
	full                        []want // found no node in this round
}

// want is what an allocation needs of a node.
type want struct {
	kind          int
	cores, memory float64
}

// covers tells whether what has no room for w has none for x.
func (w want) covers(x want) bool {
	return (w.kind < 0 || w.kind == x.kind) && w.cores <= x.cores && w.memory <= x.memory
}

type scored struct {
	nd    int
	score float64
}

// New starts a scheduler that knows nothing yet; its last list comes next.
func New(host Effects, now float64, seed uint64, cl *Cluster) *Scheduler {
	s := &Scheduler{host: host, rng: pcg{seed}, now: now, born: now, cl: cl,
		asked: [2]float64{20, 20}, used: [2]float64{12, 14}, // a weak first guess of use
		bigPart: [2]float64{0, 1}, x0: slices.Index(cl.ReportFields, "x0"), x1: slices.Index(cl.ReportFields, "x1"),
		nodeAt: map[uint32]int{}, allocAt: map[uint32]int{}, svcAt: map[uint64]int{}, listAt: now}
	s.rng.next()
	s.share = int(cl.SlowStartLimit) / max(1, cl.Schedulers)
	if half := int(cl.SlowStartLimit) / 2; half > 0 {
		s.every = uint64(cl.Schedulers+half-1) / uint64(half)
	}
	for _, jt := range cl.JobClasses {
		j := job{JobClass: jt}
		j.starts.add(jt.LatencyObjective)
		s.jobs = append(s.jobs, j)
	}
	s.callAt = now + s.rng.float()*min(cl.ListMaxSilence/3, followEach*float64(cl.Schedulers))
	host.SetTimer(tickEvery*s.rng.float(), keyTick)
	return s
}

// SetSchedulerCount says how many share what a cold node bears, where that changes; 0: this scheduler takes no part.
// Where all together take turns, the turns of those who take no part lapse.
func (s *Scheduler) SetSchedulerCount(schedulers int) {
	s.apart = schedulers == 0
	if s.share > 0 && schedulers > 0 {
		s.share = int(s.cl.SlowStartLimit) / min(schedulers, s.cl.Schedulers)
	}
}

func (s *Scheduler) OnListBegin(now float64, kind ListKind) {
	s.now, s.listKind = now, kind
	s.page++
	if kind == ListCached {
		s.credit = unaskedProbes
	}
}

func (s *Scheduler) OnListNode(now float64, id uint32, avail Availability, since, freeCores, freeMemory float64,
	zone, cell, kind int) {
	i, ok := s.nodeAt[id]
	if !ok {
		i = len(s.nodes)
		s.nodeAt[id] = i
		s.nodes = append(s.nodes, node{id: id, avail: Unavailable, heard: -1, past: s.unblamed()})
	}
	nd := &s.nodes[i]
	fresh := !ok && s.listKind != ListCached || nd.avail == Unavailable && ok || since > nd.since && ok
	nd.page, nd.zone, nd.cell, nd.kind = s.page, zone, cell, kind
	if kind < len(s.cl.KindCores) {
		nd.cores, nd.memory, nd.summed = s.cl.KindCores[kind], s.cl.KindMemory[kind], false
	}
	if avail == Ready && (fresh || nd.avail != Ready) {
		s.enter(nd, since, fresh)
	}
	nd.avail, nd.since = avail, since
	if s.cl.ListsReportLoad && avail == Ready {
		lag := float64(listLag)
		if s.listKind == ListCached {
			lag = keepActs
		}
		s.measure(nd, freeCores, freeMemory, now-lag)
	}
}

// unblamed is the past of a node at which nothing has failed. Each has one from the moment it is named: one
// that was never ready may hold tasks from before a restart, and reports come with their ends.
func (s *Scheduler) unblamed() []uint { return slices.Repeat([]uint{1<<outcomes - 1}, len(s.jobs)) }

// enter takes a node into use. One that just started or came back is recent for as long as it may be cold.
func (s *Scheduler) enter(nd *node, since float64, fresh bool) {
	nd.past, nd.ill, nd.restUntil, nd.away = s.unblamed(), false, 0, 0
	if since > 0 { // 0: long ago
		nd.recentUntil = max(nd.recentUntil, since+s.cl.SlowStartDuration)
	}
	if fresh {
		nd.known, nd.measured, nd.heard = false, 0, -1
		nd.acts, nd.summed = nd.acts[:0], false
		nd.recentUntil = max(nd.recentUntil, s.now+s.cl.SlowStartDuration)
	}
}

func (s *Scheduler) OnListEnd(now float64) {
	if s.listKind == ListFailed {
		s.fails++
		s.callAt = now + followAgain*float64(min(s.fails, 4))*(0.5+s.rng.float())
		if s.fails == 1 {
			s.host.Log(fmt.Sprintf("list: call failed, %.1f s after the last news", (now-s.listAt)/1000))
		}
		return
	}
	if s.listKind != ListCached {
		if s.fails > 0 {
			s.host.Log(fmt.Sprintf("list: back after %d failed calls, %.1f s", s.fails, (now-s.listAt)/1000))
		}
		s.fails, s.listAt = 0, now
		s.callAt = now + s.cl.ListMaxSilence*0.7 // silence on a watch: ask again well before it counts as told
	}
	if s.listKind != ListChanges {
		for i := range s.nodes {
			if s.nodes[i].page != s.page {
				s.nodes[i].avail = Unavailable
			}
		}
	}
}

// measure takes a report of what nobody has asked for, measured at the given time.
func (s *Scheduler) measure(nd *node, freeCores, freeMemory, at float64) {
	if at >= nd.measured {
		nd.free, nd.measured, nd.known, nd.summed = [2]float64{freeCores, freeMemory}, at, true, false
	}
}

func (s *Scheduler) report(nd *node, report []float64) {
	if c, m, ok := s.told(nd, report); ok {
		s.measure(nd, c, m, s.now-reportLag)
	}
}

// told is what a report says that nobody has asked for.
func (s *Scheduler) told(nd *node, report []float64) (c, m float64, ok bool) {
	if min(s.x0, s.x1) < 0 || max(s.x0, s.x1) >= len(report) {
		return 0, 0, false
	}
	c, m = report[s.x0], report[s.x1]
	if s.cl.ReportsMeasureUse { // what is in use tells what was asked, by the usual use
		c = nd.cores - (nd.cores-c)/s.usual(0)
		m = nd.memory - (nd.memory-m)/s.usual(1)
	}
	return c, m, true
}

// usual is the part of what they ask that own tasks use.
func (s *Scheduler) usual(i int) float64 { return s.used[i] / s.asked[i] }

// taken is what is asked of a node: the last report and own binds and ends since it was measured, or own
// binds alone.
func (s *Scheduler) taken(nd *node) (cores, memory float64) {
	if !nd.known {
		return nd.held[0], nd.held[1]
	}
	if !nd.summed {
		nd.sum, nd.summed = [2]float64{nd.cores - nd.free[0], nd.memory - nd.free[1]}, true
		for _, c := range nd.acts {
			if c.at > nd.measured {
				nd.sum = [2]float64{nd.sum[0] + c.cores, nd.sum[1] + c.memory}
			}
		}
	}
	return max(nd.sum[0], nd.held[0]), max(nd.sum[1], nd.held[1])
}

func (s *Scheduler) take(id uint32, jobType int, svcKey uint64, cores, memory float64) int {
	v, ok := s.svcAt[svcKey]
	if !ok {
		v, s.freeSvc, s.svcs = slot(s.freeSvc, s.svcs)
		s.svcs[v] = service{key: svcKey, on: s.svcs[v].on[:0]}
		s.svcAt[svcKey] = v
	}
	s.svcs[v].refs++
	var i int
	i, s.freeAlloc, s.allocs = slot(s.freeAlloc, s.allocs)
	s.allocs[i] = alloc{id: id, job: jobType, svc: v, cores: cores, memory: memory, nd: -1, doubtNd: -1}
	s.allocAt[id] = i
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

// drop forgets an allocation that is answered and has no try out.
func (s *Scheduler) drop(i int) {
	a := &s.allocs[i]
	if a.out || !a.over {
		return
	}
	delete(s.allocAt, a.id)
	if v := &s.svcs[a.svc]; v.refs == 1 {
		delete(s.svcAt, v.key)
		s.freeSvc = append(s.freeSvc, a.svc)
	} else {
		v.refs--
	}
	s.freeAlloc = append(s.freeAlloc, i)
}

func (s *Scheduler) OnRequest(now float64, id uint32, jobType, _ int, expiry float64, svcKey uint64,
	cores, memory float64) {
	s.now = now
	i := s.take(id, jobType, svcKey, cores, memory)
	s.allocs[i].expiry = expiry - 2*s.cl.MinRoundInterval // the answer is there before the owner's time is up
	s.bigPart[1] += memory
	if (cores/s.cl.MeanCores+memory/s.cl.MeanMemory)/2 >= large { // of mean sizes
		s.bigPart[0] += memory
		s.big, s.bigKind = [2]float64{max(cores, s.big[0]), max(memory, s.big[1])}, s.jobs[jobType].NodeKind
		s.bigValue = s.jobs[jobType].PriorityWeight
	}
	s.waiting = append(s.waiting, i)
	s.host.SetTimer(s.allocs[i].expiry-now, keyAlloc+uint64(id))
	s.credit = min(s.credit+1, float64(len(s.nodes)))
	s.scanAt = now
}

func (s *Scheduler) OnRecovered(now float64, id uint32, jobType, _ int, svcKey uint64, cores, memory float64,
	nodeID uint32) {
	s.now = now
	n, ok := s.nodeAt[nodeID]
	if !ok {
		return
	}
	i := s.take(id, jobType, svcKey, cores, memory)
	a := &s.allocs[i]
	a.tries, a.out, a.placed, a.over, a.nd, a.sentAt = 1, true, true, true, n, now
	s.place(a, 1)
}

// place counts an allocation in or out of its node and of its service's machines.
func (s *Scheduler) place(a *alloc, by int) {
	nd := &s.nodes[a.nd]
	if by > 0 {
		a.use = [2]float64{a.cores * s.usual(0), a.memory * s.usual(1)}
	}
	nd.held[0] += float64(by) * a.cores
	nd.held[1] += float64(by) * a.memory
	nd.own[0] += float64(by) * a.use[0]
	nd.own[1] += float64(by) * a.use[1]
	v := &s.svcs[a.svc]
	h := slices.IndexFunc(v.on, func(h hold) bool { return h.nd == a.nd })
	if h < 0 {
		v.on = append(v.on, hold{a.nd, by})
	} else if v.on[h].n += by; v.on[h].n == 0 {
		v.on = slices.Delete(v.on, h, h+1)
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
		return cmp.Compare(s.jobs[s.allocs[y].job].PriorityWeight, s.jobs[s.allocs[x].job].PriorityWeight)
	})
	s.survey()
	s.full = s.full[:0]
	left := s.waiting[:0]
	for _, i := range s.waiting {
		if a := &s.allocs[i]; !a.over && s.run(a) == keep {
			left = append(left, i)
		} else {
			s.drop(i)
		}
	}
	s.waiting = left
	s.scanAt = now + scanEvery
	if len(left) > 0 && !s.scanSet {
		s.scanSet = true
		s.host.SetTimer(scanEvery, keyScan)
	}
	if short := len(left) > 2*len(s.jobs); short != s.short && (short || len(left) == 0) {
		s.short = short
		s.host.Log(fmt.Sprintf("room: short=%t, %d wait", short, len(left)))
	}
}

func (s *Scheduler) run(a *alloc) step {
	v := pass
	for i := 0; i < len(chain) && v == pass; i++ {
		v = chain[i].forward(s, a)
	}
	if v == end {
		s.answer(a)
	}
	return v
}

// owed ends an allocation that no try can serve any more.
func (s *Scheduler) owed(a *alloc) step {
	if a.expiry-s.now < hopeless {
		return end
	}
	return pass
}

// owedBack: an allocation that came back without being placed goes on or gets its answer at once.
func (s *Scheduler) owedBack(a *alloc, _ *node, _ Outcome, _ Reason) {
	if !a.over && s.licence(a) == end {
		s.answer(a)
	} else if !a.over {
		s.waiting = append(s.waiting, s.allocAt[a.id])
		s.scanAt = s.now
	}
}

// answer gives the final answer: declined where trying again does no harm, else failed.
func (s *Scheduler) answer(a *alloc) {
	j := &s.jobs[a.job]
	if j.Semantics == Restartable || !a.out && (!a.doubt || j.Semantics == Idempotent && j.IdempotencyScope == ScopeAll) {
		s.host.Shed(a.id, 0)
	} else {
		s.host.Fail(a.id)
	}
	a.over = true
}

// licence says whether the job type allows another try.
func (s *Scheduler) licence(a *alloc) step {
	j := &s.jobs[a.job]
	late := j.Semantics == Idempotent && s.now >= a.doubtAt+j.IdempotencyWindow-s.cl.MinRoundInterval
	if a.out || a.tries >= s.cl.MaxAttempts || a.doubt && (j.Semantics == AtMostOnce || late) {
		return end
	}
	return pass
}

// licenceBack notes a try that may have run. Only three outcomes prove that it never did.
func (s *Scheduler) licenceBack(a *alloc, _ *node, v Outcome, _ Reason) {
	if v != Rejected && v != Unreachable && v != NotSent && !a.doubt {
		a.doubt, a.doubtAt, a.doubtNd = true, a.sentAt, a.nd
	}
}

// choice draws the node: the design's filters, net benefit, and a uniform draw among the best. Only nodes of
// the least flaw are in it: sound ones, else shut, else ill; no flaw filters out every node.
func (s *Scheduler) choice(a *alloc) step {
	kept, least, barred := s.scores[:0], math.MaxInt, false
	w := want{s.jobs[a.job].NodeKind, a.cores, a.memory}
	// In a round nodes only fill, and who comes later is worth no more: a look for each of hundreds that wait
	// would take longer than their owners do.
	if slices.ContainsFunc(s.full, func(f want) bool { return f.covers(w) }) {
		return keep
	}
	for i := range s.nodes {
		nd, flaw := &s.nodes[i], 0
		switch {
		case nd.avail != Ready || !s.admits(a, nd):
			continue
		case !s.permits(a, i, nd):
			barred = true
			continue
		case nd.ill:
			flaw = 2
		case nd.shut:
			flaw = 1
		}
		if flaw < least {
			kept, least = kept[:0], flaw
		}
		if flaw == least {
			kept = append(kept, scored{i, s.benefit(a, i, s.mean)})
		}
	}
	s.scores = kept
	if len(kept) == 0 {
		if !barred {
			s.full = append(s.full, w)
		}
		return keep
	}
	lead(kept, max(drawK, askFirst))
	if s.asks(a, kept[:min(askFirst, len(kept))]) {
		return keep
	}
	k := 1 // so many as are as good as the best
	for k < min(drawK, len(kept)) && kept[k].score > kept[0].score-drawWithin {
		k++
	}
	a.nd = kept[s.rng.below(k)].nd
	return pass
}

// lead brings the n best to the front, in order, among equals those that stood first.
func lead(all []scored, n int) {
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

// asks probes those about to be drawn whose reports are old, once an allocation, and tells whether to wait.
// It guards against draws on what a large fleet looked like long ago, as own allocations pay for few probes;
// a node that does not answer in time is drawn on what is known.
func (s *Scheduler) asks(a *alloc, best []scored) bool {
	if s.cl.ReportsPiggybacked || !s.cl.CanProbe {
		return false
	}
	first, wait := a.askedAt == 0, false
	if first {
		a.askedAt = s.now
	}
	for _, b := range best {
		nd := &s.nodes[b.nd]
		if first && s.credit >= 1 && s.now-reportLag-nd.measured > askAge && !nd.probing {
			s.credit--
			s.probe(nd)
		}
		wait = wait || nd.probing && s.now-a.askedAt < askFor
	}
	return wait
}

// admits holds the filters that look at what a node can take, alike for all that need and are worth as much,
// and the guards that the rules need at each send.
func (s *Scheduler) admits(a *alloc, nd *node) bool {
	j := &s.jobs[a.job]
	if s.now < nd.restUntil || len(nd.unanswered) >= window || j.NodeKind >= 0 && nd.kind != j.NodeKind ||
		nd.home && nd.known && j.PriorityWeight < s.bigValue && !s.room(nd, a.cores+s.big[0], a.memory+s.big[1]) {
		return false
	}
	if nd.heard < 0 && len(nd.unanswered) > 0 || s.now < nd.recentUntil && !s.bears(nd) {
		return false
	}
	return !nd.known || s.room(nd, a.cores, a.memory)
}

// room tells whether a node accepts so much more.
func (s *Scheduler) room(nd *node, cores, memory float64) bool {
	c, m := s.taken(nd)
	return c+cores <= nd.cores*s.cl.CoresOvercommit && m+memory <= nd.memory*s.cl.MemoryOvercommit
}

// bears tells whether a cold node may get one more offer. All schedulers together keep within what it bears:
// each has its part of that in any window, lengthened for offers under way; where that is under one offer,
// they take turns of a window each, half of what is borne to a turn, as a window may touch two turns.
// What was sent before a restart of this scheduler is forgotten but still counts.
func (s *Scheduler) bears(nd *node) bool {
	span := s.cl.SlowStartWindow + reportLag
	from, most := s.now-span, s.share
	if most == 0 {
		turn := math.Floor(s.now / span)
		if s.every == 0 || (uint64(turn)+uint64(nd.id)+uint64(s.cl.Index))%s.every != 0 {
			return false
		}
		from, most = turn*span, 1
	}
	nd.offers = slices.DeleteFunc(nd.offers, func(t float64) bool { return t < from })
	return len(nd.offers) < most && from >= s.born && !s.apart
}

// permits holds the filters of the allocation itself: its tries, its group, spread.
func (s *Scheduler) permits(a *alloc, i int, nd *node) bool {
	j := &s.jobs[a.job]
	if slices.Contains(a.tried, i) {
		return false
	}
	if a.doubt && j.Semantics == Idempotent {
		d := &s.nodes[a.doubtNd]
		if j.IdempotencyScope == ScopeZone && d.zone != nd.zone || j.IdempotencyScope == ScopeCell && d.cell != nd.cell {
			return false
		}
	}
	if j.Spread != Anywhere {
		together := 0
		for _, h := range s.svcs[a.svc].on {
			if s.distance(&s.nodes[h.nd], nd, h.nd == i) <= [...]int{0, 0, 1, 3}[j.Spread] {
				together += h.n
			}
		}
		if together >= j.MaxPerScope {
			return false
		}
	}
	return true
}

// distance is the document's diversity over zone, cell and machine.
func (s *Scheduler) distance(x, y *node, same bool) int {
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

// benefit is the design's net benefit of a node for an allocation.
func (s *Scheduler) benefit(a *alloc, i int, mean float64) float64 {
	nd := &s.nodes[i]
	on := s.svcs[a.svc].on
	held, sum := false, 0.0
	for _, h := range on {
		held = held || h.nd == i
		sum += float64(s.distance(&s.nodes[h.nd], nd, h.nd == i))
	}
	if len(on) > 0 {
		sum /= float64(len(on))
	}
	rent := mean
	if nd.known && s.now >= nd.recentUntil {
		rent = s.usage(nd, a)
	}
	if !held {
		rent += min(fetchMost, fetchStep*lot(s.svcs[a.svc].key, nd.id)*float64(s.ready))
	}
	return gPlain*sum - rent - failCost*(nd.risk(a.job)+s.strain(nd))
}

// lot gives a service's key and a node a number from 0 to 1, the same at all schedulers.
func lot(key uint64, id uint32) float64 {
	p := pcg{key ^ uint64(id)*0x9e3779b97f4a7c15}
	p.next()
	return p.float()
}

// inUse is what a node's tasks use: own ones as told, others the usual part of what they ask.
func (s *Scheduler) inUse(nd *node) (cores, memory float64) {
	c, m := s.taken(nd)
	return nd.own[0] + s.usual(0)*(c-nd.held[0]), nd.own[1] + s.usual(1)*(m-nd.held[1])
}

// usage is the larger share of cores or memory in use, dearer near full, with the line of own offers.
func (s *Scheduler) usage(nd *node, a *alloc) float64 {
	c, m := s.inUse(nd)
	u := max((c+a.cores*s.usual(0))/nd.cores, (m+a.memory*s.usual(1))/nd.memory)
	u += steep * max(0, u-easyUse)
	return u + lineShare*float64(len(nd.unanswered))
}

// survey finds the mean load and two kinds of nodes that small allocations are to leave alone. Where machines
// in use have a price, those beyond what all need are shut, the least loaded first: they get nothing new,
// empty, and stay last. While room is short and nodes push nothing out, large ones have homes: twice their
// part of the nodes, drawn by their ids, so that all schedulers choose the same.
func (s *Scheduler) survey() {
	s.byLoad, s.mean, s.ready = s.byLoad[:0], 0, 0
	var need, have, asked, room [2]float64
	able := 0.0 // nodes that may hold large ones
	for i := range s.nodes {
		nd := &s.nodes[i]
		if nd.avail == Ready {
			s.ready++
			if s.bigKind < 0 || s.bigKind == nd.kind {
				able++
			}
		}
		if nd.avail == Ready && nd.known {
			c, m := s.inUse(nd)
			load := max(c/nd.cores, m/nd.memory)
			s.byLoad = append(s.byLoad, scored{i, load})
			s.mean += load
			need = [2]float64{need[0] + c, need[1] + m}
			c, m = s.taken(nd)
			asked = [2]float64{asked[0] + c, asked[1] + m}
			room = [2]float64{room[0] + nd.cores*s.cl.CoresOvercommit, room[1] + nd.memory*s.cl.MemoryOvercommit}
		}
	}
	s.mean /= max(1, float64(len(s.byLoad)))
	if s.cl.FleetPrice > 0 {
		slices.SortFunc(s.byLoad, func(x, y scored) int {
			return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.nd, y.nd))
		})
	}
	for _, c := range s.byLoad {
		nd := &s.nodes[c.nd]
		nd.shut = s.cl.FleetPrice > 0 && have[0]*openAt >= need[0] && have[1]*openAt >= need[1]
		if !nd.ill {
			have[0], have[1] = have[0]+nd.cores, have[1]+nd.memory
		}
	}
	homes := 0.0
	if !s.cl.Preempts && (asked[0] > homesFrom*room[0] || asked[1] > homesFrom*room[1]) {
		homes = 2 * s.bigPart[0] / s.bigPart[1] * float64(len(s.byLoad))
	}
	for i := range s.nodes {
		nd := &s.nodes[i]
		nd.home = homes > 0 && (s.bigKind < 0 || s.bigKind == nd.kind) && lot(0, nd.id)*able < homes
	}
}

// offer sends the try.
func (s *Scheduler) offer(a *alloc) step {
	nd := &s.nodes[a.nd]
	left, wait := a.expiry-s.now, a.expiry-s.now
	if s.jobs[a.job].Semantics != AtMostOnce && a.tries+1 < s.cl.MaxAttempts {
		if p := max(leastWait, 2*s.jobs[a.job].starts.quantile(0.95)); p+leastWait/2 < left {
			wait = p
		}
	}
	a.tries++
	a.out, a.sentAt = true, s.now
	s.place(a, 1)
	s.act(nd, s.now, a.cores, a.memory)
	nd.unanswered = append(nd.unanswered, s.allocAt[a.id])
	nd.offers = append(nd.offers[max(0, len(nd.offers)-max(1, s.share)):], s.now) // before news of a start too
	s.host.StartAttempt(a.id, nd.id, wait)
	return pass
}

func (s *Scheduler) act(nd *node, at, cores, memory float64) {
	nd.acts = slices.DeleteFunc(nd.acts, func(c change) bool { return c.at < s.now-keepActs })
	nd.acts, nd.summed = append(nd.acts, change{at, cores, memory}), false
}

// offerBack takes the try off its node's counts.
func (s *Scheduler) offerBack(a *alloc, nd *node, v Outcome, _ Reason) {
	s.place(a, -1)
	a.out = false
	s.heardOf(a, nd)
	if v == Rejected || v == Unreachable || v == NotSent {
		s.act(nd, a.sentAt, -a.cores, -a.memory) // as if never sent
	} else if a.placed {
		s.act(nd, s.now, -a.cores, -a.memory)
	}
}

func (s *Scheduler) heardOf(a *alloc, nd *node) {
	nd.unanswered = slices.DeleteFunc(nd.unanswered, func(i int) bool { return s.allocs[i].id == a.id })
}

// choiceBack learns of the node from the outcome.
func (s *Scheduler) choiceBack(a *alloc, nd *node, v Outcome, why Reason) {
	if a.placed {
		return
	}
	switch v {
	case Rejected:
		s.hear(nd, true)
		switch why {
		case InsufficientCores, InsufficientMemory: // it has less than thought: believe it until the next report
			s.believe(nd, a, why)
		case QueueFull:
			nd.restUntil = s.now + lineRest
		case NotAccepting, ReasonUnknown: // it drains unheard of, or holds a copy: it won't have this one
			if why == ReasonUnknown && nd.away == 0 {
				break // for want of room, as far as anybody knows
			}
			a.tried = append(a.tried, a.nd)
			if nd.away++; nd.away > 1 {
				nd.restUntil = s.now + min(awayRest, lineRest*float64(int(1)<<min(nd.away-2, 8)))
			}
		}
	case Unreachable:
		s.hear(nd, false)
		a.tried = append(a.tried, a.nd)
	case TimedOut, Errored, ConnectionLost:
		a.tried = append(a.tried, a.nd)
		if !a.unfit {
			nd.judge(a.job, 0)
		}
		if v == Errored {
			a.erred = append(a.erred, a.nd)
			s.clear(a)
		}
	}
}

// clear takes the blame off nodes for an allocation that erred at several: what nobody can use is at fault
// itself. It guards against bad clients, whose allocations would make all nodes look ill in turn. Where as
// many nodes fail a job type, allocations that meet no other hide it.
func (s *Scheduler) clear(a *alloc) {
	if len(a.erred) < faulty {
		return
	}
	for _, n := range a.erred {
		past := &s.nodes[n].past[a.job]
		*past = (*past | (*past + 1)) & (1<<outcomes - 1) // the latest failure counts as a success
	}
	a.erred = a.erred[:0]
	a.unfit = true
}

// believe takes a refusal as the freshest report: just under what was asked is free, older reports void. It
// guards against try after try where late reports still show room, and could hold a scheduler off a node that
// has just emptied, for one report.
func (s *Scheduler) believe(nd *node, a *alloc, why Reason) {
	c, m := s.taken(nd)
	if why == InsufficientCores {
		c = max(c, nd.cores*s.cl.CoresOvercommit-a.cores*0.99)
	} else {
		m = max(m, nd.memory*s.cl.MemoryOvercommit-a.memory*0.99)
	}
	nd.free, nd.measured, nd.known, nd.summed = [2]float64{nd.cores - c, nd.memory - m}, s.now, true, false
}

// judge adds an outcome of a job type, 1 for a success, to a node's last few. An answered probe does not: it
// proves reach, and a node may fail one job type while it serves others.
func (nd *node) judge(job int, ok uint) { nd.past[job] = (nd.past[job]<<1 | ok) & (1<<outcomes - 1) }

// risk is the part of a job type's last few tries that failed at a node.
func (nd *node) risk(job int) float64 {
	return 1 - float64(bits.OnesCount(nd.past[job]))/outcomes
}

// hear takes it that a node answers, or does not.
func (s *Scheduler) hear(nd *node, answers bool) {
	if answers {
		nd.heard = s.now
	}
	if nd.ill == answers {
		nd.ill, nd.probedAt = !answers, s.now
		quiet := (s.now - max(nd.heard, s.born)) / 1000
		s.host.Log(fmt.Sprintf("node %d: ill=%t, unheard %.1f s", nd.id, nd.ill, quiet))
	}
}

func (s *Scheduler) OnStarted(now float64, id uint32, try uint8, took float64) {
	s.now = now
	i, ok := s.allocAt[id]
	if !ok {
		return
	}
	a := &s.allocs[i]
	nd := &s.nodes[a.nd]
	s.heardOf(a, nd)
	a.placed, a.over = true, true
	nd.away = 0
	s.hear(nd, true)
	nd.judge(a.job, 1)
	s.jobs[a.job].starts.add(took)
}

func (s *Scheduler) OnOutcome(now float64, id uint32, nodeID uint32, try uint8, took float64, over bool,
	why Reason, verdict Outcome, report []float64) {
	s.now = now
	if n, ok := s.nodeAt[nodeID]; ok {
		s.report(&s.nodes[n], report)
	}
	i, ok := s.allocAt[id]
	if !ok {
		return
	}
	a := &s.allocs[i]
	if !a.out || int(try) != a.tries-1 {
		return
	}
	a.over = a.over || over
	nd := &s.nodes[a.nd]
	for x := len(chain) - 1; x >= 0; x-- {
		chain[x].back(s, a, nd, verdict, why)
	}
	s.drop(i)
	s.scanAt = min(s.scanAt, now+scanEvery/4)
}

// strain is the part of their service that tasks at a node lack, as they told lately. It guards against nodes
// whose cores are taken by what no report shows.
func (s *Scheduler) strain(nd *node) float64 {
	return nd.strain * max(0, 1-(s.now-nd.strainAt)/strainFor)
}

// OnTaskMetric learns what part of their asks tasks use, and how well they are served.
func (s *Scheduler) OnTaskMetric(now float64, id uint32, _ uint8, _ uint32, kind TaskMetric, value float64) {
	s.now = now
	if i, ok := s.allocAt[id]; ok && s.allocs[i].placed && kind == ServedShare {
		nd := &s.nodes[s.allocs[i].nd]
		nd.strain, nd.strainAt = (s.strain(nd)+1-value)/2, now
	}
	if i, ok := s.allocAt[id]; ok && s.allocs[i].out && (kind == CoresUsed || kind == MemoryUsed) {
		x, a := kind-CoresUsed, &s.allocs[i]
		if now-a.sentAt < growFor {
			value = max(value, a.use[x])
		}
		s.nodes[a.nd].own[x] += value - a.use[x]
		a.use[x] = value
		s.used[x] = s.used[x]*0.998 + value
		s.asked[x] = s.asked[x]*0.998 + [2]float64{a.cores, a.memory}[x]
	}
}

func (s *Scheduler) OnExpired(now float64, id uint32) {
	s.now = now
	if i, ok := s.allocAt[id]; ok {
		s.allocs[i].over = true // a waiting one is dropped at the next scan
		s.scanAt = now
	}
}

func (s *Scheduler) OnProbeResult(now float64, nodeID uint32, verdict Outcome, took float64, report []float64) {
	s.now = now
	n, ok := s.nodeAt[nodeID]
	if !ok {
		return
	}
	nd := &s.nodes[n]
	nd.probing = false
	s.scanAt = now
	s.hear(nd, verdict == Completed)
	if verdict == Completed {
		s.report(nd, report)
	}
}

func (s *Scheduler) OnTimer(now float64, key uint64) {
	s.now = now
	switch key {
	case keyTick:
		s.tickDue = true
		s.host.SetTimer(tickEvery, keyTick)
	case keyScan:
		s.scanSet = false
	default:
		if i, ok := s.allocAt[uint32(key-keyAlloc)]; ok && !s.allocs[i].over {
			a := &s.allocs[i]
			if a.out && s.cl.CanCancel {
				s.host.Cancel(a.id, uint8(a.tries-1))
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
		if nd.avail != Ready {
			continue
		}
		if !nd.probing && s.now-nd.probedAt > illProbe && (nd.ill || s.silent(nd)) {
			s.hear(nd, !s.cl.CanProbe)
			s.probe(nd)
		}
		if s.now > nd.forgetAt {
			nd.forgetAt = s.now + forgetEvery
			for j := range nd.past {
				nd.judge(j, 1)
			}
		}
	}
	s.refresh()
	if s.cl.PollsList && s.now >= s.callAt {
		s.callAt = s.now + 2*followAgain*(1+s.rng.float())
		s.host.WatchList(true)
	}
}

// silent tells whether a node owes an answer for longer than starts take.
func (s *Scheduler) silent(nd *node) bool {
	if len(nd.unanswered) == 0 {
		return false
	}
	first := &s.allocs[nd.unanswered[0]]
	return s.now-max(first.sentAt, nd.heard) > max(leastWait, s.jobs[first.job].starts.quantile(0.95))
}

// refresh probes for reports, the oldest first, as far as own allocations have paid for it.
func (s *Scheduler) refresh() {
	for ; !s.cl.ReportsPiggybacked && s.credit >= 1; s.credit-- {
		oldest := -1
		for i := range s.nodes {
			if nd := &s.nodes[i]; nd.avail == Ready && !nd.probing &&
				(oldest < 0 || nd.measured < s.nodes[oldest].measured) {
				oldest = i
			}
		}
		if oldest < 0 || s.now-reportLag-s.nodes[oldest].measured < probeAge {
			return
		}
		s.probe(&s.nodes[oldest])
	}
}

func (s *Scheduler) probe(nd *node) {
	if s.cl.CanProbe && !nd.probing {
		nd.probing, nd.probedAt = true, s.now
		s.host.Probe(nd.id)
	}
}

// bins counts durations in a few coarse bins, each twice as wide as the one before, halved from time to time.
type bins struct {
	n   [8]float64
	sum float64
}

const firstBin = 100 // upper end of the first bin

func (b *bins) add(v float64) {
	i := 0
	for top := float64(firstBin); v > top && i < len(b.n)-1; top *= 2 {
		i++
	}
	b.n[i]++
	if b.sum++; b.sum > 200 {
		b.sum = 0
		for x := range b.n {
			b.n[x] /= 2
			b.sum += b.n[x]
		}
	}
}

// quantile is the upper end of the bin in which the given part is reached.
func (b *bins) quantile(q float64) float64 {
	seen, top := 0.0, float64(firstBin)
	for i := range b.n {
		if seen += b.n[i]; seen >= q*b.sum {
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
