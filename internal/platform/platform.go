// Package platform is the program's way in and out on the platform: its door for clients, its connections to nodes, the
// journal service that tells the node list, the configuration. It decides nothing of placement; what becomes of an
// allocation is the host's to say. All of it is guarded by one lock, under which nothing waits.
package platform

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/overload"
	"ravenpond/internal/decide/shutdown"
	"ravenpond/internal/env"
	"ravenpond/internal/platform/host"
	"ravenpond/internal/settings"
)

// Server is one scheduler on the platform.
type Server struct {
	world env.Environment
	log   zerolog.Logger
	loop  env.Loop
	door  env.Listener
	parts budget.Limits
	known *settings.Deployment

	jobs, tenants, zones, kinds map[string]int
	epoch                       float64 // Unix ms of the world's zero

	mu          sync.Mutex
	host        *host.Host
	admit       *admission.Limiter
	gate        admission.Gate
	lag         overload.Monitor
	wanted      float64             // when the loop's next turn is due
	inbox       []*request          // taken, and not yet the host's
	inboxAt     float64             // since when requests are taken out of it one after the other, 0: it was empty
	requests    map[uint32]*request // by the host's number
	tasks       map[uint64]*request // by the client's
	names       map[string]*peer
	peers       map[uint32]*peer
	clients     map[*client]bool
	accepted    uint64 // client connections ever
	links       int    // connections to nodes, made or being made
	feed        feed
	probes      map[uint64]*link
	pending     []notification // to clients of whom none is connected
	report      []float64
	counts      counts
	words       besteffort.Guard // round what is only said to people
	provisional int              // client connections that are not let in
	stopped     bool
	told        float64
	plan        shutdown.Plan
	done        chan struct{}
	ended       bool
	answeredAll bool
	parted      bool
	ticked      float64
	looked      float64
}

// request is what a client asked for, until its final answer, and its running task after that.
type request struct {
	alloc            uint32
	task             uint64
	tenant           int
	client           *client // on whose connection it came; nil once that is gone
	peer             *peer   // where it was offered last
	link             *link   // on which that offer is open
	attempt          uint8
	sent             uint64 // bytes sent on that connection, this offer included; once the task runs, on its client's, the answer included
	bytes            int    // of the offer
	until            float64
	expiry           float64
	jobIs            int
	service          uint64
	cores, memory    float64
	jobType, name    []byte
	key, description []byte
	answered         bool
	running          bool
}

// New makes a scheduler from its configuration. Nothing is connected yet.
func New(world env.Environment, log zerolog.Logger, c *Configuration) *Server {
	s := &Server{
		world: world, log: log, known: c.Known, parts: budget.Divide(c.Sockets, c.MemoryMB), requests: map[uint32]*request{},
		tasks: map[uint64]*request{}, names: map[string]*peer{}, peers: map[uint32]*peer{}, clients: map[*client]bool{},
		probes: map[uint64]*link{}, done: make(chan struct{}), epoch: float64(env.Epoch.UnixMilli()),
	}
	s.jobs, s.tenants = places(c.Known.JobTypes), places(c.Known.Tenants)
	s.zones, s.kinds = places(c.Known.Zones), places(c.Known.Kinds)
	s.words.Tell = func(what, why string) {
		log.Error().Str("mode", "words").Str("what", what).Str("why", why).Msg("switched off")
	}
	shares := c.Known.Shares
	if len(shares) == 0 {
		shares = []float64{1}
	}
	s.admit = admission.New(min(s.parts.Open, c.Known.OpenMost), shares)
	soonest := math.Inf(1)
	for _, j := range c.Known.Cluster.JobClasses {
		soonest = min(soonest, j.LatencyObjective)
	}
	s.gate = admission.NewGate(soonest)
	return s
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// Start opens the door, and from then on the scheduler runs until Stop has had its effect.
func (s *Server) Start(c *Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	s.host = host.New(edge{s}, now, c.Seed, c.Known.Cluster)
	s.host.SetConnectTimeout(c.Known.ConnectFor)
	if err := s.begin(now, c); err != nil {
		return err
	}
	door, err := s.world.Listen(c.Listen, s.accept)
	if err != nil {
		return fmt.Errorf("client listener: %w", err)
	}
	s.door = door
	s.wanted = s.world.Now()
	s.loop = s.world.StartLoop(s.turn)
	s.log.Info().Str("mode", "start").Str("owners", door.Address()).Int("nodes", len(s.peers)).
		Int("owner_conns", s.parts.ClientConns).Int("node_conns", s.parts.NodeConns).Int("open_most", s.parts.Open).Msg("open")
	return nil
}

// Done is closed when the scheduler has ended as it was told to.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop begins a planned shutdown: requests are accepted for a short while, all accepted ones are answered, running tasks go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped, s.told = true, s.world.Now()
		s.plan = shutdown.NewPlan(s.told, slices.Max(s.known.Expiry))
		s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).Msg("told to end")
	}
	s.wake()
}

