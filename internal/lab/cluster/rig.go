// Package cluster is the rig of processes: many schedulers of one site on loopback, each a process of its own, with stand-ins
// for nodes, list and owners in this one. What schedulers say to each other passes relays that drop and cut by a script
// with a seed; processes are killed, stopped and started again. The auditor watches all that reaches the stand-ins.
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

// Config says what is to be started.
type Config struct {
	Command    []string // that runs the program
	Schedulers int
	Nodes      int
	Rate       float64 // asks a second, of all owners together; 0: none
	Seed       uint64
	Dir        string
	Isolated   bool // schedulers do not know each other
	Zones      int  // 0: two; in regions of two
	Cores      int  // of a node, 0: 64
	Localities bool // the site file says how far zones are from each other
	Voters     int  // of the book that they agree on, the first of all; 0: there is none
	Relays     bool // connections to nodes, list and owners pass relays too
}

// Rig is the whole.
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

	relays                  []*relay // to nodes, by their place
	scriptFrom, scriptUntil float64  // of the last script

	mu            sync.Mutex
	rng           *rand.Rand
	routes        map[routeKey][2]Route
	trace         []audit.Record
	delayed       []audit.Record // words of the list that lie on a way that is cut
	datagramLinks map[[2]int]DatagramLink
	kills         []killRecord
	usedCPU       time.Duration // of schedulers that have ended
}

// Start starts all and waits until owners may connect everywhere.
func Start(ctx context.Context, p Config) (r *Rig, err error) {
	ctx, stop := context.WithCancel(ctx)
	real := env.NewReal()
	r = &Rig{
		Config: p, ctx: ctx, stop: stop, env: real, testbed: standin.NewTestbed(real), rng: rand.New(rand.NewPCG(p.Seed, 0x916)), datagramLinks: map[[2]int]DatagramLink{},
		routes: map[routeKey][2]Route{},
	}
	r.testbed.Trace.OnRecord = r.record
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for i := range p.Schedulers {
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
		r.testbed.StartClient(x.client, p.Seed*clientSeedFactor+uint64(i))
	}
	if p.Rate > 0 {
		r.background.Go(r.generateLoad)
	}
	return r, nil
}

const (
	concurrentStarts = 16 // of schedulers
	clientSeedFactor = 7919
)

// startSchedulers starts all schedulers, some at a time, and returns an error of those that did not start.
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

// clientAddress is where the scheduler's client connects, empty while the scheduler does not run.
func (x *process) clientAddress() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.command == nil:
		return ""
	case x.clientRelay != nil:
		return x.clientRelay.address()
	}
	return x.address
}
