// Package procs is the rig of processes: many schedulers of one site on loopback, each a process of its own, with stand-ins
// for nodes, list and owners in this one. What schedulers say to each other passes relays that drop and cut by a script
// with a seed; processes are killed, stopped and started again. The auditor watches all that reaches the stand-ins.
package procs

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/outside"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Plan says what is to be started.
type Plan struct {
	Command    []string // that runs the program
	Schedulers int
	Nodes      int
	Rate       float64 // asks a second, of all owners together; 0: none
	Seed       uint64
	Dir        string
	Apart      bool // schedulers do not know each other
	Zones      int  // 0: two; in regions of two
	Cores      int  // of a node, 0: 64
	Near       bool // the site file says how far zones are from each other
	Stewards   int  // of the book that they agree on, the first of all; 0: there is none
	Relays     bool // connections to nodes, list and owners pass relays too
}

// Rig is the whole.
type Rig struct {
	Plan
	ctx   context.Context
	real  *outside.Real
	w     *standin.Testbed
	place *site.Config
	rules audit.Rules
	nodes []*standin.Node
	list  *standin.List
	all   []*proc
	asks  sync.WaitGroup
	stop  context.CancelFunc

	relays      []*relay // to nodes, by their place
	from, until float64  // of the last script

	mu    sync.Mutex
	rng   *rand.Rand
	ways  map[wayOf][2]Way
	trace []audit.Record
	held  []audit.Record // words of the list that lie on a way that is cut
	lanes map[[2]int]Lane
	kills []kill
	cpu   time.Duration // of schedulers that have ended
}

// Begin starts all and waits until owners may connect everywhere.
func Begin(ctx context.Context, p Plan) (r *Rig, err error) {
	ctx, stop := context.WithCancel(ctx)
	real := outside.NewReal()
	r = &Rig{
		Plan: p, ctx: ctx, stop: stop, real: real, w: standin.NewTestbed(real), rng: rand.New(rand.NewPCG(p.Seed, 0x916)), lanes: map[[2]int]Lane{},
		ways: map[wayOf][2]Way{},
	}
	r.w.Trace.OnRecord = r.record
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for i := range p.Schedulers {
		if err := r.door(i); err != nil {
			return r, err
		}
	}
	for i, x := range r.all {
		r.asks.Go(func() { r.carry(i, x) })
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "key"), []byte("the rig's member key, of some length\n"), 0o600); err != nil {
		return r, err
	}
	if err := r.fleet(); err != nil {
		return r, err
	}
	places := make(chan bool, 16)
	errs := make(chan error, p.Schedulers)
	for i := range r.all {
		go func() {
			places <- true
			errs <- r.Start(i)
			<-places
		}()
	}
	for range r.all {
		if e := <-errs; e != nil {
			err = e
		}
	}
	if err != nil {
		return r, err
	}
	for i, x := range r.all {
		x.owner = &standin.Client{ID: i, Scheduler: x.name, SettleTime: r.place.SettleTime, SchedulerAddress: func() string {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.cmd == nil {
				return ""
			} else if x.toOwner != nil {
				return x.toOwner.address()
			}
			return x.address
		}}
		r.w.StartClient(x.owner, p.Seed*7919+uint64(i))
	}
	if p.Rate > 0 {
		r.asks.Go(r.load)
	}
	return r, nil
}
