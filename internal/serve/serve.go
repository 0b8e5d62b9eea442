// Package serve puts a scheduler on sockets: it owns listeners, connections, clocks and the state folder, and is
// the only place where sockets meet the engine.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/engine"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Scheduler says which scheduler is to be run, and where.
type Scheduler struct {
	Place  *site.Place
	Name   string // by which nodes know it, the same at each start
	Index  int    // among all schedulers, from 0
	Folder string
	Seed   uint64
	Log    zerolog.Logger
	Ready  func(owners net.Addr) // called once when owners may connect

	plant plant
}

// plant puts faults into a scheduler for tests of what must find them; the zero value puts none.
type plant struct {
	edge func(engine.Edge) engine.Edge
	news func(*state.Entry)
}

// Epoch is the zero of every scheduler's clock: all share it, as turns at cold nodes are told by it.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// saveEvery is how often a changed list is put on the disk; what is lost in between is asked for again.
const saveEvery = time.Second

// clock tells ms since Epoch: by the wall at the start, from then on by the monotonic clock alone, so that a
// machine's clock that jumps moves no deadline.
type clock struct {
	start time.Time
	base  float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.Sub(Epoch)) / 1e6}
}

func (c clock) now() float64 { return c.base + float64(time.Since(c.start))/1e6 }

// server is one running scheduler.
type server struct {
	who    Scheduler
	log    zerolog.Logger
	clock  clock
	life   uint32
	folder *state.Folder
	work   sync.WaitGroup
	kick   chan struct{} // there is news for the engine
	calls  chan call     // to the node list

	mu       sync.Mutex // holds the engine and what its effects touch
	eng      *engine.Engine
	links    map[uint32]*link
	owners   map[uint32]*owner
	ownerIDs uint32
	list     *state.List
	cells    map[string]int
	ctx      context.Context
}

// Run runs a scheduler until the context ends. All that was open is answered then.
func Run(ctx context.Context, who Scheduler) (err error) {
	folder, err := state.Open(who.Folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	life, err := folder.NextLife()
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	last, err := folder.LoadList()
	if errors.Is(err, state.ErrDamaged) {
		who.Log.Warn().Str("mode", "list").Err(err).Msg("last list not read, beginning with none")
		last, err = nil, nil
	}
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if last == nil {
		last = state.NewList()
	}
	var lc net.ListenConfig
	door, err := lc.Listen(ctx, "tcp", who.Place.OwnersListen)
	if err != nil {
		return fmt.Errorf("owners' door: %w", err)
	}
	defer door.Close()
	s := &server{who: who, log: who.Log, clock: newClock(), life: life, folder: folder, list: last,
		kick: make(chan struct{}, 1), calls: make(chan call, 8), links: map[uint32]*link{},
		owners: map[uint32]*owner{}, cells: map[string]int{}}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx)) // ends after the last answers
	defer stop()
	s.ctx = inner
	cl := who.Place.Cluster
	cl.Index = who.Index
	var out engine.Edge = edge{s}
	if who.plant.edge != nil {
		out = who.plant.edge(out)
	}
	s.eng = engine.New(out, s.clock.now(), engine.Terms{Cluster: &cl, Shares: who.Place.Shares,
		Open: who.Place.Open, Margin: who.Place.Margin, Settle: who.Place.Settle, Life: life, Seed: who.Seed,
		Clock: float64(Epoch.UnixMilli())})
	s.lastList()
	s.log.Info().Str("mode", "serve").Uint32("life", life).Int("nodes", len(last.Entries())).
		Str("owners", door.Addr().String()).Msg("scheduler begins")
	s.goes(func() { s.listLoop(inner) })
	s.goes(func() { s.accept(inner, door) })
	s.goes(func() { s.saves(inner) })
	if who.Ready != nil {
		who.Ready(door.Addr())
	}
	s.loop(ctx)
	door.Close()
	s.mu.Lock()
	s.eng.Close(s.clock.now())
	st := s.eng.Stats()
	s.mu.Unlock()
	s.drainOwners()
	stop()
	s.closeAll()
	s.work.Wait()
	s.log.Info().Str("mode", "serve").Uint64("served", st.Served).Uint64("declined", st.Declined).
		Uint64("failed", st.Failed).Uint64("not_taken", st.Refused).Uint64("offers", st.Offers).Msg("scheduler ends")
	return s.save()
}

// goes runs a goroutine that ends with the server.
func (s *server) goes(f func()) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		f()
	}()
}

// loop gives the engine its rounds: when there is news or something is due, at most once a step.
func (s *server) loop(ctx context.Context) {
	step := s.who.Place.Cluster.Step
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
		}
		if wait := last + step - s.clock.now(); wait > 0 {
			time.Sleep(time.Duration(wait * 1e6))
		}
		s.mu.Lock()
		last = s.clock.now()
		s.eng.Round(last)
		next := s.eng.Next()
		s.mu.Unlock()
		timer.Reset(time.Duration(min(1000, max(0, next-last)) * 1e6))
	}
}

// tell runs an event against the engine and sees to a round after it.
func (s *server) tell(event func(now float64) error) error {
	s.mu.Lock()
	err := event(s.clock.now())
	s.mu.Unlock()
	s.rouse()
	return err
}

func (s *server) rouse() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *server) saves(ctx context.Context) {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := s.save(); err != nil {
				s.log.Error().Str("mode", "state").Err(err).Msg("list not saved")
			}
		}
	}
}

func (s *server) save() error {
	s.mu.Lock()
	var text []byte
	if s.list.Changed() {
		text = s.list.Text()
	}
	s.mu.Unlock()
	if text == nil {
		return nil
	}
	return s.folder.SaveList(text)
}

// edge carries out the engine's effects; all its methods run under the server's lock and only fill queues.
type edge struct{ s *server }

func (d edge) Dial(nd uint32, address string) { d.s.goes(func() { d.s.dial(nd, address) }) }

func (d edge) Hang(nd uint32, why string) {
	if l := d.s.links[nd]; l != nil {
		l.end(why)
	}
}

func (d edge) Follow(active bool) {
	if active {
		d.s.call(watchCall)
	} else {
		d.s.call(unwatchCall)
	}
}

func (d edge) Reload() { d.s.call(wholeCall) }

func (d edge) Mode(line string) { d.s.log.Info().Str("mode", "engine").Msg(line) }

func (d edge) Answer(owner uint32, ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	d.s.log.Debug().Uint32("owner", owner).Uint64("ref", ref).Stringer("answer", answer).Uint32("node", nd).Msg(why)
	if o := d.s.owners[owner]; o != nil {
		o.answer(ref, answer, nd, why, holdOff)
	}
}

func (d edge) Over(owner uint32, ref uint64, verdict logic.Verdict, why logic.Reason) {
	if o := d.s.owners[owner]; o != nil {
		o.over(ref, verdict, why)
	}
}
