package logic

import "slices"

// jobClass is a job class with its observed start times.
type jobClass struct {
	JobClass
	startTimes histogram
}

// Scheduler makes the placement decisions of one scheduler process. It implements EventHandler.
type Scheduler struct {
	effects   Effects
	random    pcg
	now       float64 // time of the current round
	startedAt float64
	cluster   *Cluster
	classes   []jobClass

	nodes       nodeTable
	list        listState
	allocations allocationTable
	services    serviceTable
	queue       placementQueue
	reports     reportLayout
	usage       usageModel
	slowStart   slowStartShare
	large       largeAllocations
	fleet       fleetStats

	probeBudget float64     // number of probes that may be sent; each request adds one
	candidates  []candidate // reusable buffer of collectCandidates
	tickDue     bool        // the tick timer has fired in this round
}

var _ EventHandler = (*Scheduler)(nil)

// New returns a scheduler that knows no nodes yet; the caller delivers the cached node list next. The seed determines all its random
// numbers. The cluster must not be changed afterwards.
func New(effects Effects, now float64, seed uint64, cluster *Cluster) *Scheduler {
	s := &Scheduler{
		effects: effects, random: pcg{seed}, now: now, startedAt: now, cluster: cluster,
		nodes:       nodeTable{index: map[uint32]int{}},
		list:        listState{lastAt: now},
		allocations: allocationTable{index: map[uint32]int{}},
		services:    serviceTable{index: map[uint64]int{}},
		reports: reportLayout{
			cores:  slices.Index(cluster.ReportFields, "x0"),
			memory: slices.Index(cluster.ReportFields, "x1"),
		},
		usage:     initialUsage,
		slowStart: newSlowStartShare(cluster),
		large:     largeAllocations{totalMemory: 1},
	}
	s.random.next()
	for _, settings := range cluster.JobClasses {
		class := jobClass{JobClass: settings}
		class.startTimes.add(settings.LatencyObjective)
		s.classes = append(s.classes, class)
	}
	s.list.nextPollAt = now + s.random.float()*min(cluster.ListMaxSilence/3, firstPollSpread*float64(cluster.Schedulers))
	effects.SetTimer(tickInterval*s.random.float(), timerTick)
	return s
}

// Decide implements EventHandler: it does the periodic work that is due, then scans the queue.
func (s *Scheduler) Decide(now float64) {
	s.now = now
	if s.tickDue { // runs last in the round: after a pause, timers that were due fire before the answers that arrived meanwhile
		s.tickDue = false
		s.tick()
	}
	s.scanQueue()
}
