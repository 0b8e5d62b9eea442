// Package serve is a scheduler process: connections, timers, the state folder and what shards share. It is the only
// place where the outside meets the engine. All it touches outside is given to it, so that the laboratory runs the
// same code on a clock and a network of its own.
package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/control"
	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/internal/decide/workingset"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/maintenance"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/maintenancestore"
	"ravenpond/logic"
)

// Config says which scheduler is to be run, and where.
type Config struct {
	Site   *site.Config
	Name   string // by which nodes know it, the same at each start
	Index  int    // among all schedulers, from 0
	Folder string
	Seed   uint64
	Log    zerolog.Logger
	Ready  func(owners string) // called once when owners may connect

	Faults Faults
	Policy engine.PolicyFactory // instead of the module, for comparisons

	// Resize takes wanted numbers of shards while the scheduler runs.
	Resize <-chan int

	// Zone is where it runs, one of the site file's; empty: it is not told.
	Zone string
	// Disk keeps the folder if it is not nil, and Windows opens the maintenance windows, nil if there are none.
	Disk        state.Disk
	Maintenance func() (MaintenanceStore, error)
	// VoterDisk opens what a steward of the book must not forget; nil: that in the folder.
	VoterDisk func() (control.Storage, error)
	// Tenants opens the store of tenants where they come and go; nil: that in the folder.
	Tenants func() (TenantStore, error)

	// Connect connects to a node or the list, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the TLS of the owners' door, none if it is nil.
	TLS *tls.Config
	// MemberKey is the site's member key, that in the site file's place if it is nil.
	MemberKey []byte
	// FreeMemory is called, if it is set, when the visits of a start are over: much memory may be given back then.
	FreeMemory func()
	// OnLocalListener is called once, if it is set, with a way to ask without a socket.
	OnLocalListener func(*LocalListener)
}

// Faults puts faults into a scheduler, for tests and experiments that must find them; the zero value puts none.
type Faults struct {
	WrapEffects    func(engine.Effects) engine.Effects // wraps the effects of each shard's each life
	ListEntry      func(*state.Entry)                  // changes what the list tells
	PermitAnyEpoch bool                                // leave is given to any epoch
	RepeatAnswers  bool                                // owners are told each answer twice

	WrapMaintenance func(maintenance.Executor) maintenance.Executor // wraps what carries out maintenance windows

	WorkingSet   workingset.Faults
	AbandonTasks bool // nodes that leave the working set are hung up on, whatever runs there
	SkipVisits   bool // nodes outside the working set are not asked what they hold
}

// listSaveInterval is how often, in ms, a changed list is put on the disk; what is lost in between is asked for again.
const listSaveInterval = 1000

// nodesSavedPerInterval is how many nodes' entries are saved in that time where a scheduler works with some of its nodes.
const nodesSavedPerInterval = 1000

// Server is one running scheduler process.
type Server struct {
	diagnostics    besteffort.Guard // round what is only said to people
	config         Config
	env            env.Environment
	log            zerolog.Logger
	folder         *state.Folder
	listener       env.Listener
	listClient     *listClient
	stopped        atomic.Bool   // it ends: nothing new is begun
	lastShardCheck atomic.Uint64 // bits of the time of the last look at the shards

	stallDuration, stallRelevantUntil atomic.Uint64 // bits of how long it stood still last, and until when that matters

	routerMu         sync.Mutex          // held for a few look-ups at a time
	router           *shardrouter.Router // who acts for what
	shards           []*shard            // the present life of each
	incarnations     map[uint32]*shard
	underMaintenance map[uint32]bool   // nodes that are out for maintenance
	returned         []uint32          // and those that came back, of which the list is not yet told
	marksSentAt      float64           // when the list was last told
	taskCounts       map[int]taskCount // what shards hold, as last counted
	hosting          tenantHosting     // tenants, where they come and go
	membership       clusterMembership // the other schedulers, where the site file has members
	control          *control.Runner   // what they agree on, where it names stewards
	zones            *zoneRouting      // and what follows for zones
	workingSet       *workingSet       // the nodes that the shards work with; nil: all
	connections      *nodeConnections  // the connections that shards share, if they do

	metricsAddress string // where counts are shown
	closeMetrics   func()

	mu           sync.Mutex
	clients      map[uint32]*clientConn
	lastClientID uint32
	admission    *connadmission.Controller // where tenants come and go
	list         *state.NodeList
	listSavedAt  float64 // when the list was last saved
	cellIndex    map[string]int
	knownNodes   map[string]calendar.Node // every node that was ever on the list, until long after it left
	lostSince    map[string]time.Time
}

