// Package shards measures what several shards gain and cost, and checks by a great many allocations under races,
// shard kills and stand-stills that no allocation ever has two tries out, no run-once one starts twice, and none
// stays without an answer.
package shards

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"ravenpond/internal/engine"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
)

const siteText = `<site name="cores">
  <cluster schedulers="1" list="asked" ask-every="1h" step="1ms" tries="6" cores-limit="100" memory-limit="100"
           mean-cores="1" mean-memory="2"/>
  <rules drain-grace="2s" cold-bears="100000" cold-for="10ms" cold-window="10ms" answer-margin="600ms" settle="1s"/>
  <zone name="one"/><zone name="two"/>
  <machine kind="plain" cores="1000" memory="2000"/>
  <job-type name="free" effect="restartable" target="1s" expiry="4s" value="1"/>
  <job-type name="keyed" effect="tokened" group="zone" window="4s" target="1s" expiry="4s" value="2"/>
  <job-type name="once" effect="run-once" target="1s" expiry="4s" value="3"/>
  <tenant name="t" share="1"/>
  <limits open="200000"/>
  <shards count="%d" most="%d" connections="%s"/>
  <node-list address="127.0.0.1:1"/>
  <owners listen="127.0.0.1:0"/>
</site>`

// Trial is one run in this process, over an in-memory transport.
type Trial struct {
	Shards            int
	Connections       string // own, shared or informed
	Requests          int
	Concurrency       int     // asks open at once
	Rate              float64 // asks a second, whatever becomes of them; 0: as the window has room
	Nodes             int
	DuplicateFraction float64       // part of the keys that are asked for on two connections at once
	FaultInterval     time.Duration // mean time between a panic or stand-still of a shard; 0: none
	ResizeInterval    time.Duration // mean time between changes of the number of shards, from 1 to Shards; 0: none
	SkipEpochCheck    bool          // the epoch check is left out, which must be found
	Seed              uint64
}

// Result is what came of a trial.
type Result struct {
	Requests, Served, Declined, Failed   int
	Duplicates, SecondStarts, Unanswered int // tries while one is out; starts of a run-once one after the first; asks
	RepeatedAnswers                      int // answers after the first
	Faults, Incarnations, Resizes        int
	StaleEpochs                          int // offers of an epoch lower than some node has seen
	Elapsed, CPU                         time.Duration
	Start                                *hdrhistogram.Histogram // us from ask to served
}

// testbench is the world of a trial.
type testbench struct {
	Trial
	mu           sync.Mutex
	running      map[uint64]runningTask // by token: the try that is out or runs
	jobs         []byte                 // by key
	started      map[uint64]int         // starts of run-once ones
	epochs       []map[uint64]uint32
	newest       map[uint64]uint32
	result       Result
	faults       atomic.Int32
	incarnations atomic.Int32
}

type runningTask struct {
	node     uint32
	attempt  node.AttemptID
	deadline time.Time
}

// Check runs a trial.
func Check(ctx context.Context, tr Trial) (*Result, error) {
	place, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, tr.Shards, tr.Shards, tr.Connections)))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site of the trial: %s", faults[0])
	}
	dir, err := os.MkdirTemp("", "ravenpond-cores-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := saveNodeList(dir, tr.Nodes); err != nil {
		return nil, err
	}
	b := &testbench{Trial: tr, jobs: make([]byte, tr.Requests), running: map[uint64]runningTask{}, started: map[uint64]int{}, newest: map[uint64]uint32{}}
	b.result.Start = hdrhistogram.New(1, 1e7, 3)
	for range tr.Nodes {
		b.epochs = append(b.epochs, map[uint64]uint32{})
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	resize := make(chan int)
	local, ended := make(chan *serve.LocalListener, 1), make(chan error, 1)
	var nodes sync.WaitGroup
	go func() {
		ended <- serve.Run(ctx, serve.Config{
			Site: place, Name: "s", Folder: dir, Seed: tr.Seed, Log: zerolog.Nop(),
			Faults: serve.Faults{WrapEffects: b.injectFaults, PermitAnyEpoch: tr.SkipEpochCheck}, OnLocalListener: func(l *serve.LocalListener) { local <- l }, Resize: resize,
			Connect: func(_ context.Context, address string) (net.Conn, error) {
				nd, err := strconv.Atoi(address)
				if err != nil {
					return nil, err
				}
				here, there := net.Pipe()
				nodes.Go(func() { b.node(uint32(nd), there) })
				return here, nil
			},
		})
	}()
	var l *serve.LocalListener
	select {
	case l = <-local:
	case err := <-ended:
		return nil, err
	}
	time.Sleep(400 * time.Millisecond) // connections
	asking, asked := context.WithCancel(ctx)
	defer asked()
	if tr.ResizeInterval > 0 {
		nodes.Go(func() { b.resize(asking, resize) })
	}
	used, began := processCPU(), time.Now()
	b.requestAll(l)
	asked()
	b.result.Elapsed, b.result.CPU = time.Since(began), processCPU()-used
	stop()
	if err := <-ended; err != nil {
		return nil, err
	}
	nodes.Wait()
	b.result.Faults, b.result.Incarnations = int(b.faults.Load()), int(b.incarnations.Load())
	return &b.result, nil
}

