package sim

import (
	"fmt"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state"
)

const (
	clientsPerScheduler = 2
	maxShards           = 3
	defaultServices     = 5
	defaultRuntime      = 1500 // mean run time of a task, ms
	latencyObjective    = 800  // of all job classes, ms
	listDelay           = 50   // delay of the node list's changes, ms
	maxStartError       = 20   // largest error of a scheduler's clock at its start, ms
	driftRange          = 1e-4 // width of the range of clock drifts; half of it is fast, half slow
)

const siteText = `<site name="lab">
  <cluster schedulers="%d" list="%s" ask-every="4s" step="1ms" tries="4" cores-limit="2" memory-limit="1.5" mean-cores="1"
           mean-memory="2"/>
  <rules drain-grace="800ms" cold-bears="8" cold-for="2s" cold-window="1s" answer-margin="200ms" settle="600ms"/>
  <zone name="east"/><zone name="west"/>
  <machine kind="plain" cores="16" memory="32"/>
  <job-type name="free" effect="restartable" target="800ms" expiry="2s" value="1"/>
  <job-type name="keyed" effect="tokened" group="zone" window="1500ms" target="800ms" expiry="2s" value="2" spread="node" most="3"/>
  <job-type name="once" effect="run-once" target="800ms" expiry="1500ms" value="3"/>
  <job-type name="every" effect="tokened" group="all" window="1500ms" target="800ms" expiry="2s" value="2"/>
  %s
  <limits open="300" owner-queue="300" node-queue="8192"/>
  <drains fleet="0.5" zone="1" machine="1" margin="0.1" guard="100ms"/>
  <shards count="%d" most="%d" connections="%s"/>
  <node-list address="list:1"/>
  <owners listen="owners:1"/>
</site>`

// jobRules are the rules of the site's job classes.
var jobRules = []audit.JobRules{
	{},
	{Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxPerDomain: 3},
	{Semantics: audit.AtMostOnce},
	{Semantics: audit.Idempotent, Window: 1500},
}

// build starts the cluster: nodes, the node list, and schedulers with their clients.
func (e *environment) build() error {
	if err := e.readSite(); err != nil {
		return err
	}
	locations := map[uint32]audit.Location{}
	e.auditor = audit.NewAuditor(e.auditRules(locations))
	e.testbed = e.testbedOn("world")
	if err := e.startNodes(locations); err != nil {
		return err
	}
	var err error
	if e.list, err = e.testbedOn("list").StartList(listDelay, e.nodes, "list:1"); err != nil {
		return err
	}
	for i := range e.Schedulers {
		if err := e.startScheduler(i); err != nil {
			return err
		}
	}
	return nil
}

func (e *environment) readSite() error {
	listMode := "told"
	if e.ListPolled {
		listMode = "asked"
	}
	tenants := `<tenant name="a" share="0.6"/><tenant name="b" share="0.4"/>`
	if e.DynamicTenants {
		tenants = `<hosting tenants="3"/>`
	}
	config, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, e.Schedulers, listMode, tenants, e.Shards, maxShards, e.ConnectionSharing)))
	if len(faults) > 0 {
		return fmt.Errorf("site: %s", faults[0])
	}
	e.site = config
	return nil
}

func (e *environment) auditRules(locations map[uint32]audit.Location) audit.Rules {
	cluster := &e.site.Cluster
	return audit.Rules{
		Nodes: locations, Jobs: jobRules, DrainGrace: e.site.DrainGrace, ListPolled: e.ListPolled, PollInterval: cluster.ListMaxSilence,
		SlowStartLimit: int(cluster.SlowStartLimit), SlowStartDuration: cluster.SlowStartDuration, SlowStartWindow: cluster.SlowStartWindow,
		Slack: orderSlack,
	}
}

