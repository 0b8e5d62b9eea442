package engine

import (
	"runtime"
	"sync"
	"testing"

	"ravenpond/logic"
)

// lastOfferEffects ignores all effects but records the last offer.
type lastOfferEffects struct{ harness }

func (e *lastOfferEffects) Offer(node uint32, offer Offer) {
	e.lastOffer = sentOffer{node, offer.Attempt}
}

func (e *lastOfferEffects) Answer(RequestID, Answer) {}

func (e *lastOfferEffects) NotifyEnd(RequestID, logic.Outcome, logic.Reason) {}

func (e *lastOfferEffects) Log(string) {}

func (e *lastOfferEffects) Dial(uint32, string) {}

const benchNodes = 130

func benchCluster() *logic.Cluster {
	return &logic.Cluster{
		Schedulers: 1, ListMaxSilence: 1e9, MinRoundInterval: 1, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{64}, KindMemory: []float64{128}, CoresOvercommit: 4, MemoryOvercommit: 4, ListsReportLoad: true,
		ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 1000, SlowStartDuration: 1, SlowStartWindow: 1, MeanCores: 1,
		MeanMemory: 2, JobClasses: []logic.JobClass{{LatencyObjective: 1000, PriorityWeight: 1, NodeKind: -1}},
	}
}

// BenchmarkEngine measures an allocation from its request to its end in the engine, with one allocation per round of 1 ms.
func BenchmarkEngine(b *testing.B) {
	effects := &lastOfferEffects{}
	e := New(effects, 1, Config{Cluster: benchCluster(), Shares: []float64{1}, MaxOpen: 1000, AnswerMargin: 100, SettleTime: 3000, Incarnation: 1, Seed: 1})
	e.BeginList(1, logic.ListCached)
	for i := range uint32(benchNodes) {
		e.AddListEntry(ListEntry{Node: i + 1, Address: "a", Availability: logic.Ready, FreeCores: 64, FreeMemory: 128, Zone: int(i % 2), Cell: int(i % 2)})
	}
	e.EndList()
	for i := range uint32(benchNodes) {
		e.OnConnected(1, i+1, 1, 0)
		e.OnHeldAll(1, i+1)
	}
	report := []float64{64, 128}
	now := 100.0
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now++
		if err := e.Allocate(now, newRequest(1, i, Task{Service: i % 50, Token: i, Cores: 0.5, Memory: 1}, 5000)); err != nil {
			b.Fatal(err)
		}
		e.Round(now)
		if e.OnStarted(now, effects.lastOffer.node, effects.lastOffer.attempt, 1) != nil ||
			e.OnOutcome(now, effects.lastOffer.node, Outcome{Attempt: effects.lastOffer.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown, Report: report}) != nil {
			b.Fatal("start or end of the attempt was rejected")
		}
	}
}

// lastAttempt records the last attempt of a policy and ignores its other effects.
type lastAttempt struct{ node, allocation uint32 }

func (h *lastAttempt) StartAttempt(allocation, node uint32, _ float64) {
	h.allocation, h.node = allocation, node
}
func (h *lastAttempt) Shed(uint32, float64)     {}
func (h *lastAttempt) Fail(uint32)              {}
func (h *lastAttempt) Cancel(uint32, uint8)     {}
func (h *lastAttempt) Migrate(uint32)           {}
func (h *lastAttempt) Probe(uint32)             {}
func (h *lastAttempt) WatchList(bool)           {}
func (h *lastAttempt) ReloadList()              {}
func (h *lastAttempt) SetTimer(float64, uint64) {}
func (h *lastAttempt) Log(string)               {}

// BenchmarkPolicy makes the same calls to the policy without an engine, and fires the timer that the engine would fire.
func BenchmarkPolicy(b *testing.B) {
	h := &lastAttempt{}
	s := logic.New(h, 1, 1, benchCluster())
	s.OnListBegin(1, logic.ListCached)
	for i := range uint32(benchNodes) {
		s.OnListNode(1, logic.ListEntry{
			Node: i + 1, Availability: logic.Ready, FreeCores: 64, FreeMemory: 128, Zone: int(i % 2), Cell: int(i % 2),
		})
	}
	s.OnListEnd(1)
	report := []float64{64, 128}
	now := 100.0
	b.ReportAllocs()
	for i := uint32(1); b.Loop(); i++ {
		now++
		if i%100 == 0 {
			s.OnTimer(now, 0)
		}
		s.OnRequest(now, logic.Request{Allocation: i, Deadline: now + 4900, Service: uint64(i % 50), Cores: 0.5, Memory: 1})
		s.Decide(now)
		s.OnStarted(now, i, 0, 1)
		s.OnOutcome(now, logic.AttemptResult{
			Allocation: i, Node: h.node, Duration: 1, Answered: true,
			Reason: logic.ReasonUnknown, Outcome: logic.Completed, Report: report,
		})
	}
}

// BenchmarkOpen measures the memory per open allocation in the engine and the policy together, with 100,000 open allocations.
func BenchmarkOpen(b *testing.B) {
	const allocationCount = 100000
	for b.Loop() {
		effects := &lastOfferEffects{}
		e := New(effects, 1, Config{Cluster: benchCluster(), Shares: []float64{1}, MaxOpen: allocationCount, AnswerMargin: 100, SettleTime: 3000, Incarnation: 1, Seed: 1})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := uint64(1); i <= allocationCount; i++ {
			if err := e.Allocate(2, newRequest(1, i, Task{Service: i % 50, Token: i, Cores: 0.5, Memory: 1}, 60000)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if e.admission.Open() != allocationCount {
			b.Fatal("not all allocations are open")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/allocationCount, "B/open")
	}
}

// BenchmarkFindAttempt compares two ways to find one of 10,000 open attempts by its ticket: a map of indices into a slice, which the
// engine uses, and a map of pointers with a lock.
func BenchmarkFindAttempt(b *testing.B) {
	const attemptCount = 10000
	b.Run("map of slice indices", func(b *testing.B) {
		table, at := make([]allocation, attemptCount), map[uint32]int{}
		for i := range attemptCount {
			at[uint32(i)] = i
		}
		sum := 0.0
		for i := uint32(0); b.Loop(); i++ {
			sum += table[at[i*7919%attemptCount]].deadline
		}
	})
	b.Run("map of pointers with a lock", func(b *testing.B) {
		var mu sync.RWMutex
		at := map[uint64]*allocation{}
		for i := range uint64(attemptCount) {
			at[1<<32|i] = &allocation{}
		}
		sum := 0.0
		for i := uint64(0); b.Loop(); i++ {
			mu.RLock()
			sum += at[1<<32|i*7919%attemptCount].deadline
			mu.RUnlock()
		}
	})
}