// resize changes the number of shards now and then.
func (b *testbench) resize(ctx context.Context, to chan<- int) {
	rng := rand.New(rand.NewPCG(b.Seed, 99))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(b.ResizeInterval))):
		}
		select {
		case <-ctx.Done():
			return
		case to <- 1 + rng.IntN(b.Shards):
			b.result.Resizes++
		}
	}
}

func saveNodeList(dir string, n int) error {
	f, err := state.Open(dir)
	if err != nil {
		return err
	}
	l := state.NewNodeList()
	if err := l.Begin(list.KindFull, 1); err != nil {
		return err
	}
	for i := range n {
		zone := []string{"one", "two"}[i%2]
		l.Put(state.Entry{
			ID: uint32(i + 1), Address: strconv.Itoa(i), Availability: 1, FreeCores: 1000, FreeMemory: 2000,
			Zone: zone, Cell: zone, Kind: "plain",
		})
	}
	l.End()
	if err := f.SaveList(l.Encode()); err != nil {
		return err
	}
	return f.Close()
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// duplicateRefs is where the refs of second asks for a key begin.
const duplicateRefs = 1 << 40

// clientRecorder is an owner: it counts answers.
type clientRecorder struct {
	bench   *testbench
	mu      sync.Mutex
	sentAt  map[uint64]time.Time
	answers map[uint64]engine.AnswerKind
	slots   chan struct{}
}

func (s *clientRecorder) OnEnd(uint64) {}

func (s *clientRecorder) OnAnswer(ref uint64, answer engine.AnswerKind) {
	s.mu.Lock()
	_, twice := s.answers[ref]
	s.answers[ref] = answer
	at := s.sentAt[ref]
	delete(s.sentAt, ref)
	s.mu.Unlock()
	s.bench.mu.Lock()
	key := ref - 1
	if ref >= duplicateRefs {
		key = ref - duplicateRefs
	}
	if answer == engine.Declined && s.bench.jobs[key] == 0 { // a restartable one asked for again is another allocation
		delete(s.bench.running, serve.Hash("key", strconv.FormatUint(key, 10)))
	}
	switch {
	case twice:
		s.bench.result.RepeatedAnswers++
	case answer == engine.Served:
		s.bench.result.Served++
		_ = s.bench.result.Start.RecordValue(time.Since(at).Microseconds()) // beyond 10 s is not told apart
	case answer == engine.Declined:
		s.bench.result.Declined++
	default:
		s.bench.result.Failed++
	}
	s.bench.mu.Unlock()
	if twice {
		return
	}
	switch {
	case s.bench.Rate > 0:
	case answer == engine.Served:
		<-s.slots
	default: // owners ask less while they are turned away
		time.AfterFunc(10*time.Millisecond, func() { <-s.slots })
	}
}

// requestAll asks for all keys by four owners, some of them by two at once, and waits for the answers.
func (b *testbench) requestAll(l *serve.LocalListener) {
	const owners = 4
	var all [owners]*clientRecorder
	var conns [owners]*serve.LocalClient
	for i := range all {
		all[i] = &clientRecorder{
			bench: b, sentAt: map[uint64]time.Time{}, answers: map[uint64]engine.AnswerKind{},
			slots: make(chan struct{}, max(1, b.Concurrency/owners)),
		}
		conns[i] = l.Connect(all[i])
	}
	one := func(i int, ref uint64, key uint64, job int) {
		s := all[i]
		s.mu.Lock()
		s.sentAt[ref] = time.Now()
		s.mu.Unlock()
		service, token := serve.Hash("service", strconv.FormatUint(key%997, 10)), serve.Hash("key", strconv.FormatUint(key, 10))
		conns[i].Allocate(serve.LocalRequest{Ref: ref, JobClass: job, Service: service, Token: token, Cores: 1, Memory: 2, Within: 4000})
	}
	var work sync.WaitGroup
	began := time.Now()
	for i := range owners {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(b.Seed, uint64(i)))
			for n := i; n < b.Requests; n += owners {
				key, job := uint64(n), [...]int{0, 1, 2, 2}[rng.IntN(4)]
				b.jobs[n] = byte(job)
				if b.Rate > 0 {
					time.Sleep(time.Until(began.Add(time.Duration(float64(n) / b.Rate * 1e9))))
				} else {
					all[i].slots <- struct{}{}
				}
				var both sync.WaitGroup
				if other := (i + 1) % owners; rng.Float64() < b.DuplicateFraction {
					select { // at the same moment, or not at all: later, it would be another allocation
					case all[other].slots <- struct{}{}:
						both.Go(func() { one(other, uint64(n)+duplicateRefs, key, job) })
					default:
					}
				}
				one(i, uint64(n)+1, key, job)
				both.Wait()
			}
		})
	}
	work.Wait()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		left := 0
		for _, s := range all {
			s.mu.Lock()
			left += len(s.sentAt)
			s.mu.Unlock()
		}
		if left == 0 {
			break
		}
	}
	for _, s := range all {
		s.mu.Lock()
		b.result.Unanswered += len(s.sentAt)
		b.result.Requests += len(s.sentAt) + len(s.answers)
		s.mu.Unlock()
	}
}
