// Package cluster is a test rig of processes: many schedulers of one site on loopback, each in its own process, with stand-ins for nodes,
// node list and clients in this one. Messages between schedulers pass relays that drop, delay and cut by a script and a seed; processes are
// killed, paused and restarted. The auditor checks all that reaches the stand-ins.
package cluster

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Config is what the rig starts.
type Config struct {
	Command    []string // that runs a scheduler, without its arguments
	Schedulers int
	Nodes      int
	Rate       float64 // requests per second of all clients together, 0: none
	Seed       uint64
	Dir        string
	Isolated   bool // schedulers run without membership
	Zones      int  // 0: two; two zones make a region
	Cores      int  // of each node, 0: 64
	Localities bool // the site file gives latencies between zones: 1 ms in a region, else 10 ms
	Voters     int  // how many of the first schedulers vote on the cluster state, 0: there is no cluster state
	Relays     bool // connections to nodes, node list and clients pass relays too
}

// Rig runs the processes and stand-ins of one site.
type Rig struct {
	Config
	ctx        context.Context
	env        *env.Real
	testbed    *standin.Testbed
	site       *site.Config
	rules      audit.Rules
	nodes      []*standin.Node
	list       *standin.List
	processes  []*process
	background sync.WaitGroup
	stop       context.CancelFunc

	relays                  []*relay // to nodes, in their order
	scriptFrom, scriptUntil float64  // start and end of the last script, in ms of the testbed

	mu            sync.Mutex
	rng           *rand.Rand
	routes        map[routeKey][2]Route
	trace         []audit.Record
	delayed       []audit.Record // messages of the node list that a cut route holds
	datagramLinks map[[2]int]DatagramLink
	kills         []killRecord
	usedCPU       time.Duration // of schedulers that have ended
}

// Start starts all processes and waits until clients can connect to each scheduler.
func Start(ctx context.Context, config Config) (r *Rig, err error) {
	ctx, stop := context.WithCancel(ctx)
	real := env.NewReal()
	r = &Rig{
		Config: config, ctx: ctx, stop: stop, env: real, testbed: standin.NewTestbed(real), rng: rand.New(rand.NewPCG(config.Seed, 0x916)), datagramLinks: map[[2]int]DatagramLink{},
		routes: map[routeKey][2]Route{},
	}
	r.testbed.Trace.OnRecord = r.record
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for i := range config.Schedulers {
		if err := r.addScheduler(i); err != nil {
			return r, err
		}
	}
	for i, x := range r.processes {
		r.background.Go(func() { r.forwardDatagrams(i, x) })
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "key"), []byte("the rig's member key, of some length\n"), 0o600); err != nil {
		return r, err
	}
	if err := r.startNodes(); err != nil {
		return r, err
	}
	if err := r.startSchedulers(); err != nil {
		return r, err
	}
	for i, x := range r.processes {
		x.client = &standin.Client{ID: i, Scheduler: x.name, SettleTime: r.site.SettleTime, SchedulerAddress: x.clientAddress}
		r.testbed.StartClient(x.client, config.Seed*clientSeedFactor+uint64(i))
	}
	if config.Rate > 0 {
		r.background.Go(r.generateLoad)
	}
	return r, nil
}

const (
	concurrentStarts = 16 // of schedulers
	clientSeedFactor = 7919
)

// startSchedulers starts all schedulers, concurrentStarts at a time, and returns an error of one that did not start, if any.
func (r *Rig) startSchedulers() (err error) {
	slots := make(chan bool, concurrentStarts)
	errs := make(chan error, len(r.processes))
	for i := range r.processes {
		go func() {
			slots <- true
			errs <- r.StartScheduler(i)
			<-slots
		}()
	}
	for range r.processes {
		if e := <-errs; e != nil {
			err = e
		}
	}
	return err
}

// clientAddress is the address that the scheduler's client connects to, empty while the scheduler does not run.
func (p *process) clientAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.command == nil:
		return ""
	case p.clientRelay != nil:
		return p.clientRelay.address()
	}
	return p.address
}
