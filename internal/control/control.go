// Package control keeps what a site's schedulers agree on, on one goroutine of its own: the consensus, the cluster state, their timers,
// and the messages that members carry. Traffic reads an immutable view by an atomic pointer and waits for nothing here.
package control

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/env"
	runner "ravenpond/internal/members"
	codec "ravenpond/internal/proto/clusterstate"
)

// Storage keeps what a voter must not forget.
type Storage interface {
	Load() (consensus.PersistedState, error)
	// Save returns when all is on the disk.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	Close() error
}

// ZoneConfig is what the verdicts on zones rest on. Without zones there are none.
type ZoneConfig struct {
	Zones     []string
	Overrides map[string]clusterstate.ZoneState // by operators
	Latency   func(from, to string) float64     // ms one way; nil: all are as far
	Judge     zones.Controller                  // with what tests plant in it
}

// View is the cluster state at one moment. It is never changed.
type View struct {
	State *clusterstate.State
	// LeaseExpiry is until when this process may act by it as it stands, ms of the world's clock; from then on in degraded mode.
	LeaseExpiry float64
}

// maxPendingMessages is how many messages wait at most; more are lost, as others are on their way.
const maxPendingMessages = 1024

// maxSleep is the longest the loop sleeps, ms.
const maxSleep = 1000

type message struct {
	from    string
	body    []byte
	version uint64 // that it holds, where it says no more
}

// Runner is control that runs.
type Runner struct {
	environment env.Environment
	log         zerolog.Logger
	members     *runner.Runner
	storage     Storage // nil: not a voter
	loop        env.Loop
	view        atomic.Pointer[View]
	stopped     atomic.Bool

	mu       sync.Mutex
	messages []message
	calls    []func(*consensus.Replica) // by other goroutines

	replica          *consensus.Replica // the loop's own
	announcedVersion uint64
	zoneConfig       ZoneConfig
	judge            zones.Controller
	evaluatedAt      float64
}

// evaluateInterval is the time between two looks of the leader at the zones, ms.
const evaluateInterval = 100

// Start runs a process's part in the consensus of its site on the members' datagrams. A voter's disk is its own from then on.
func Start(environment env.Environment, log zerolog.Logger, members *runner.Runner, config consensus.Config, storage Storage, zoneConfig ZoneConfig) (*Runner, error) {
	if zoneConfig.Latency == nil {
		zoneConfig.Latency = func(string, string) float64 { return 0 }
	}
	runner := &Runner{environment: environment, log: log, members: members, storage: storage, zoneConfig: zoneConfig, judge: zoneConfig.Judge}
	var saved consensus.PersistedState
	if storage != nil {
		var err error
		if saved, err = storage.Load(); err != nil {
			return nil, fmt.Errorf("council's folder: %w", err)
		}
	}
	replica, err := consensus.New(effects{runner}, environment.Now(), config, saved)
	if err != nil {
		return nil, err
	}
	runner.replica = replica
	replica.SetReportHandler(func(from string, b []byte) {
		sums := map[string]zones.Summary{}
		if codec.ReadZoneSummaries(b, func(zone string, nodes, heard int, room, used float64) {
			sums[zone] = zones.Summary{Nodes: nodes, Reachable: heard, Capacity: room, Used: used}
		}) == nil {
			runner.judge.OnReport(runner.environment.Now(), from, sums)
		}
	})
	runner.view.Store(&View{State: replica.State(), LeaseExpiry: math.Inf(-1)})
	runner.loop = environment.StartLoop(runner.step)
	members.WithDetector(func(d *membership.Detector) { d.SetCarrier(messageHandler{runner}) })
	return runner, nil
}

// View is the cluster state as this process holds it now.
func (r *Runner) View() *View { return r.view.Load() }

// Enqueue has f called with the replica on the loop's goroutine; not if that stands still and too many wait.
func (r *Runner) Enqueue(f func(c *consensus.Replica)) {
	r.mu.Lock()
	if len(r.calls) < maxPendingMessages {
		r.calls = append(r.calls, f)
	}
	r.mu.Unlock()
	r.loop.Wake()
}

// Stop ends it: the loop's last turn lets the disk go.
func (r *Runner) Stop() {
	if r.stopped.Swap(true) {
		return
	}
	r.members.WithDetector(func(d *membership.Detector) { d.SetCarrier(nil) })
	r.loop.Wake()
}

