package engine

import (
	"runtime"
	"sync"
	"testing"

	"ravenpond/logic"
)

// silent drops effects but keeps the last offer.
type silent struct {
	script
}

func (s *silent) Offer(nd uint32, ticket uint64, try uint8, _ uint32, _ float64, _, _ int, _, _ uint64, _, _ float64) {
	s.last.nd, s.last.ticket, s.last.try = nd, ticket, try
}
func (s *silent) Answer(uint32, uint64, Answer, uint32, string, float64) {}
func (s *silent) NotifyEnd(uint32, uint64, logic.Outcome, logic.Reason)  {}
func (s *silent) Log(string)                                             {}
func (s *silent) Dial(uint32, string)                                    {}

const benchNodes = 130

func benchCluster() *logic.Cluster {
	return &logic.Cluster{
		Schedulers: 1, ListMaxSilence: 1e9, MinRoundInterval: 1, MaxAttempts: 4, CanCancel: true, CanProbe: true,
		KindCores: []float64{64}, KindMemory: []float64{128}, CoresOvercommit: 4, MemoryOvercommit: 4, ListsReportLoad: true,
		ReportFields: []string{"x0", "x1"}, ReportsPiggybacked: true, SlowStartLimit: 1000, SlowStartDuration: 1, SlowStartWindow: 1, MeanCores: 1,
		MeanMemory: 2, JobClasses: []logic.JobClass{{LatencyObjective: 1000, PriorityWeight: 1, NodeKind: -1}},
	}
}

// BenchmarkEngine is the whole life of an allocation through the engine, one a round of 1 ms.
func BenchmarkEngine(b *testing.B) {
	s := &silent{}
	e := New(s, 1, Config{Cluster: benchCluster(), Shares: []float64{1}, MaxOpen: 1000, AnswerMargin: 100, SettleTime: 3000, Incarnation: 1, Seed: 1})
	e.BeginList(1, logic.ListCached)
	for i := range uint32(benchNodes) {
		e.AddListNode(i+1, "a", logic.Ready, 0, 64, 128, int(i%2), int(i%2), 0)
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
		if err := e.Allocate(now, 1, i, 0, 0, i%50, i, 0.5, 1, 5000, 1); err != nil {
			b.Fatal(err)
		}
		e.Round(now)
		if e.OnStarted(now, s.last.nd, s.last.ticket, s.last.try, 1) != nil ||
			e.OnOutcome(now, s.last.nd, s.last.ticket, s.last.try, logic.Completed, logic.ReasonUnknown, report) != nil {
			b.Fatal("lost")
		}
	}
}

// bare is a host that only keeps the last offer.
type bare struct{ nd, alloc uint32 }

func (h *bare) StartAttempt(alloc, nd uint32, _ float64) { h.alloc, h.nd = alloc, nd }
func (h *bare) Shed(uint32, float64)                     {}
func (h *bare) Fail(uint32)                              {}
func (h *bare) Cancel(uint32, uint8)                     {}
func (h *bare) Migrate(uint32)                           {}
func (h *bare) Probe(uint32)                             {}
func (h *bare) WatchList(bool)                           {}
func (h *bare) ReloadList()                              {}
func (h *bare) SetTimer(float64, uint64)                 {}
func (h *bare) Log(string)                               {}

// BenchmarkModule is the same calls on the module alone, with the timers that the engine would ring.
func BenchmarkModule(b *testing.B) {
	h := &bare{}
	s := logic.New(h, 1, 1, benchCluster())
	s.OnListBegin(1, logic.ListCached)
	for i := range uint32(benchNodes) {
		s.OnListNode(1, logic.ListEntry{
			Node: i + 1, Availability: logic.Ready, FreeCores: 64, FreeMemory: 128,
			Zone: int(i % 2), Cell: int(i % 2),
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
			Allocation: i, Node: h.nd, Duration: 1, Answered: true,
			Outcome: logic.Completed, Report: report,
		})
	}
}

// BenchmarkOpen measures what an open allocation holds in memory, engine and module together, at 100,000.
func BenchmarkOpen(b *testing.B) {
	const many = 100000
	for b.Loop() {
		s := &silent{}
		e := New(s, 1, Config{Cluster: benchCluster(), Shares: []float64{1}, MaxOpen: many, AnswerMargin: 100, SettleTime: 3000, Incarnation: 1, Seed: 1})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := uint64(1); i <= many; i++ {
			if err := e.Allocate(2, 1, i, 0, 0, i%50, i, 0.5, 1, 60000, 1); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if e.admission.Open() != many {
			b.Fatal("not all open")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/many, "B/open")
	}
}

// BenchmarkTries finds an open try by its ticket among 10,000: by a map of places in a table, as the engine does, and
// by a map of pointers with a lock, the plain way.
func BenchmarkTries(b *testing.B) {
	const many = 10000
	b.Run("table and map", func(b *testing.B) {
		table, at := make([]allocation, many), map[uint32]int{}
		for i := range many {
			at[uint32(i)] = i
		}
		sum := 0.0
		for i := uint32(0); b.Loop(); i++ {
			sum += table[at[i*7919%many]].deadline
		}
	})
	b.Run("map of pointers with a lock", func(b *testing.B) {
		var mu sync.RWMutex
		at := map[uint64]*allocation{}
		for i := range uint64(many) {
			at[1<<32|i] = &allocation{}
		}
		sum := 0.0
		for i := uint64(0); b.Loop(); i++ {
			mu.RLock()
			sum += at[1<<32|i*7919%many].deadline
			mu.RUnlock()
		}
	})
}
