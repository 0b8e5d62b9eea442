package platformsim

import (
	"bytes"
	"fmt"

	"ravenpond/internal/audit"
	"ravenpond/internal/platform"
	"ravenpond/internal/settings"
)

// Times of schedulers, in ms.
const (
	endPollInterval   = 20  // between two checks whether a process has ended
	endRestartDelay   = 200 // after a process ended, until it is started again
	reconnectWindow   = 400 // after a scheduler is stopped, during which clients still open connections
	earlyRequestTime  = 600 // after a scheduler is stopped, during which it still accepts requests, as the platform documents
	killAfterStop     = requestTimeout + 700
	lateRequestTime   = 700  // after a scheduler is stopped; a request sent later that is unanswered at the kill counts as lost
	maxInitialSilence = 2000 // of the journal service after a restart of its scheduler
)

// settingsText is the format of a scheduler's settings; its arguments are the number of schedulers, the scheduler's index and the report mode.
const settingsText = `{"instances": %d, "self-index": %d, "discovery": "push", "step-ns": 2000000, "kinds": ["std"], "zones": ["east", "west"],
 "projects": [{"name": "acme", "portion": 1}],
 "policy-limits": {"cancel": true, "max-attempts": 4, "probes": true, "conn-idle-ns": 4000000000, "connect-timeout-ns": 500000000, "open-cap": 500},
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [16], "mem-of-kind": [32], "kind-by-class": [-1, -1, -1],
  "spread-over": ["silent", "machine", "silent"], "most-together": [9, 3, 9], "lists-free": true, "cold-bears": 6, "unit-cores": 1,
  "mean-memory": 2, "settle-ns": 600000000},
 "report": {"fields": ["x0", "x1"], "how": "%s"},
 "rules": {"cold-ns": 4000000000, "overload-for-ns": 1500000000, "ask-every-ns": 4000000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "free", "worth": 1, "group": "all"},
  {"name": "marked", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "guarded", "worth": 2, "group": "zone", "window-ns": 1500000000},
  {"name": "single", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "single_shot", "worth": 3, "group": "all"}]}`

// forbiddenLogs are parts of log lines that report what must never happen.
var forbiddenLogs = [][]byte{[]byte("switched off"), []byte("module: fenced"), []byte("refused to offer")}

// scheduler is a scheduler process, with its journal service and its client.
type scheduler struct {
	sim         *simulation
	name        string
	settings    string
	server      program // nil while the process is not running
	journal     *journal
	client      *client
	incarnation int
	startedAt   float64 // true time in ms
	stoppedAt   float64 // when it was told to stop, 0 if it was not; true time in ms

	killedOutright map[int]bool // the incarnations that were killed without being told to stop
	dials          []dial       // of this incarnation to nodes
}

// dial is a dial of a scheduler.
type dial struct {
	address string
	at      float64 // true time in ms
	failed  bool    // it was refused, did not come up, or came up late
}

// addScheduler adds and starts scheduler index of count, with its client.
func (sm *simulation) addScheduler(index, count int) {
	s := &scheduler{
		sim: sm, name: fmt.Sprint("s", index), settings: fmt.Sprintf(settingsText, count, index, sm.reportMode), killedOutright: map[int]bool{},
	}
	if w, ok := sm.clock.(*simWorld); ok {
		w.addProcess(s.name)
	}
	s.client = &client{sim: sm, scheduler: s, process: sm.clock.NewHost("o-" + s.name)}
	sm.schedulers = append(sm.schedulers, s)
	s.start()
}

// Write checks a line of the scheduler's log, and adds it to the trace. It never returns an error.
func (s *scheduler) Write(line []byte) (int, error) {
	if s.sim.Trace != nil {
		_, _ = fmt.Fprintf(s.sim.Trace, "%.1f %s logs %s", s.sim.clock.TrueTime(), s.name, line)
	}
	for _, forbidden := range forbiddenLogs {
		if bytes.Contains(line, forbidden) {
			s.sim.fail(s.name + " logged: " + string(line))
		}
	}
	return len(line), nil
}

// start starts the next incarnation, with a new journal service whose events are its initial events.
func (s *scheduler) start() {
	sm := s.sim
	s.incarnation++
	s.dials = nil
	s.startedAt, s.stoppedAt = sm.clock.TrueTime(), 0
	s.journal = newJournal(sm, sm.clock.Address(fmt.Sprintf("journal-%s-%d", s.name, s.incarnation)))
	if s.incarnation > 1 && sm.rng.IntN(4) == 0 {
		s.journal.silence(maxInitialSilence * sm.rng.Float64())
	}
	config := s.configuration()
	sm.record(audit.Record{Kind: audit.SchedulerStarted, Scheduler: s.name})
	for _, n := range sm.nodes { // the initial events count as a notification
		if n.status != statusReady {
			sm.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
		}
	}
	incarnation := s.incarnation
	sm.clock.Launch(s, config, func(server program) {
		if s.incarnation != incarnation {
			server.Kill()
			return
		}
		s.server, s.startedAt = server, sm.clock.TrueTime()
		s.watchEnd()
		s.client.start()
	})
}