func (r *Runner) step() (wait float64) {
	if r.stopped.Load() {
		if r.storage != nil {
			if err := r.storage.Close(); err != nil {
				r.log.Error().Str("mode", "council").Err(err).Msg("disk")
			}
			r.storage = nil
		}
		return -1
	}
	r.mu.Lock()
	messages, calls := r.messages, r.calls
	r.messages, r.calls = nil, nil
	r.mu.Unlock()
	for _, m := range messages {
		if m.body != nil {
			r.replica.OnMessage(r.environment.Now(), m.from, m.body)
		} else {
			r.replica.OnNewerVersion(r.environment.Now(), m.from, m.version)
		}
	}
	for _, f := range calls {
		f(r.replica)
	}
	r.replica.Tick(r.environment.Now())
	r.evaluateZones(r.environment.Now())
	r.publish()
	return min(maxSleep, max(0.1, r.replica.Next()-r.environment.Now()))
}

// evaluateZones has the leader judge the zones, and propose what follows.
func (r *Runner) evaluateZones(now float64) {
	if !r.replica.IsLeader() {
		r.judge.Reset()
		return
	}
	if len(r.zoneConfig.Zones) == 0 || now < r.evaluatedAt+evaluateInterval {
		return
	}
	r.evaluatedAt = now
	state := r.replica.State()
	for _, proposal := range r.judge.Decide(now, state, r.zoneConfig.Zones, r.zoneConfig.Overrides) {
		r.log.Info().Str("mode", "zones").Str("zone", proposal.Zone).Stringer("is", state.Zone(proposal.Zone).State).Stringer("wanted", proposal.To).Str("cause", proposal.Reason).Msg("verdict proposed")
		r.replica.Propose(func(out []byte, number uint64) []byte {
			return codec.AppendCommand(out, r.replica.Name(), r.replica.Incarnation(), number, now, codec.CommandSetZoneState, proposal.Zone, "", "", proposal.Version, uint32(proposal.To), proposal.Reason)
		})
	}
	if plan, ok := r.judge.Plan(now, state, r.zoneConfig.Zones, r.zoneConfig.Latency); ok {
		r.replica.Propose(func(out []byte, number uint64) []byte {
			out = codec.AppendCommand(out, r.replica.Name(), r.replica.Incarnation(), number, now, codec.CommandSetPlan, "", "", "", 0, 0, "")
			for _, s := range plan {
				out = codec.AppendShare(out, s.From, s.To, s.Cores)
			}
			return out
		})
	}
}

// Report tells the leader what this process hears of the zones.
func (r *Runner) Report(sums map[string]zones.Summary) {
	b := codec.AppendMessage(nil, codec.MessageZoneReport, nil, 0, 0, 0, 0, 0)
	for _, zone := range slices.Sorted(maps.Keys(sums)) {
		s := sums[zone]
		b = codec.AppendZoneSummary(b, zone, s.Nodes, s.Reachable, s.Capacity, s.Used)
	}
	r.Enqueue(func(c *consensus.Replica) { c.Report(b) })
}

// publish lets traffic see what has changed, and others which version is held.
func (r *Runner) publish() {
	previous := r.view.Load()
	if previous.State == r.replica.State() && previous.LeaseExpiry == r.replica.LeaseExpiry() {
		return
	}
	r.view.Store(&View{State: r.replica.State(), LeaseExpiry: r.replica.LeaseExpiry()})
	if v := r.replica.State().Version(); v != r.announcedVersion {
		r.announcedVersion = v
		r.members.WithDetector(func(d *membership.Detector) { d.SetStateVersion(v) })
	}
}

// effects executes what the replica decides.
type effects struct{ *Runner }

func (e effects) Send(to string, body []byte) {
	e.members.WithDetector(func(d *membership.Detector) { d.SendMessage(e.environment.Now(), to, body) })
}

func (e effects) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	return e.storage.Save(hard, from, entries, snapshot, held)
}

func (e effects) Log(line string) { e.log.Info().Str("mode", "council").Msg(line) }

// messageHandler takes what members bring, under their lock: it only puts it down.
type messageHandler struct{ *Runner }

func (c messageHandler) Carried(from string, body []byte) {
	c.enqueueMessage(message{from: from, body: body})
}

func (c messageHandler) Ahead(from string, version uint64) {
	c.enqueueMessage(message{from: from, version: version})
}

func (r *Runner) enqueueMessage(m message) {
	r.mu.Lock()
	if len(r.messages) < maxPendingMessages {
		r.messages = append(r.messages, m)
	}
	r.mu.Unlock()
	r.loop.Wake()
}
