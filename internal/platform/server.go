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
	env      env.Environment
	log      zerolog.Logger
	loop     env.Loop
	listener env.Listener
	limits   budget.Limits
	settings *settings.Deployment

	jobClassIndex, tenantIndex, zoneIndex, kindIndex map[string]int
	epochUnixMs                                      float64 // Unix ms of the world's zero

	mu                   sync.Mutex
	host                 *host.Host
	admission            *admission.Limiter
	overloadGate         admission.Gate
	lagMonitor           overload.Monitor
	nextTurn             float64             // when the loop's next turn is due
	inbox                []*request          // taken, and not yet the host's
	inboxSince           float64             // since when requests are taken out of it one after the other, 0: it was empty
	requestsByAlloc      map[uint32]*request // by the host's number
	requestsByTask       map[uint64]*request // by the client's
	nodesByName          map[string]*node
	nodes                map[uint32]*node
	clients              map[*client]bool
	clientsAccepted      uint64 // client connections ever
	nodeConns            int    // connections to nodes, made or being made
	endpoints            endpointWatch
	probes               map[uint64]*nodeConn
	pendingNotifications []notification // to clients of whom none is connected
	reportBuffer         []float64
	stats                stats
	diagnostics          besteffort.Guard // round what is only said to people
	provisionalClients   int              // client connections that are not let in
	stopping             bool
	stopRequestedAt      float64
	shutdownPlan         shutdown.Plan
	done                 chan struct{}
	ended                bool
	answeredAll          bool
	clientsDisconnected  bool
	lastTick             float64
	lastStats            float64
}

// request is what a client asked for, until its final answer, and its running task after that.
type request struct {
	allocID            uint32
	task               uint64
	tenant             int
	client             *client   // on whose connection it came; nil once that is gone
	node               *node     // where it was offered last
	conn               *nodeConn // on which that offer is open
	attempt            uint8
	sentThrough        uint64 // bytes sent on that connection, this offer included; once the task runs, on its client's, the answer included
	offerBytes         int    // of the offer
	attemptDeadline    float64
	deadline           float64
	jobClass           int
	service            uint64
	cores, memory      float64
	jobClassName, name []byte
	key, description   []byte
	answered           bool
	running            bool
}

// New makes a scheduler from its configuration. Nothing is connected yet.
func New(environment env.Environment, log zerolog.Logger, configuration *Configuration) *Server {
	s := &Server{
		env: environment, log: log, settings: configuration.Deployment, limits: budget.Divide(configuration.Sockets, configuration.MemoryMB), requestsByAlloc: map[uint32]*request{},
		requestsByTask: map[uint64]*request{}, nodesByName: map[string]*node{}, nodes: map[uint32]*node{}, clients: map[*client]bool{},
		probes: map[uint64]*nodeConn{}, done: make(chan struct{}), epochUnixMs: float64(env.Epoch.UnixMilli()),
	}
	s.jobClassIndex, s.tenantIndex = indexByName(configuration.Deployment.JobClasses), indexByName(configuration.Deployment.Tenants)
	s.zoneIndex, s.kindIndex = indexByName(configuration.Deployment.Zones), indexByName(configuration.Deployment.Kinds)
	s.diagnostics.Report = func(what, why string) {
		log.Error().Str("mode", "words").Str("what", what).Str("why", why).Msg("switched off")
	}
	shares := configuration.Deployment.Quotas
	if len(shares) == 0 {
		shares = []float64{1}
	}
	s.admission = admission.NewLimiter(min(s.limits.Open, configuration.Deployment.MaxOpen), shares)
	minObjective := math.Inf(1)
	for _, j := range configuration.Deployment.Cluster.JobClasses {
		minObjective = min(minObjective, j.LatencyObjective)
	}
	s.overloadGate = admission.NewGate(minObjective)
	return s
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// Start opens the door, and from then on the scheduler runs until Stop has had its effect.
func (s *Server) Start(configuration *Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	s.host = host.New(hostEffects{s}, now, configuration.Seed, configuration.Deployment.Cluster)
	s.host.SetConnectTimeout(configuration.Deployment.ConnectTimeout)
	if err := s.loadInitialEndpoints(now, configuration); err != nil {
		return err
	}
	listener, err := s.env.Listen(configuration.Listen, s.acceptClient)
	if err != nil {
		return fmt.Errorf("client listener: %w", err)
	}
	s.listener = listener
	s.nextTurn = s.env.Now()
	s.loop = s.env.StartLoop(s.turn)
	s.log.Info().Str("mode", "start").Str("owners", listener.Address()).Int("nodes", len(s.nodes)).
		Int("owner_conns", s.limits.ClientConns).Int("node_conns", s.limits.NodeConns).Int("open_most", s.limits.Open).Msg("open")
	return nil
}

// Done is closed when the scheduler has ended as it was told to.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop begins a planned shutdown: requests are accepted for a short while, all accepted ones are answered, running tasks go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping, s.stopRequestedAt = true, s.env.Now()
		s.shutdownPlan = shutdown.NewPlan(s.stopRequestedAt, slices.Max(s.settings.Deadlines))
		s.log.Info().Str("mode", "stop").Int("open", s.host.OpenRequests()).Int("stands", s.host.RunningTasks()).Msg("told to end")
	}
	s.wake()
}

