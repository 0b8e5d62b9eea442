// Package control runs a process's replica of the cluster state: the consensus, its timers, its messages, which the membership protocol carries,
// and, at the leader, the decisions on zones.
//
// Inputs are messages of other members, calls by Enqueue and Report, and the environment's clock. Outputs are messages sent by the members'
// runner, writes to a voter's storage, log lines, and a View. Only one goroutine, the environment's loop, uses the replica and the zone
// controller. All other goroutines reach them through the inbox, which has its own lock, or read the View through an atomic pointer; they
// never wait for the consensus. Lock order: the inbox's lock may be taken while the members' lock is held, never the reverse.
package control

import (
	"fmt"
	"math"
	"sync/atomic"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/env"
	"ravenpond/internal/members"
)

// Storage stores the Raft state of a voter. Package raftstore implements it.
type Storage interface {
	Load() (consensus.PersistedState, error)
	// Save returns once everything is on the disk. Its arguments are those of consensus.Effects.Save.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	Close() error
}

// ZoneConfig configures the decisions on zones. If it has no zones, no decisions are made.
type ZoneConfig struct {
	Zones      []string
	Overrides  map[string]clusterstate.ZoneState // states that operators have set, by zone
	Latency    func(from, to string) float64     // in ms, one way; nil if it is equal between all zones
	Controller zones.Controller                  // the initial controller, with the faults that tests inject
}

// View is an immutable snapshot of the cluster state.
type View struct {
	State       *clusterstate.State
	LeaseExpiry float64 // ms on the environment's clock; from then on the process acts in degraded mode
}

// Runner runs a replica. Its methods are safe for concurrent use.
type Runner struct {
	environment env.Environment
	log         zerolog.Logger
	members     *members.Runner
	loop        env.Loop
	inbox       inbox
	view        atomic.Pointer[View]
	stopped     atomic.Bool

	// Only the loop uses the fields below once it has started.
	storage          Storage // nil if the process is not a voter, or after the storage was closed
	replica          *consensus.Replica
	announcedVersion uint64 // version of the cluster state that was last reported to the members
	zoneConfig       ZoneConfig
	zones            zones.Controller
	zonesEvaluatedAt float64
}

// Start starts a process's replica, which sends its messages in the members' datagrams. storage is nil if the process is not a voter; the runner
// owns it from then on. Start returns an error if the stored state cannot be used.
func Start(environment env.Environment, log zerolog.Logger, members *members.Runner, config consensus.Config, storage Storage,
	zoneConfig ZoneConfig,
) (*Runner, error) {
	if zoneConfig.Latency == nil {
		zoneConfig.Latency = func(string, string) float64 { return 0 }
	}
	r := &Runner{
		environment: environment, log: log, members: members, storage: storage, zoneConfig: zoneConfig, zones: zoneConfig.Controller,
	}
	var saved consensus.PersistedState
	if storage != nil {
		var err error
		if saved, err = storage.Load(); err != nil {
			return nil, fmt.Errorf("loading the Raft state: %w", err)
		}
	}
	replica, err := consensus.New(effects{r}, environment.Now(), config, saved)
	if err != nil {
		return nil, err
	}
	r.replica = replica
	replica.SetReportHandler(r.onZoneReport)
	r.view.Store(&View{State: replica.State(), LeaseExpiry: math.Inf(-1)})
	r.loop = environment.StartLoop(r.step)
	members.WithDetector(func(d *membership.Detector) { d.SetMessageHandler(messageHandler{r}) })
	return r, nil
}

// View returns the cluster state that this process currently holds.
func (r *Runner) View() *View { return r.view.Load() }

// Enqueue queues a call of f with the replica on the loop's goroutine. The call is dropped if MaxPendingMessages calls are pending because the
// loop does not run.
func (r *Runner) Enqueue(f func(replica *consensus.Replica)) {
	r.inbox.putCall(f)
	r.loop.Wake()
}

// Stop stops the runner. The loop closes the storage in its last step. Stop does not wait for that.
func (r *Runner) Stop() {
	if r.stopped.Swap(true) {
		return
	}
	r.members.WithDetector(func(d *membership.Detector) { d.SetMessageHandler(nil) })
	r.loop.Wake()
}

// effects carries out the replica's decisions on the loop's goroutine. It implements consensus.Effects.
type effects struct{ *Runner }

// Send implements consensus.Effects.
func (e effects) Send(to string, body []byte) {
	e.members.WithDetector(func(d *membership.Detector) { d.SendMessage(e.environment.Now(), to, body) })
}

// Save implements consensus.Effects.
func (e effects) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	return e.storage.Save(hard, from, entries, snapshot, held)
}

// Log implements consensus.Effects.
func (e effects) Log(line string) { e.log.Info().Str("mode", "council").Msg(line) }

// messageHandler receives the replica's messages from the membership protocol. It is called with the members' lock held, so it only queues them.
type messageHandler struct{ *Runner }

// OnMessage implements membership.MessageHandler.
func (h messageHandler) OnMessage(from string, body []byte) {
	h.enqueue(message{from: from, body: body})
}

// OnNewerStateVersion implements membership.MessageHandler.
func (h messageHandler) OnNewerStateVersion(from string, version uint64) {
	h.enqueue(message{from: from, version: version})
}

func (h messageHandler) enqueue(m message) {
	h.inbox.putMessage(m)
	h.loop.Wake()
}