// Run runs a scheduler on sockets until the context ends. All that was open is answered then.
func Run(ctx context.Context, config Config) error {
	env := env.NewReal()
	env.Connect, env.TLS, env.EndpointListAddress = config.Connect, config.TLS, config.Site.ListAddress
	defer env.Close(2 * time.Second)
	if config.FreeMemory == nil {
		config.FreeMemory = debug.FreeOSMemory
	}
	s, err := Start(env, config)
	if err != nil {
		return err
	}
	for {
		select {
		case n := <-config.Resize:
			if err := s.Resize(n); err != nil {
				s.log.Error().Str("mode", "shards").Int("wanted", n).Err(err).Msg("number not changed")
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	ended := make(chan error, 1)
	s.Shutdown(func(err error) { ended <- err })
	return <-ended
}

// Start starts a scheduler in a world.
func Start(env env.Environment, config Config) (s *Server, err error) {
	var folder *state.Folder
	if config.Disk != nil {
		folder = state.NewFolder(config.Disk)
	} else if folder, err = state.Open(config.Folder); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, folder.Close())
		}
	}()
	if config.Maintenance == nil {
		config.Maintenance = func() (MaintenanceStore, error) {
			if !maintenancestore.Exists(config.Folder) {
				return nil, nil
			}
			return maintenancestore.Open(config.Folder)
		}
	}
	cached, err := folder.LoadList()
	if errors.Is(err, state.ErrDamaged) {
		config.Log.Warn().Str("mode", "list").Err(err).Msg("last list not read, beginning with none")
		cached, err = nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if cached == nil {
		cached = state.NewNodeList()
	}
	siteConfig := config.Site
	report := func(diagnostic, reason string) {
		config.Log.Error().Str("mode", "words").Str("what", diagnostic).Str("why", reason).Msg("switched off")
	}
	s = &Server{
		diagnostics: besteffort.Guard{Report: report}, config: config, env: env, log: config.Log, folder: folder, list: cached, clients: map[uint32]*clientConn{}, cellIndex: map[string]int{},
		incarnations: map[uint32]*shard{}, underMaintenance: map[uint32]bool{}, taskCounts: map[int]taskCount{}, knownNodes: map[string]calendar.Node{}, lostSince: map[string]time.Time{},
	}
	s.listClient = newListClient(s)
	s.recordNodes(cached.Entries())
	s.router = shardrouter.New(env.Now(), shardrouter.Config{
		JobClasses: siteConfig.Cluster.JobClasses, Placement: shardplacement.Policy(siteConfig.ShardBy), Shards: siteConfig.Shards,
		MaxShards: siteConfig.MaxShards, MaxOpen: siteConfig.MaxOpen, AnswerMargin: siteConfig.AnswerMargin, RoundInterval: siteConfig.Cluster.MinRoundInterval, FaultAnyEpoch: config.Faults.PermitAnyEpoch, MultiTenant: siteConfig.MaxHostedTenants > 0,
	})
	var conns *nodeConnections
	for i := range siteConfig.Shards {
		sh, err := s.newShard(i)
		if err != nil {
			return nil, err
		}
		if i == 0 || siteConfig.Connections == site.OwnConnections {
			conns = newNodeConnections(s, i)
		}
		sh.connections, s.connections = conns, conns
		sh.connections.attach(sh)
		s.shards = append(s.shards, sh)
		s.incarnations[sh.incarnation] = sh
		s.router.OnShardStarted(i, sh.incarnation)
	}
	if err := bolt.RetryWhileLocked(context.Background(), storeOpenAttempts, s.loadOpenWindows); err != nil {
		return nil, fmt.Errorf("drains: %w", err)
	}
	if s.workingSet = newWorkingSet(s); s.workingSet != nil {
		s.workingSet.onList(logic.ListCached, s.resolveEntries(cached.Entries()))
	}
	for _, sh := range s.shards {
		s.sendCachedList(sh)
	}
	if err := s.startTenants(); err != nil {
		return nil, err
	}
	if err := s.startControl(); err != nil {
		return nil, err
	}
	if s.listener, err = env.Listen(siteConfig.ClientsListen, s.acceptClient); err != nil {
		return nil, fmt.Errorf("owners' door: %w", err)
	}
	s.log.Info().Str("mode", "serve").Uint32("life", s.router.Epoch()).Int("nodes", len(cached.Entries())).
		Int("shards", siteConfig.Shards).Str("owners", s.listener.Address()).Msg("scheduler begins")
	for _, sh := range s.shards {
		sh.start()
	}
	s.listClient.start()
	if s.workingSet != nil {
		s.workingSet.start()
	}
	s.every(listSaveInterval, func() {
		if s.saveDeferred() {
			return
		}
		if err := s.saveList(); err != nil {
			s.log.Error().Str("mode", "state").Err(err).Msg("list not saved")
		}
	})
	s.startMaintenance()
	if s.hostsTenants() {
		s.every(pumpInterval, s.pump)
	}
	s.startHandovers()
	s.lastShardCheck.Store(math.Float64bits(env.Now()))
	s.every(s.shardCheckInterval(), s.checkShards)
	if s.metricsAddress, s.closeMetrics, err = s.serveMetrics(config.Site.StatsListen); err != nil {
		return nil, err
	}
	if config.Ready != nil {
		config.Ready(s.listener.Address())
	}
	if config.OnLocalListener != nil {
		config.OnLocalListener(&LocalListener{s})
	}
	return s, nil
}

// shardCheckInterval is how often, in ms, the shards are looked at.
func (s *Server) shardCheckInterval() float64 {
	return min(watchdog.CheckInterval(), s.config.Site.AnswerMargin/4)
}

// recentStall is how long the process has stood still just now: a look at the shards is overdue, or the last was.
func (s *Server) recentStall() float64 {
	now := s.env.Now()
	gap := now - math.Float64frombits(s.lastShardCheck.Load())
	if now < math.Float64frombits(s.stallRelevantUntil.Load()) {
		gap = max(gap, math.Float64frombits(s.stallDuration.Load()))
	}
	if gap < 2*s.shardCheckInterval() {
		return 0
	}
	return gap
}

// recordCheck notes that the process runs, and a stand-still before: what lay unread meanwhile is read within a moment.
func (s *Server) recordCheck(now float64) {
	if gap := now - math.Float64frombits(s.lastShardCheck.Swap(math.Float64bits(now))); gap > 2*s.shardCheckInterval() {
		s.stallDuration.Store(math.Float64bits(gap))
		s.stallRelevantUntil.Store(math.Float64bits(now + unreadAfterStall))
	}
}

// unreadAfterStall is how long after a stand-still, in ms, something may still be read that came during it.
const unreadAfterStall = 1000

// every calls f every so many ms until the end.
func (s *Server) every(ms float64, f func()) {
	env.Every(s.env, ms, func() bool {
		if s.stopped.Load() {
			return false
		}
		f()
		return true
	})
}

// async calls f by a call of its own, as whoever wants it may hold what it needs.
func (s *Server) async(f func()) { s.env.After(0, f) }

// Times of an end, in ms.
const (
	shardCloseTimeout    = 1000 // for a shard's last answers; one that stands still is not waited for longer
	clientFlushTimeout   = 500  // for answers to leave
	shutdownPollInterval = 5
)

// Shutdown answers all that is open and ends the scheduler; then is called when that is done.
func (s *Server) Shutdown(done func(error)) {
	s.listener.Close()
	s.closeMetrics()
	if s.control != nil {
		s.control.Stop()
	}
	if s.membership.runner != nil {
		s.membership.runner.Stop()
	}
	var total engine.Stats
	var mu sync.Mutex
	s.routerMu.Lock()
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	pending := len(shards)
	for _, sh := range shards {
		posted := sh.post(func(now float64) {
			sh.engine.Close(now)
			stats := sh.engine.Stats()
			mu.Lock()
			defer mu.Unlock()
			pending--
			total.Served += stats.Served
			total.Declined += stats.Declined
			total.Failed += stats.Failed
			total.Rejected += stats.Rejected
			total.Offers += stats.Offers
		})
		if !posted {
			mu.Lock()
			pending--
			mu.Unlock()
		}
	}
	startedAt, flushed := s.env.Now(), false
	env.Every(s.env, shutdownPollInterval, func() bool {
		now := s.env.Now()
		mu.Lock()
		waiting := pending > 0 && now-startedAt < shardCloseTimeout
		stats := total
		mu.Unlock()
		if waiting {
			return true
		}
		if s.answersPending() && now-startedAt < shardCloseTimeout+clientFlushTimeout {
			return true
		}
		if !flushed { // the one that has just been taken from a queue
			flushed = true
			return true
		}
		s.stopped.Store(true)
		s.disconnectAll()
		s.log.Info().Str("mode", "serve").Uint64("served", stats.Served).Uint64("declined", stats.Declined).
			Uint64("failed", stats.Failed).Uint64("not_taken", stats.Rejected).Uint64("offers", stats.Offers).Msg("scheduler ends")
		done(errors.Join(s.saveList(), s.folder.Close()))
		return false
	})
}

// saveDeferred tells whether a list that is changed is not to be saved yet. A scheduler that works with some of its nodes
// does not spend more on saving them all the more there are.
func (s *Server) saveDeferred() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workingSet != nil && s.env.Now()-s.listSavedAt < listSaveInterval*float64(s.list.Len())/nodesSavedPerInterval
}

