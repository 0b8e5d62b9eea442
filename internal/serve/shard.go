package serve

import (
	"fmt"
	"math"
	"sync/atomic"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

const (
	maxIdle        = 1000               // longest time between two rounds of a shard, ms
	maxSpareEvents = 1 << 12            // a batch with a larger capacity is not reused, so that the memory of a burst is freed
	seedFactor     = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; spreads the seeds of successive incarnations
)

// shard is an engine with a loop of its own. Only the loop's goroutine uses the engine and the other fields of the first two groups; the
// atomics and the inbox are for all goroutines.
type shard struct {
	engine        *engine.Engine
	lastRound     float64 // time of the last round, ms
	roundRequests int     // requests that this round has handled
	spare         []event // slice to reuse for the next batch
	sharers       int     // number of schedulers that share the slow-start limits, as last passed to the engine

	links               map[uint32]*nodeLink // connections that the engine knows, by node
	handedOver          map[uint64]*shard    // new shards of running tasks that were handed over, by ticket; late messages are forwarded to them
	lastRunningHandover float64              // time at which a running task was last handed over, ms
	handover            handover.Planner

	set         *shardSet // the fields of this group do not change after the shard is started
	index       int
	incarnation uint32
	connections *nodeConnections
	inbox       *inbox
	loop        env.Loop

	started        atomic.Bool     // the shard may run rounds
	queuedRequests atomic.Int64    // requests that were posted and not yet handled
	handoverCounts [2]atomic.Int64 // number of allocations that were handed over: waiting, running
	handoverActive atomic.Bool     // a handover is posted or under way
	heartbeat      atomic.Uint64   // math.Float64bits of the time of the last round
	fenced         atomic.Bool     // the shard owns nothing any more and its effects are dropped
}

// newShard creates a shard with a new incarnation. The shard runs no round before it is started.
func (s *shardSet) newShard(index int) (*shard, error) {
	incarnation, err := s.folder.NextIncarnation()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	sh := &shard{
		set: s, index: index, incarnation: incarnation,
		links: map[uint32]*nodeLink{}, handedOver: map[uint64]*shard{},
	}
	now := s.env.Now()
	sh.heartbeat.Store(math.Float64bits(now))
	sh.engine = engine.New(s.wrapEffects(shardEffects{sh}), now, s.engineConfig(index, incarnation))
	if s.config.Site.Members.Listen != "" {
		sh.engine.SetSchedulerCount(0) // no offers to nodes in slow start until the membership gives this scheduler a share
	}
	sh.inbox = &inbox{wake: func() { sh.loop.Wake() }}
	sh.loop = s.env.StartLoop(sh.runRound)
	return sh, nil
}

// wrapEffects lets tests inject faults into the effects of a shard.
func (s *shardSet) wrapEffects(effects engine.Effects) engine.Effects {
	if s.config.Faults.WrapEffects != nil {
		return s.config.Faults.WrapEffects(effects)
	}
	return effects
}

// engineConfig returns the configuration of a shard's engine. Each shard that may run counts as one scheduler when slow-start limits
// are shared.
func (s *shardSet) engineConfig(index int, incarnation uint32) engine.Config {
	site := s.config.Site
	cluster := site.Cluster
	cluster.RetriesUnreachable = true // nothing was sent to the node, and a connection that is lost tells of many nodes at once
	cluster.Schedulers *= site.MaxShards
	cluster.Index = s.config.Index*site.MaxShards + index
	return engine.Config{
		Cluster:        &cluster,
		Shares:         site.Shares,
		MaxOpen:        s.router.MaxOpenPerShard(site.Shards),
		AnswerMargin:   site.AnswerMargin,
		SettleTime:     site.SettleTime,
		Incarnation:    incarnation,
		Seed:           s.config.Seed + uint64(incarnation)*seedFactor,
		WallClockStart: float64(env.Epoch.UnixMilli()),
		NewPolicy:      s.config.Policy,
		AliveAtPeers:   s.membership.nodeAlive,
	}
}

// start allows the shard to run rounds.
func (sh *shard) start() {
	sh.started.Store(true)
	sh.loop.Wake()
}

// post queues an event for the shard's loop. It returns false if the shard accepts no events any more. A shard whose inbox is full is
// fenced, on another goroutine, because the caller may hold locks that fencing takes.
func (sh *shard) post(ev event) bool {
	ok, full := sh.inbox.put(sh.set.env.Now(), ev)
	if full {
		sh.set.async(func() { sh.set.fence(sh, fmt.Sprintf("%d events in the inbox", maxInbox)) })
	}
	return ok
}

// runRound handles the queued events and runs a round of the engine, at most once in each round interval. It returns how long to wait,
// in ms, for the next call if no event is posted, or a negative number if the shard has ended. A panic fences the shard.
func (sh *shard) runRound() (wait float64) {
	defer func() {
		if p := recover(); p != nil {
			sh.set.fence(sh, fmt.Sprint("panic: ", p))
			wait = -1
		}
	}()
	clock := sh.set.env
	began := clock.Now()
	switch rest := sh.lastRound + sh.set.config.Site.Cluster.MinRoundInterval - began; {
	case sh.fenced.Load() || sh.set.stopped.Load():
		return -1
	case !sh.started.Load():
		return maxIdle
	case rest > 0:
		return rest
	}
	if !sh.takeEvents(began) {
		return -1
	}
	sh.lastRound = clock.Now()
	sh.updateSharers()
	sh.heartbeat.Store(math.Float64bits(sh.lastRound))
	sh.engine.Round(sh.lastRound)
	sh.inbox.done()
	sh.recordRoundTime(began)
	return min(maxIdle, max(0, sh.engine.NextRound()-sh.lastRound))
}

// takeEvents handles the queued events. It returns false if the shard was fenced in the meantime.
func (sh *shard) takeEvents(now float64) bool {
	events := sh.inbox.take(now, sh.spare)
	for i, handle := range events {
		if sh.fenced.Load() {
			return false
		}
		handle(sh.set.env.Now())
		events[i] = nil
	}
	if sh.spare = events; cap(sh.spare) > maxSpareEvents {
		sh.spare = nil
	}
	return !sh.fenced.Load()
}

// updateSharers passes the number of schedulers that share the slow-start limits to the engine if it has changed.
func (sh *shard) updateSharers() {
	s := sh.set
	if !s.membership.isMember() {
		return
	}
	if n := s.membership.slowStartSharers(sh.lastRound); n != sh.sharers {
		sh.sharers = n
		sh.engine.SetSchedulerCount(n * s.config.Site.MaxShards)
	}
}

// recordRoundTime tells the router how long the round took. The router uses it to predict how long requests will wait.
func (sh *shard) recordRoundTime(began float64) {
	if sh.roundRequests == 0 {
		return
	}
	s := sh.set
	s.routerMu.Lock()
	s.router.OnRound(sh.index, s.env.Now()-began, sh.roundRequests)
	s.routerMu.Unlock()
	sh.queuedRequests.Add(-int64(sh.roundRequests))
	sh.roundRequests = 0
}

// postList posts an update of the node list to the shard.
func (sh *shard) postList(kind logic.ListKind, entries []listEntry) {
	sh.post(func(now float64) {
		sh.engine.BeginList(now, kind)
		sh.putNodes(entries)
		sh.engine.EndList()
	})
}

// putNodes passes entries of the node list to the engine.
func (sh *shard) putNodes(entries []listEntry) {
	for i := range entries {
		e := &entries[i]
		sh.engine.AddListEntry(engine.ListEntry{
			Node: e.ID, Address: e.Address, Availability: logic.Availability(e.Availability), StartedAt: e.StartedAt,
			FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, Zone: e.zone, Cell: e.cell, Kind: e.kind,
		})
	}
}

// listEntry is an entry of the node list with its zone, cell and kind as indices in the site's lists.
type listEntry struct {
	state.Entry
	zone, cell, kind int
}
