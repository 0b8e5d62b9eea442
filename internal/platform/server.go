// Package platform implements a scheduler on the operators' platform: it accepts requests of clients, places their tasks at nodes through a
// placement module, and notifies clients and nodes of the outcomes. The protocol is described in docs/protocols/platform.md, its codec is
// proto/platform.
//
// A Server consists of parts, each with its own state that only its methods touch:
//
//	turnLoop          the event loop, which fires timers and lets the module decide
//	loadMonitor       how far the process lags behind its events, and which requests it can still answer in time
//	requestTable      requests and running tasks, by the host's and by the client's numbers
//	clientListener    connections of clients (clientConn)
//	nodeTable         nodes (node) and the connections to them (nodeConn)
//	endpointWatch     the node list, as watched at the journal service (watchConn)
//	notifier          notifications of clients, and those that could not be sent yet
//	endedtasks.Memory ends of tasks, for clients that hand them over afterwards
//	usednumbers.Memory numbers of tasks that may have run, which may come again
//	shutdownSequence  the steps of a planned shutdown
//	telemetry         counters, traces and the statistics line of the log
//	host.Host         the placement module with its attempts and timers
//
// # Concurrency
//
// Server.mu guards all parts, because the effects of one event on several of them have to be atomic. Callbacks of the environment (OnData,
// OnClose, dials, timers, turns of the loop) and the exported methods lock it; everything else is called with it held. Nothing blocks while
// holding it, as connections queue what is sent. The fields of Server itself are set before the first callback and not changed afterwards.
//
// # Errors
//
// Start fails if the initial node list can't be read or the scheduler can't listen on its address. After that nothing is fatal: a connection
// that violates the protocol is closed, a module that panics is replaced, and diagnostics that panic are switched off.
package platform

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/endedtasks"
	"ravenpond/internal/decide/usednumbers"
	"ravenpond/internal/env"
	"ravenpond/internal/platform/host"
	"ravenpond/internal/settings"
)

// Server is a scheduler on the platform.
type Server struct {
	env      env.Environment
	log      zerolog.Logger
	settings *settings.Deployment
	names    nameIndex
	limits   budget.Limits

	startedAt float64 // when the process started

	mu           sync.Mutex // guards the parts below
	unreadBuffer []byte     // reused by the looks at what clients have sent; bounded by env.MaxUnread and one read

	host        *host.Host
	loop        turnLoop
	load        loadMonitor
	requests    requestTable
	clients     clientListener
	nodes       nodeTable
	endpoints   endpointWatch
	notifier    notifier
	ended       *endedtasks.Memory
	usedNumbers *usednumbers.Memory
	shutdown    shutdownSequence
	telemetry   telemetry
}

// New returns a scheduler with a configuration. It has no connections until Start.
func New(environment env.Environment, log zerolog.Logger, configuration *Configuration) *Server {
	s := &Server{
		env: environment, log: log, settings: configuration.Deployment, names: newNameIndex(configuration.Deployment),
		limits: budget.Divide(configuration.Sockets, configuration.MemoryMB),
	}
	s.loop = turnLoop{server: s}
	s.load = newLoadMonitor(s)
	s.requests = newRequestTable(s)
	s.clients = newClientListener(s)
	s.nodes = newNodeTable(s)
	s.endpoints = newEndpointWatch(s, configuration.Journal)
	s.notifier = notifier{server: s}
	s.ended = endedtasks.NewMemory()
	s.usedNumbers = usednumbers.NewMemory()
	s.shutdown = newShutdownSequence(s)
	s.telemetry = newTelemetry(s)
	return s
}

// Start loads the initial node list, listens for clients and starts the event loop. The scheduler then runs until a shutdown that Stop begins
// is complete. The error says why the node list can't be read or the scheduler can't listen on its address.
func (s *Server) Start(configuration *Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	s.startedAt = now
	s.host = host.New(hostEffects{s}, now, configuration.Seed, s.settings.Cluster)
	s.host.SetConnectTimeout(s.settings.ConnectTimeout)
	if err := s.endpoints.loadInitial(now, configuration.InitialEvents); err != nil {
		return err
	}
	if err := s.clients.listen(configuration.Listen); err != nil {
		return fmt.Errorf("client listener: %w", err)
	}
	s.loop.start()
	s.log.Info().Str("mode", "start").Str("owners", s.clients.address()).Int("nodes", s.nodes.count()).
		Int("owner_conns", s.limits.ClientConns).Int("node_conns", s.limits.NodeConns).Int("open_most", s.limits.Open).Msg("listening for clients")
	return nil
}

// Done returns a channel that is closed when the scheduler has shut down.
func (s *Server) Done() <-chan struct{} { return s.shutdown.done }

// Stop begins a planned shutdown: requests are accepted for a short while, all accepted ones are answered, and running tasks go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdown.request()
	s.loop.wake()
}

// ApplyConfiguration applies the part of a configuration that may change while a scheduler runs: the address of the journal service.
func (s *Server) ApplyConfiguration(configuration *Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.setAddress(configuration.Journal)
	s.loop.wake()
}
