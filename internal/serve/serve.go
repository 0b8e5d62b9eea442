// Package serve implements a scheduler process: it connects the engines of its shards with clients, nodes, the list server, the other
// schedulers and the state folder. All access to the outside comes with the configuration or goes through the environment, so that the
// simulator can run the same code on a simulated clock and network.
//
// A Server consists of parts, each with its own state and lock; the comments at the fields say which lock guards them. Timers, connections
// and shards call the parts on goroutines of the environment. A shard's engine is called only on the loop of its shard: other parts post
// events to the shard's inbox.
package serve

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"ravenpond/internal/env"
	"ravenpond/internal/state/bolt"
	"ravenpond/logic"
)

// closeConnsTimeout is how long Run waits for connections to close.
const closeConnsTimeout = 2 * time.Second

// Server is a running scheduler process. The set of its parts does not change after Start.
type Server struct {
	*process
	*shardSet
	endpoints      *endpointList
	listClient     *listClient
	maintenance    *maintenanceRunner
	clients        *clientListener
	tenants        *tenantHosting
	membership     *clusterMembership
	clusterControl *clusterControl // nil without voters
	workingSet     *workingSet     // nil: the shards work with all nodes
	metrics        *metricsServer
}

// Run runs a scheduler on real sockets until the context ends. It then answers all open requests before it returns.
func Run(ctx context.Context, config Config) error {
	environment := env.NewReal()
	environment.Connect, environment.TLS, environment.EndpointListAddress = config.Connect, config.TLS, config.Site.ListAddress
	defer environment.Close(closeConnsTimeout)
	if config.FreeMemory == nil {
		config.FreeMemory = debug.FreeOSMemory
	}
	s, err := Start(environment, config) //nolint:contextcheck // Start retries at most storeOpenAttempts times and then returns
	if err != nil {
		return err
	}
	s.resizeUntilDone(ctx, config.Resize)
	ended := make(chan error, 1)
	s.Shutdown(func(err error) { ended <- err }) //nolint:contextcheck // the context has ended; open requests get time limits of their own
	return <-ended
}

// resizeUntilDone changes the number of shards to each number that it receives, until the context ends.
func (s *Server) resizeUntilDone(ctx context.Context, sizes <-chan int) {
	for {
		select {
		case n := <-sizes:
			if err := s.Resize(n); err != nil {
				s.log.Error().Str("mode", "shards").Int("wanted", n).Err(err).Msg("number of shards not changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

// Start starts a scheduler in an environment. After an error the environment must not be used any more.
func Start(e env.Environment, config Config) (s *Server, err error) {
	folder, err := config.openFolder()
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, folder.Close())
		}
	}()
	s, err = newServer(newProcess(e, config.withDefaults(), folder))
	if err != nil {
		return nil, err
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	if config.Ready != nil {
		config.Ready(s.clients.address())
	}
	if config.OnLocalListener != nil {
		config.OnLocalListener(&LocalListener{s})
	}
	return s, nil
}

// newServer creates the parts and the shards. It starts none of them.
func newServer(p *process) (*Server, error) {
	endpoints, err := openEndpointList(p)
	if err != nil {
		return nil, err
	}
	s := &Server{process: p, endpoints: endpoints, tenants: newTenantHosting(p, endpoints), membership: newClusterMembership(p)}
	s.shardSet = newShardSet(p, s.tenants)
	s.clients = newClientListener(p, s.shardSet, s.tenants, &s.stalls)
	s.shardSet.clients = s.clients
	s.tenants.clients, s.tenants.shards = s.clients, s.shardSet
	s.membership.shards, s.membership.tenants = s.shardSet, s.tenants
	s.shardSet.membership, s.shardSet.initShard = s.membership, s.initShard
	s.maintenance = newMaintenanceRunner(p, endpoints, s.shardSet)
	s.listClient = newListClient(p, endpoints, s.maintenance, s)
	s.maintenance.listClient, s.shardSet.listClient = s.listClient, s.listClient
	if err := s.createShards(); err != nil {
		return nil, err
	}
	return s, nil
}

// prepare loads the state that an earlier incarnation saved, and joins the other schedulers.
func (s *Server) prepare() (err error) {
	if err := bolt.RetryWhileLocked(context.Background(), storeOpenAttempts, s.maintenance.loadOpenWindows); err != nil {
		return fmt.Errorf("maintenance windows: %w", err)
	}
	if s.workingSet = newWorkingSet(s); s.workingSet != nil {
		s.shardSet.workingSet = s.workingSet
		s.workingSet.onList(logic.ListCached, s.endpoints.all())
	}
	for _, sh := range s.liveShards() {
		s.initShard(sh)
	}
	if err := s.tenants.start(); err != nil {
		return err
	}
	if err := s.membership.start(); err != nil {
		return err
	}
	if s.clusterControl, err = startClusterControl(s); err != nil {
		return err
	}
	s.membership.clusterControl.Store(s.clusterControl)
	return nil
}

// start accepts clients, and starts the shards and the periodic tasks of the parts.
func (s *Server) start() (err error) {
	if err := s.clients.listen(); err != nil {
		return fmt.Errorf("client listener: %w", err)
	}
	s.log.Info().Str("mode", "serve").Uint32("life", s.epoch()).Int("nodes", s.endpoints.size()).
		Int("shards", s.config.Site.Shards).Str("owners", s.clients.address()).Msg("scheduler started")
	for _, sh := range s.liveShards() {
		sh.start()
	}
	s.listClient.start()
	if s.workingSet != nil {
		s.workingSet.start()
	}
	s.endpoints.startSaving(s.workingSet != nil)
	s.maintenance.start()
	if s.hostsTenants() {
		s.every(dispatchInterval, s.dispatchQueued)
	}
	s.startHandovers()
	s.stalls.start(s.env.Now())
	s.every(s.stalls.interval, s.checkShards)
	s.metrics, err = startMetricsServer(s.log, s.config.Site.StatsListen, newMetricsCollector(s))
	return err
}