func (e *environment) machineConfig() standin.MachineConfig {
	config := standin.MachineConfig{
		Cores: 16, Memory: 32, CoresLimit: 2, MemoryLimit: 1.5, InspectTime: 4, QueueLimit: 30, ConcurrentStarts: 6, ProgramMissFactor: 3,
		ProgramCacheSize: 6, WarmupPace: 0.4, WarmupDuration: e.site.Cluster.SlowStartDuration, OverloadFactor: 1e9, OverloadWindow: 1000,
		SlowStartLimit: 8,
	}
	runtime := float64(defaultRuntime)
	if e.simulation.TaskRuntime > 0 {
		runtime = e.simulation.TaskRuntime
	}
	for job := range jobRules {
		config.JobProfiles = append(config.JobProfiles, standin.JobProfile{
			StartWork: 12, MeanRuntime: runtime, MeanUse: 0.5, Priority: job, Deduplicated: jobRules[job].Semantics == audit.Idempotent,
		})
	}
	return config
}

// startNodes starts the nodes, half of them in each zone, and records their locations.
func (e *environment) startNodes(locations map[uint32]audit.Location) error {
	config, groups := e.machineConfig(), []*standin.Group{standin.NewGroup(), standin.NewGroup()}
	for i := range e.Nodes {
		zone := e.site.Zones[i%2]
		n := &standin.Node{
			ID: uint32(i + 1), Zone: zone, Cell: zone, Kind: "plain", Jobs: len(jobRules), Tenants: max(2, len(e.site.Tenants)),
		}
		name := fmt.Sprint("n", i+1)
		start := standin.NodeStart{Machine: config, Group: groups[i%2], Cold: e.ColdStart, Address: name + ":1"}
		testbed := e.testbedOn(name)
		start.Seed = e.rng.Uint64()
		if err := testbed.StartNode(n, start); err != nil {
			return err
		}
		e.nodes = append(e.nodes, n)
		locations[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	return nil
}

// startScheduler starts a scheduler and its clients.
func (e *environment) startScheduler(index int) error {
	s := &scheduler{env: e, name: fmt.Sprint("s", index), index: index}
	s.process = e.newHost(s.name)
	s.process.clockError, s.process.drift = maxStartError*e.rng.Float64(), driftRange*(e.rng.Float64()-0.5)
	s.disk, s.maintenance = NewDisk(s.process), &maintenanceStore{process: s.process}
	s.disk.DelayedSync = e.fault.DelayedSync
	s.tenants = newTenantStore(e)
	if !e.ColdStart {
		if err := state.NewFolder(s.disk).SaveList(e.initialList()); err != nil {
			return err
		}
	}
	s.process.onDeath = func() {
		e.testbed.Trace.Add(audit.Record{At: e.clock.now, Kind: audit.SchedulerKilled, Scheduler: s.name})
	}
	e.schedulers = append(e.schedulers, s)
	s.start()
	for range clientsPerScheduler {
		e.startClient(s)
	}
	return nil
}

func (e *environment) startClient(s *scheduler) {
	c := &standin.Client{ID: len(e.clients), Scheduler: s.name, SettleTime: e.site.SettleTime, SchedulerAddress: func() string {
		if s.process.dead {
			return ""
		}
		return s.name + ":1"
	}}
	if e.DynamicTenants {
		c.AuthToken = authTokenOf(tenantOf(c.ID))
	}
	e.testbedOn(fmt.Sprint("o", len(e.clients))).StartClient(c, e.rng.Uint64())
	e.clients = append(e.clients, c)
}

// newHost starts a process on a new machine.
func (e *environment) newHost(name string) *Process {
	p := e.clock.NewProcess(name)
	e.hosts[name] = p
	return p
}

// testbedOn returns a testbed on a new host. Its records go into the simulation's trace.
func (e *environment) testbedOn(host string) *standin.Testbed {
	tb := standin.NewTestbed(e.newHost(host))
	tb.Trace.OnRecord = e.onRecord
	return tb
}

// initialList returns the node list that schedulers know from the start, encoded as in their state folder.
func (e *environment) initialList() []byte {
	l := state.NewNodeList()
	if l.Begin(list.KindFull, 0) != nil {
		return nil
	}
	for _, n := range e.nodes {
		l.Put(state.Entry{
			ID: n.ID, Address: n.Address(), Availability: 1, FreeCores: 32, FreeMemory: 48, Zone: n.Zone, Cell: n.Cell,
			Kind: n.Kind,
		})
	}
	l.End()
	return l.Encode()
}
