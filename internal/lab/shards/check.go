// Package shards measures the gain and cost of several shards. It also checks with many allocations, under races and shards that panic and
// pause, that no allocation ever has two attempts out, that no at-most-once one starts twice, and that each request is answered.
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

// Trial is one run of the scheduler in this process, over an in-memory transport.
type Trial struct {
	Shards            int
	Connections       string // own, shared or informed
	Requests          int
	Concurrency       int     // open requests
	Rate              float64 // requests per second in an open loop; 0: a closed loop, bounded by Concurrency
	Nodes             int
	DuplicateFraction float64       // fraction of the keys that are requested on two connections at once
	FaultInterval     time.Duration // mean time between faults, a panic or a pause of a shard; 0: none
	ResizeInterval    time.Duration // mean time between changes of the number of shards, from 1 to Shards; 0: none
	SkipEpochCheck    bool          // an injected fault, which the trial must find: permits for attempts ignore epochs
	Seed              uint64
}

// Result is the outcome of a trial.
type Result struct {
	Requests, Served, Declined, Failed   int
	Duplicates, SecondStarts, Unanswered int // attempts while another is out; starts of an at-most-once task after the first; requests
	RepeatedAnswers                      int // answers after the first
	Faults, Incarnations, Resizes        int
	StaleEpochs                          int // offers of an epoch lower than some node has seen
	Elapsed, CPU                         time.Duration
	Start                                *hdrhistogram.Histogram // us from request to served
}

// testbench holds the nodes' and clients' side of a trial.
type testbench struct {
	Trial
	mu           sync.Mutex
	running      map[uint64]runningTask // by token: the attempt that is out or runs
	jobs         []byte                 // job classes by key
	started      map[uint64]int         // starts of at-most-once tasks, by token
	epochs       []map[uint64]uint32    // highest epoch that each node accepted, by token
	newest       map[uint64]uint32      // highest epoch that any node was offered, by token
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
	siteConfig, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, tr.Shards, tr.Shards, tr.Connections)))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site file of the trial: %s", faults[0])
	}
	dir, err := os.MkdirTemp("", "ravenpond-cores-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := saveNodeList(dir, tr.Nodes); err != nil {
		return nil, err
	}
	bench := &testbench{Trial: tr, jobs: make([]byte, tr.Requests), running: map[uint64]runningTask{}, started: map[uint64]int{}, newest: map[uint64]uint32{}}
	bench.result.Start = hdrhistogram.New(1, 1e7, 3)
	for range tr.Nodes {
		bench.epochs = append(bench.epochs, map[uint64]uint32{})
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	resize := make(chan int)
	local, ended := make(chan *serve.LocalListener, 1), make(chan error, 1)
	var nodes sync.WaitGroup
	go func() {
		ended <- serve.Run(ctx, serve.Config{
			Site: siteConfig, Name: "s", Folder: dir, Seed: tr.Seed, Log: zerolog.Nop(),
			Faults: serve.Faults{WrapEffects: bench.injectFaults, PermitAnyEpoch: tr.SkipEpochCheck}, OnLocalListener: func(listener *serve.LocalListener) { local <- listener }, Resize: resize,
			Connect: func(_ context.Context, address string) (net.Conn, error) {
				nodeIndex, err := strconv.Atoi(address)
				if err != nil {
					return nil, err
				}
				schedulerEnd, nodeEnd := net.Pipe()
				nodes.Go(func() { bench.serveNode(uint32(nodeIndex), nodeEnd) })
				return schedulerEnd, nil
			},
		})
	}()
	var listener *serve.LocalListener
	select {
	case listener = <-local:
	case err := <-ended:
		return nil, err
	}
	time.Sleep(400 * time.Millisecond) // The scheduler connects to the nodes meanwhile.
	requesting, stopResizing := context.WithCancel(ctx)
	defer stopResizing()
	if tr.ResizeInterval > 0 {
		nodes.Go(func() { bench.resizeRandomly(requesting, resize) })
	}
	cpuBefore, began := processCPU(), time.Now()
	bench.requestAll(listener)
	stopResizing()
	bench.result.Elapsed, bench.result.CPU = time.Since(began), processCPU()-cpuBefore
	stop()
	if err := <-ended; err != nil {
		return nil, err
	}
	nodes.Wait()
	bench.result.Faults, bench.result.Incarnations = int(bench.faults.Load()), int(bench.incarnations.Load())
	return &bench.result, nil
}