// Times in milliseconds.
const (
	tickEvery = 100
	logEvery  = 5000
)

// turn is the scheduler's loop: what is due in the host, and a look at connections.
func (s *Server) turn() (wait float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	due := s.wanted
	s.wanted = math.Inf(1)
	s.host.SetTimeoutGrace(s.lag.TimeoutGrace(now))
	took := 0
	if now >= s.host.EarliestRound() { // else no round comes of it
		took = s.takeIn(now, overload.BatchSize(s.gate.CostPerRequest()))
	}
	s.host.Round(now)
	if now >= s.ticked+tickEvery {
		s.ticked = now
		s.tick(now)
	}
	if s.stopped {
		s.shutdown(now)
	}
	next := min(s.host.NextRound(), s.ticked+tickEvery)
	if len(s.inbox) > 0 {
		next = min(next, s.host.EarliestRound())
	}
	ended := s.world.Now()
	s.worked(due, now, ended, took)
	wait = max(0.2, next-ended)
	s.wanted = min(s.wanted, ended+wait)
	return wait
}

// wake has the loop take a turn.
func (s *Server) wake() {
	s.wanted = min(s.wanted, s.world.Now())
	s.loop.Wake()
}

// takeIn hands requests of the inbox to the host. News of what is under way came first: it was taken when it was read.
func (s *Server) takeIn(now float64, most int) (took int) {
	n := 0
	for ; n < len(s.inbox) && took < most; n++ {
		a := s.inbox[n]
		s.inbox[n] = nil
		if a.answered {
			continue
		}
		took++
		a.alloc = s.host.Allocate(now, a.jobIs, a.tenant, a.expiry, a.service, a.cores, a.memory)
		s.requests[a.alloc] = a
	}
	if s.inbox = s.inbox[n:]; len(s.inbox) == 0 {
		s.inbox = nil // a burst's memory is given back
	}
	return took
}

// worked measures a turn: how far behind it shows the process to be, and what requests cost.
func (s *Server) worked(due, began, ended float64, took int) {
	tight := s.gate.IsOverloaded()
	s.lag.OnTurn(due, began, ended)
	behind := s.lag.Delay(ended)
	s.counts.lag = max(s.counts.lag, behind)
	if took > 0 {
		since := began
		if s.inboxAt > 0 {
			since = s.inboxAt
		}
		s.gate.OnRound(ended-since, took)
	}
	s.inboxAt = 0
	if len(s.inbox) > 0 {
		s.inboxAt = ended
	}
	if !tight && s.gate.IsOverloaded() {
		s.log.Info().Str("mode", "behind").Float64("ms", math.Round(behind)).Int("inbox", len(s.inbox)).Int("open", s.host.OpenRequests()).
			Float64("ask_ms", math.Round(s.gate.CostPerRequest()*100)/100).Msg("takes only what it can do in time")
	}
}

func (s *Server) tick(now float64) {
	s.feedTick(now)
	for _, p := range s.each() {
		s.peerTick(now, p)
	}
	s.clientsTick(now)
	if now-s.looked > logEvery {
		s.looked = now
		s.words.Do("counts", s.count)
	}
}

// each is all nodes in an order of their own: the same news have the same effects.
func (s *Server) each() []*peer {
	return slices.SortedFunc(maps.Values(s.peers), func(x, y *peer) int { return cmp.Compare(x.id, y.id) })
}

// number is the module's number of a node, the same at all schedulers: they take turns at a cold node by it.
func (s *Server) number(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	n := f.Sum32()
	for p := s.peers[n]; p != nil && p.name != name; p = s.peers[n] {
		n++
	}
	return n
}
