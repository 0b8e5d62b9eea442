package logic

import "slices"

// jobClass is a job class with the start times seen for it.
type jobClass struct {
	JobClass
	startTimes histogram
}

// Scheduler is the placement module of one scheduler process. It implements EventHandler.
type Scheduler struct {
	effects   Effects
	random    pcg
	now       float64 // time of the present round
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

	probeBudget float64     // probes that allocations have paid for
	candidates  []candidate // buffer of chooseNode
	tickDue     bool        // the tick timer fired in this round
}

var _ EventHandler = (*Scheduler)(nil)

// New starts a scheduler that knows no node yet: the cached list comes next. The seed determines all its random draws. The cluster must not
// change afterwards.
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

// Decide implements EventHandler: it does periodic work that is due, then scans the queue.
func (s *Scheduler) Decide(now float64) {
	s.now = now
	if s.tickDue { // after all events of the round: after a pause, answers arrive behind the timers that were due before them
		s.tickDue = false
		s.tick()
	}
	s.scanQueue()
}
