// Package control runs a process's replica of the cluster state: the consensus, its timers, the messages that members carry for it, and, at the
// leader, the decisions on zones.
//
// Inputs are messages of other members, calls by Enqueue and Report, and the environment's clock. Outputs are messages through the members'
// runner, writes to a voter's storage, log lines, and a View. The replica and the zone controller belong to one goroutine, the environment's
// loop. All other goroutines reach it through the inbox, which has a lock of its own, or read the View by an atomic pointer; they never wait
// for the consensus. The members' lock may be held when the inbox's lock is taken, never the other way round.
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

// Storage keeps the Raft state of a voter. See package raftstore.
type Storage interface {
	Load() (consensus.PersistedState, error)
	// Save returns when all is on the disk. The arguments are those of consensus.Effects.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	Close() error
}

// ZoneConfig is what decisions on zones rest on. Without zones there are none.
type ZoneConfig struct {
	Zones      []string
	Overrides  map[string]clusterstate.ZoneState // states that operators have set
	Latency    func(from, to string) float64     // ms one way; nil: equal for all
	Controller zones.Controller                  // with the faults that tests inject
}

// View is the cluster state at one moment. It never changes.
type View struct {
	State       *clusterstate.State
	LeaseExpiry float64 // ms of the environment's clock; from then on the process acts in degraded mode
}

// Runner runs a replica. Its methods may be called by any goroutine.
type Runner struct {
	environment env.Environment
	log         zerolog.Logger
	members     *members.Runner
	loop        env.Loop
	inbox       inbox
	view        atomic.Pointer[View]
	stopped     atomic.Bool

	// The fields below belong to the loop.
	storage          Storage // nil: not a voter, or closed
	replica          *consensus.Replica
	announcedVersion uint64 // of the cluster state, reported to the members
	zoneConfig       ZoneConfig
	zones            zones.Controller
	zonesEvaluatedAt float64
}

// Start starts a process's replica on the members' datagrams. The storage of a voter belongs to the runner from then on; it is nil at other
// processes. An error means that what is stored can't be used.
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
			return nil, fmt.Errorf("council's folder: %w", err)
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
	members.WithDetector(func(d *membership.Detector) { d.SetCarrier(messageHandler{r}) })
	return r, nil
}

// View returns the cluster state as this process holds it now.
func (r *Runner) View() *View { return r.view.Load() }

// Enqueue queues a call of f with the replica on the loop's goroutine. The call is dropped if the loop stands still and MaxPendingMessages
// calls wait.
func (r *Runner) Enqueue(f func(replica *consensus.Replica)) {
	r.inbox.putCall(f)
	r.loop.Wake()
}

// Stop stops the runner. The loop closes the storage in its last step; Stop does not wait for it.
func (r *Runner) Stop() {
	if r.stopped.Swap(true) {
		return
	}
	r.members.WithDetector(func(d *membership.Detector) { d.SetCarrier(nil) })
	r.loop.Wake()
}

// effects executes what the replica decides, on the loop's goroutine.
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

// messageHandler receives what members carry, under the members' lock: it only queues it.
type messageHandler struct{ *Runner }

// Carried implements membership.Carrier.
func (h messageHandler) Carried(from string, body []byte) {
	h.enqueue(message{from: from, body: body})
}

// Ahead implements membership.Carrier.
func (h messageHandler) Ahead(from string, version uint64) {
	h.enqueue(message{from: from, version: version})
}

func (h messageHandler) enqueue(m message) {
	h.inbox.putMessage(m)
	h.loop.Wake()
}
