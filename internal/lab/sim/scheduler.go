package sim

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Factors that make the random seed differ between schedulers and between their incarnations.
const (
	seedPerIndex       = 977
	seedPerIncarnation = 7919
)

// leasedFraction is the fraction of limits that schedulers that know each other lease to each other.
const leasedFraction = 0.5

var memberKey = []byte("the laboratory's member key")

// scheduler is a scheduler process and its machine.
type scheduler struct {
	env               *environment
	name              string
	index             int
	process           *Process
	disk              *Disk
	maintenance       *maintenanceStore
	tenants           *tenantStore
	server            *serve.Server // nil until the scheduler has started once
	incarnations      int
	effectsUntilPanic int // effects of the shards until one panics, 0: no panic is planned
}

// start starts the next incarnation of a scheduler.
func (s *scheduler) start() {
	e := s.env
	s.incarnations++
	e.testbed.Trace.Add(audit.Record{At: e.clock.now, Kind: audit.SchedulerStarted, Scheduler: s.name})
	faults := e.fault.Server
	wrap := faults.WrapEffects
	faults.WrapEffects = func(effects engine.Effects) engine.Effects {
		if wrap != nil {
			effects = wrap(effects)
		}
		return panicInjector{effects, s}
	}
	var err error
	s.server, err = serve.Start(s.process, serve.Config{
		Site: s.siteConfig(), Name: s.name, Index: s.index, Disk: s.disk,
		Maintenance: func() (serve.MaintenanceStore, error) { return s.maintenance.open(), nil },
		Tenants:     func() (serve.TenantStore, error) { return s.tenants, nil },
		MemberKey:   memberKey, Seed: e.Seed + uint64(s.index)*seedPerIndex + uint64(s.incarnations)*seedPerIncarnation,
		Log: s.logger(), Faults: faults, Policy: e.simulation.Policy,
	})
	if err != nil && !s.process.dead {
		e.fail(0, fmt.Sprintf("scheduler %s failed to start: %v", s.name, err))
	}
}

// siteConfig returns the site configuration that the scheduler reads, changed by the program fault if there is one.
func (s *scheduler) siteConfig() *site.Config {
	e := s.env
	config := *e.site
	config.ClientsListen = s.name + ":1"
	if e.Members {
		config.Members = site.Members{
			Listen: fmt.Sprint("10.0.0.", 1+s.index, ":1"), Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, LeasedFraction: leasedFraction,
		}
	}
	config.WorkingSet = e.workingSet()
	config.Cluster.JobClasses = slices.Clone(config.Cluster.JobClasses)
	if e.fault.Site != nil {
		e.fault.Site(&config)
	}
	return &config
}

// shardNames returns the names under which nodes may know a scheduler: its own and those of its shards.
func (s *scheduler) shardNames() []string {
	names := []string{s.name}
	for shard := range maxShards {
		names = append(names, fmt.Sprintf("%s.%d", s.name, shard))
	}
	return names
}

// restartAfter restarts a scheduler after a time in ms, unless it is running by then.
func (s *scheduler) restartAfter(ms float64) {
	clock := s.env.clock
	clock.schedule(nil, clock.now+ms, func() {
		if s.process.dead {
			s.process.Start()
			s.start()
		}
	})
}

// logger returns the scheduler's logger. The text trace, if there is one, contains the log at debug level.
func (s *scheduler) logger() zerolog.Logger {
	level := zerolog.WarnLevel
	if s.env.clock.traceOut != nil {
		level = zerolog.DebugLevel
	}
	return zerolog.New(panicDetector{s}).Level(level)
}

// panicDetector fails the simulation when a log line reports a panic that was not injected by the script.
type panicDetector struct{ scheduler *scheduler }

// Write checks a log line and never fails.
func (d panicDetector) Write(line []byte) (int, error) {
	s, e := d.scheduler, d.scheduler.env
	if bytes.Contains(line, []byte("fenced: panic")) && !bytes.Contains(line, []byte(plannedPanic)) {
		e.fail(0, "scheduler "+s.name+": "+string(bytes.TrimSpace(line)))
	}
	if out := e.clock.traceOut; out != nil {
		_, _ = fmt.Fprintf(out, "%.3f %s %s", e.clock.now, s.name, line)
	}
	return len(line), nil
}

// jobMix lists job classes; the class of a request is drawn from it, so that a class that occurs more often is requested more often.
var jobMix = []int{0, 0, 0, 1, 1, 2, 2, 3}

// sendNextRequest makes a client request the next task, and schedules the request after it.
func (e *environment) sendNextRequest() {
	if e.clock.now > e.Duration {
		return
	}
	e.lastKey++
	job := jobMix[e.rng.IntN(len(jobMix))]
	key, service := fmt.Sprint("k", e.lastKey), fmt.Sprint("v", job, e.rng.IntN(cmp.Or(e.simulation.Services, defaultServices)))
	tenant := tenantNames[e.rng.IntN(2)]
	c := e.clients[e.rng.IntN(len(e.clients))]
	if e.DynamicTenants {
		tenant = tenantOf(c.ID)
	}
	if c.Connected() {
		token := serve.Token(tenant, key)
		if e.DynamicTenants {
			e.tenants.wanted[token] = tenantRequest{tenant, e.clock.now}
		}
		c.Request(&standin.Demand{
			Key: key, Tenant: tenant, JobType: e.site.JobClasses[job], Service: service, Job: job,
			Semantics: jobRules[job].Semantics, Token: token, ServiceKey: serve.Service(tenant, service),
			Cores: 0.5 + e.rng.Float64(), Memory: 1, Timeout: e.site.Deadlines[job], LatencyObjective: latencyObjective, GiveUpAt: e.Duration,
		})
	}
	e.clock.schedule(nil, e.clock.now+e.rng.ExpFloat64()*1000/(e.Rate*e.loadFactor), e.sendNextRequest)
}