// Times in milliseconds.
const (
	tickInterval  = 100
	statsInterval = 5000
)

// turn is the scheduler's loop: what is due in the host, and a look at connections.
func (s *Server) turn() (wait float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	due := s.nextTurn
	s.nextTurn = math.Inf(1)
	s.host.SetTimeoutGrace(s.lagMonitor.TimeoutGrace(now))
	started := 0
	if now >= s.host.EarliestRound() { // else no round comes of it
		started = s.startRequests(now, overload.BatchSize(s.overloadGate.CostPerRequest()))
	}
	s.host.Round(now)
	if now >= s.lastTick+tickInterval {
		s.lastTick = now
		s.tick(now)
	}
	if s.stopping {
		s.shutdown(now)
	}
	next := min(s.host.NextRound(), s.lastTick+tickInterval)
	if len(s.inbox) > 0 {
		next = min(next, s.host.EarliestRound())
	}
	ended := s.env.Now()
	s.recordTurn(due, now, ended, started)
	wait = max(0.2, next-ended)
	s.nextTurn = min(s.nextTurn, ended+wait)
	return wait
}

// wake has the loop take a turn.
func (s *Server) wake() {
	s.nextTurn = min(s.nextTurn, s.env.Now())
	s.loop.Wake()
}

// startRequests hands requests of the inbox to the host. News of what is under way came first: it was taken when it was read.
func (s *Server) startRequests(now float64, limit int) (started int) {
	n := 0
	for ; n < len(s.inbox) && started < limit; n++ {
		r := s.inbox[n]
		s.inbox[n] = nil
		if r.answered {
			continue
		}
		started++
		r.allocID = s.host.Allocate(now, r.jobClass, r.tenant, r.deadline, r.service, r.cores, r.memory)
		s.requestsByAlloc[r.allocID] = r
	}
	if s.inbox = s.inbox[n:]; len(s.inbox) == 0 {
		s.inbox = nil // a burst's memory is given back
	}
	return started
}

// recordTurn measures a turn: how far behind it shows the process to be, and what requests cost.
func (s *Server) recordTurn(dueAt, startedAt, endedAt float64, started int) {
	tight := s.overloadGate.IsOverloaded()
	s.lagMonitor.OnTurn(dueAt, startedAt, endedAt)
	behind := s.lagMonitor.Delay(endedAt)
	s.stats.maxLag = max(s.stats.maxLag, behind)
	if started > 0 {
		since := startedAt
		if s.inboxSince > 0 {
			since = s.inboxSince
		}
		s.overloadGate.OnRound(endedAt-since, started)
	}
	s.inboxSince = 0
	if len(s.inbox) > 0 {
		s.inboxSince = endedAt
	}
	if !tight && s.overloadGate.IsOverloaded() {
		s.log.Info().Str("mode", "behind").Float64("ms", math.Round(behind)).Int("inbox", len(s.inbox)).Int("open", s.host.OpenRequests()).
			Float64("ask_ms", math.Round(s.overloadGate.CostPerRequest()*100)/100).Msg("takes only what it can do in time")
	}
}

func (s *Server) tick(now float64) {
	s.endpointTick(now)
	for _, p := range s.sortedNodes() {
		s.nodeTick(now, p)
	}
	s.clientsTick(now)
	if now-s.lastStats > statsInterval {
		s.lastStats = now
		s.diagnostics.Do("counts", s.logStats)
	}
}

// sortedNodes is all nodes in an order of their own: the same news have the same effects.
func (s *Server) sortedNodes() []*node {
	return slices.SortedFunc(maps.Values(s.nodes), func(x, y *node) int { return cmp.Compare(x.id, y.id) })
}

// nodeID is the module's number of a node, the same at all schedulers: they take turns at a cold node by it.
func (s *Server) nodeID(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	n := f.Sum32()
	for p := s.nodes[n]; p != nil && p.name != name; p = s.nodes[n] {
		n++
	}
	return n
}