// resizeRandomly changes the number of shards at random intervals.
func (b *testbench) resizeRandomly(ctx context.Context, counts chan<- int) {
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
		case counts <- 1 + rng.IntN(b.Shards):
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

// duplicateRefs is added to the refs of second requests for a key.
const duplicateRefs = 1 << 40

// clientRecorder is a client that counts the answers to its requests.
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
	_, repeated := s.answers[ref]
	s.answers[ref] = answer
	at := s.sentAt[ref]
	delete(s.sentAt, ref)
	s.mu.Unlock()
	s.bench.mu.Lock()
	key := ref - 1
	if ref >= duplicateRefs {
		key = ref - duplicateRefs
	}
	if answer == engine.Declined && s.bench.jobs[key] == 0 { // A repeated request for a restartable task is another allocation.
		delete(s.bench.running, serve.Hash("key", strconv.FormatUint(key, 10)))
	}
	switch {
	case repeated:
		s.bench.result.RepeatedAnswers++
	case answer == engine.Served:
		s.bench.result.Served++
		_ = s.bench.result.Start.RecordValue(time.Since(at).Microseconds()) // Latencies beyond the histogram's 10 s are left out.
	case answer == engine.Declined:
		s.bench.result.Declined++
	default:
		s.bench.result.Failed++
	}
	s.bench.mu.Unlock()
	if repeated {
		return
	}
	switch {
	case s.bench.Rate > 0:
	case answer == engine.Served:
		<-s.slots
	default: // clients back off while they are declined
		time.AfterFunc(10*time.Millisecond, func() { <-s.slots })
	}
}

// requestAll requests all keys from four clients, some keys from two clients at once, and waits for the answers.
func (b *testbench) requestAll(l *serve.LocalListener) {
	const clients = 4
	var recorders [clients]*clientRecorder
	var conns [clients]*serve.LocalClient
	for i := range recorders {
		recorders[i] = &clientRecorder{
			bench: b, sentAt: map[uint64]time.Time{}, answers: map[uint64]engine.AnswerKind{},
			slots: make(chan struct{}, max(1, b.Concurrency/clients)),
		}
		conns[i] = l.Connect(recorders[i])
	}
	send := func(i int, ref uint64, key uint64, job int) {
		s := recorders[i]
		s.mu.Lock()
		s.sentAt[ref] = time.Now()
		s.mu.Unlock()
		service, token := serve.Hash("service", strconv.FormatUint(key%997, 10)), serve.Hash("key", strconv.FormatUint(key, 10))
		conns[i].Allocate(serve.LocalRequest{Ref: ref, JobClass: job, Service: service, Token: token, Cores: 1, Memory: 2, Within: 4000})
	}
	var work sync.WaitGroup
	began := time.Now()
	for i := range clients {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(b.Seed, uint64(i)))
			for n := i; n < b.Requests; n += clients {
				key, job := uint64(n), [...]int{0, 1, 2, 2}[rng.IntN(4)]
				b.jobs[n] = byte(job)
				if b.Rate > 0 {
					time.Sleep(time.Until(began.Add(time.Duration(float64(n) / b.Rate * 1e9))))
				} else {
					recorders[i].slots <- struct{}{}
				}
				var both sync.WaitGroup
				if other := (i + 1) % clients; rng.Float64() < b.DuplicateFraction {
					select { // The second request is sent at the same moment or not at all: later, it would be another allocation.
					case recorders[other].slots <- struct{}{}:
						both.Go(func() { send(other, uint64(n)+duplicateRefs, key, job) })
					default:
					}
				}
				send(i, uint64(n)+1, key, job)
				both.Wait()
			}
		})
	}
	work.Wait()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		left := 0
		for _, s := range recorders {
			s.mu.Lock()
			left += len(s.sentAt)
			s.mu.Unlock()
		}
		if left == 0 {
			break
		}
	}
	for _, s := range recorders {
		s.mu.Lock()
		b.result.Unanswered += len(s.sentAt)
		b.result.Requests += len(s.sentAt) + len(s.answers)
		s.mu.Unlock()
	}
}
