package consensus

import (
	"fmt"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
)

// memberPort is appended to a process's name to form its address.
const memberPort = ":7"

// SilentMembers is a handler of membership events that ignores them, for schedulers without nodes.
type SilentMembers struct{}

// OnMemberChanged does nothing.
func (SilentMembers) OnMemberChanged(float64, membership.Member, membership.State) {}

// OnNameConflict does nothing.
func (SilentMembers) OnNameConflict(float64, string) {}

// LastNodeContact reports that no node is known.
func (SilentMembers) LastNodeContact(uint32) (incarnation uint64, heard float64, ok bool) {
	return 0, 0, false
}

// SchedulerConfig says what StartScheduler starts. StartScheduler fills in the name and seed of Replica.
type SchedulerConfig struct {
	Seed    uint64
	Replica consensus.Config
	Disk    *Disk // nil unless the scheduler is a voter
	Zones   control.ZoneConfig
}

// StartScheduler starts membership and control of a scheduler in a simulated process, under the process's name.
func StartScheduler(p *sim.Process, config SchedulerConfig) (*control.Runner, error) {
	var seeds []string
	for _, voter := range config.Replica.Voters {
		seeds = append(seeds, voter+memberPort)
	}
	address := p.Name + memberPort
	runner, err := members.Start(p, address, membership.Config{
		Site: "lab", Name: p.Name, Address: address, Incarnation: config.Replica.Incarnation, Key: []byte("a key"), Seeds: seeds, Seed: config.Seed,
	}, SilentMembers{})
	if err != nil {
		return nil, err
	}
	var storage control.Storage
	if config.Disk != nil {
		storage = config.Disk
	}
	config.Replica.Name, config.Replica.Seed = p.Name, config.Seed+1
	return control.Start(p, zerolog.Nop(), runner, config.Replica, storage, config.Zones)
}

// process is a scheduler process of the simulation.
type process struct {
	sim         *simulation
	name        string
	host        *sim.Process
	incarnation uint64
	runner      *control.Runner // nil while the process is dead
	disk        *Disk           // nil unless the process is a voter
	lastVersion uint64          // last version that this incarnation held
}

// start starts the next incarnation.
func (p *process) start() {
	p.incarnation++
	p.lastVersion = 0
	config := SchedulerConfig{Seed: p.sim.rng.Uint64(), Disk: p.disk, Replica: consensus.Config{
		Zone: "z" + p.name[1:], Incarnation: p.incarnation, Voters: p.sim.voters, Faults: p.sim.faulty,
	}}
	var err error
	if p.runner, err = StartScheduler(p.host, config); err != nil {
		p.sim.fail(err.Error())
	}
}

// kill kills the process, with a power loss or without, and starts it again after a delay in ms.
func (p *process) kill(restartDelay float64) {
	if p.runner == nil {
		return
	}
	p.runner = nil
	p.host.Kill(p.sim.rng.IntN(2) == 0)
	p.sim.after(restartDelay, func() {
		p.host.Start()
		p.start()
	})
}

// proposeCommand has a random process propose a state for a zone.
func (sm *simulation) proposeCommand() {
	p := sm.processes[sm.rng.IntN(len(sm.processes))]
	if p.runner == nil {
		return
	}
	sm.result.Commands++
	name, state := "z"+fmt.Sprint(sm.rng.IntN(len(sm.processes))), clusterstate.ZoneState(sm.rng.IntN(4))
	seen, now := p.runner.View().State.Zone(name), p.host.Now()
	p.runner.Enqueue(func(r *consensus.Replica) {
		r.SetResultHandler(func(uint64, clusterstate.Refusal) { sm.result.Answered++ })
		r.Propose(func() (float64, clusterstate.Change) {
			return now, clusterstate.SetZoneState{Zone: name, SeenVersion: seen.Version, State: state, Cause: "seed"}
		})
	})
}