// address returns the address at which clients connect.
func (s *scheduler) address() string { return s.sim.clock.Address(s.name) }

// watchEnd polls until the process ends by itself, and then calls onEnded once all that it sent has arrived.
func (s *scheduler) watchEnd() {
	incarnation, done := s.incarnation, s.server.Done()
	var poll func()
	poll = func() {
		if s.incarnation != incarnation || s.server == nil {
			return
		}
		select {
		case <-done:
			s.sim.after(s.sim.clock.EndDelay(), func() { s.onEnded(incarnation) })
		default:
			s.sim.after(endPollInterval, poll)
		}
	}
	s.sim.after(endPollInterval, poll)
}

// onEnded checks that a process that ended by itself has answered all requests, and schedules its restart.
func (s *scheduler) onEnded(incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	if open := sortedIDs(s.client.pending); len(open) > 0 {
		s.sim.fail(fmt.Sprintf("rule 1: %s ended before it answered request %d", s.name, open[0]))
	}
	s.kill(endRestartDelay)
}

// configuration returns the configuration for the process, with the journal's events as initial events; nil if the settings are invalid.
func (s *scheduler) configuration() *platform.Configuration {
	deployment, err := settings.Read([]byte(s.settings))
	if err != nil {
		s.sim.fail(err.Error())
		return nil
	}
	events := s.journal.snapshot()
	if s.sim.InitialEvents != nil {
		events = s.sim.InitialEvents(events)
	}
	return &platform.Configuration{
		Name: s.name, Listen: s.address(), Journal: s.journal.address, Seed: s.sim.rng.Uint64(), MemoryMB: 64, Sockets: 200,
		Deployment: deployment, InitialEvents: events,
	}
}

// killOutright ends the process at once, as kill does, without a planned restart.
func (s *scheduler) killOutright(restartDelay float64) {
	s.killedOutright[s.incarnation] = true
	s.kill(restartDelay)
}

// kill ends the process at once, and starts it again after restartDelay, in ms.
func (s *scheduler) kill(restartDelay float64) {
	if s.server == nil {
		return
	}
	s.server.Kill()
	s.server = nil
	s.sim.record(audit.Record{Kind: audit.SchedulerKilled, Scheduler: s.name})
	s.client.markDisconnected()
	s.sim.after(restartDelay, s.start)
}

// stop tells the process to end, as for a planned restart. Clients keep sending requests on their open connections, and open new ones for a
// while. A process that has not ended by itself is killed at the earliest time at which the platform may kill it.
func (s *scheduler) stop() {
	if s.server == nil {
		return
	}
	s.server.Stop()
	if s.stoppedAt > 0 {
		return
	}
	s.stoppedAt = s.sim.clock.TrueTime()
	incarnation := s.incarnation
	ifRunning := func(f func()) func() {
		return func() {
			if s.server != nil && s.incarnation == incarnation {
				f()
			}
		}
	}
	for range 2 {
		s.sim.clock.At(s.stoppedAt+reconnectWindow*s.sim.rng.Float64(), ifRunning(func() { s.client.dial(nil) }))
	}
	s.sim.clock.At(s.stoppedAt+killAfterStop, ifRunning(s.killStopped))
}

// killStopped kills a process that was told to end. It is a failure if a request sent more than lateRequestTime after the stop is unanswered then.
func (s *scheduler) killStopped() {
	for _, id := range sortedIDs(s.client.pending) {
		if t := s.client.pending[id]; t.requestedAt > s.stoppedAt+lateRequestTime {
			s.sim.fail(fmt.Sprintf("rule 1: %s was killed before it answered request %d", s.name, id))
		}
	}
	s.kill(endRestartDelay)
}

// reload moves the journal service to another address, and makes the scheduler reload its configuration.
func (s *scheduler) reload() {
	if s.server == nil {
		return
	}
	old := s.journal
	s.journal = old.moveTo(s.sim.clock.Address(fmt.Sprintf("journal-%s-%d-%d", s.name, s.incarnation, s.sim.rng.Uint32())))
	s.server.Reload(s.configuration())
	old.close()
}