func (s *Server) saveList() error {
	s.mu.Lock()
	var text []byte
	if s.list.TakeChanged() {
		text = s.list.Encode()
	}
	s.listSavedAt = s.env.Now()
	s.mu.Unlock()
	if text == nil {
		return nil
	}
	return s.folder.SaveList(text)
}

// LocalListener asks without a socket, for measurements that leave the owners' door out.
type LocalListener struct{ server *Server }

// AnswerHandler hears what an owner hears. It must not block.
type AnswerHandler interface {
	OnAnswer(ref uint64, answer engine.AnswerKind)
	OnEnd(ref uint64)
}

// Connect connects an owner.
func (l *LocalListener) Connect(handler AnswerHandler) *LocalClient {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.lastClientID++
	c := &clientConn{server: l.server, id: l.server.lastClientID, local: handler, requests: map[uint64]request{}}
	l.server.clients[c.id] = c
	return &LocalClient{c}
}

// LocalClient is an owner without a socket.
type LocalClient struct{ client *clientConn }

// Allocate asks as the owners' door does; false if the ref is not free.
func (l *LocalClient) Allocate(ref uint64, tenant, jobType int, service, token uint64, cores, memory, within float64) bool {
	if !l.client.openRequest(ref, l.client.server.env.Now()+within) {
		return false
	}
	l.client.server.allocate(l.client, shardownership.ID{Tenant: tenant, Token: token}, shardownership.Request{
		Client: l.client.id, Ref: ref, JobClass: jobType,
		Service: service, Cores: cores, Memory: memory,
	}, within, 0)
	return true
}

// clientByID gives an owner that is still connected.
func (s *Server) clientByID(id uint32) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[id]
}

// answerClient sends the final answer to a request, if its client is still connected.
func (s *Server) answerClient(request engine.RequestID, answer engine.Answer) {
	s.log.Debug().Uint32("owner", request.Client).Uint64("ref", request.Number).Stringer("answer", answer.Kind).
		Uint32("node", answer.Node).Msg(string(answer.Reason))
	if c := s.clientByID(request.Client); c != nil {
		c.sendAnswer(request.Number, answer)
	}
}

// setRequestShard notes which shard an owner's ask is at now.
func (s *Server) setRequestShard(clientID uint32, ref uint64, shard int) {
	if c := s.clientByID(clientID); c != nil {
		c.setShard(ref, shard)
	}
}

// disconnectAll ends all links and owners' connections.
func (s *Server) disconnectAll() {
	s.routerMu.Lock()
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	for _, sh := range shards {
		sh.connections.close("scheduler ends", true) // last recalls still go out
		sh.loop.Wake()
	}
	s.listClient.close()
	for _, c := range s.connectedClients() {
		c.disconnect("scheduler ends")
	}
}
