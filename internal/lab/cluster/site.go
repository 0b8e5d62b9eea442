package cluster

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

const siteText = `<site name="rig">
  <cluster schedulers="%d" list="told" tries="4" cores-limit="2" memory-limit="1.5" mean-cores="1" mean-memory="2"/>
  <rules drain-grace="600ms" cold-bears="%d" cold-for="3s" cold-window="1s" answer-margin="200ms" settle="600ms"/>
  %s
  <machine kind="plain" cores="%d" memory="%d"/>
  <job-type name="free" effect="restartable" target="800ms" expiry="3s" value="1"/>
  <job-type name="keyed" effect="tokened" group="zone" window="1500ms" target="1s" expiry="3s" value="2" spread="node" most="3"/>
  <job-type name="once" effect="run-once" target="1s" expiry="1500ms" value="3"/>
  <tenant name="t" share="1"/>
  <limits open="5000"/>
  %s
  <node-list address="%s"/>
  <owners listen="127.0.0.1:0"/>
</site>`

// startNodes starts the stand-ins of nodes and node list, and with Config.Relays their relays.
func (r *Rig) startNodes() error {
	slowStartLimit := max(12, r.Schedulers)
	text := fmt.Sprintf(siteText, r.Schedulers, slowStartLimit, r.zoneElements(), r.cores(), 2*r.cores(), "", "127.0.0.1:1")
	siteConfig, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return fmt.Errorf("site file of the rig: %s", faults[0])
	}
	r.site = siteConfig
	r.rules = audit.Rules{
		Nodes: map[uint32]audit.Location{}, DrainGrace: siteConfig.DrainGrace, SlowStartLimit: slowStartLimit, SlowStartDuration: siteConfig.Cluster.SlowStartDuration,
		SlowStartWindow: siteConfig.Cluster.SlowStartWindow, Slack: 500,
		Jobs: []audit.JobRules{{}, {Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxPerDomain: 3}, {Semantics: audit.AtMostOnce}},
	}
	machine := standin.MachineConfig{
		Cores: float64(r.cores()), Memory: 2 * float64(r.cores()), CoresLimit: 2, MemoryLimit: 1.5, InspectTime: 4, QueueLimit: 200, ConcurrentStarts: 16, ProgramMissFactor: 3, ProgramCacheSize: 8,
		WarmupPace: 0.5, WarmupDuration: siteConfig.Cluster.SlowStartDuration, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: slowStartLimit,
	}
	for job := range 3 {
		machine.JobProfiles = append(machine.JobProfiles, standin.JobProfile{StartWork: 10, MeanRuntime: 2500, MeanUse: 0.5, Priority: job, Deduplicated: job == 1})
	}
	var groups []*standin.Group
	for range siteConfig.Zones {
		groups = append(groups, standin.NewGroup())
	}
	for i := range r.Nodes {
		zone := i % len(siteConfig.Zones)
		n := &standin.Node{ID: uint32(i + 1), Zone: siteConfig.Zones[zone], Cell: siteConfig.Zones[zone], Kind: "plain", Jobs: 3, Tenants: 1}
		if err := r.testbed.StartNode(n, standin.NodeStart{Machine: machine, Group: groups[zone], Seed: r.Seed + uint64(i)}); err != nil {
			return err
		}
		if r.Relays {
			if err := r.addNodeRelay(n); err != nil {
				return err
			}
		}
		r.nodes = append(r.nodes, n)
		r.rules.Nodes[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	var err error
	if r.list, err = r.testbed.StartList(50, r.nodes, ""); err != nil || !r.Relays {
		return err
	}
	for _, x := range r.processes {
		callerOf := func([]byte) (string, bool) { return x.name, true }
		if x.listRelay, err = newRelay(r.list.Address, callerOf, r.routesTo("list")); err != nil {
			return err
		}
		if x.clientRelay, err = newRelay(func() string {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.address
		}, callerOf, r.routesTo("owner")); err != nil {
			return err
		}
	}
	return nil
}

// zoneElements returns the elements of the site file for the zones and the latencies between them.
func (r *Rig) zoneElements() string {
	var b strings.Builder
	names := []string{"east", "west", "north", "south", "inner", "outer"}[:max(2, r.Zones)]
	for i, z := range names {
		fmt.Fprintf(&b, `<zone name="%s" region="r%d"/>`, z, i/2)
	}
	for i, from := range names {
		for j, to := range names[:i] {
			if ms := 10; r.Localities {
				if i/2 == j/2 {
					ms = 1
				}
				fmt.Fprintf(&b, `<way from="%s" to="%s" takes="%dms"/>`, from, to, ms)
			}
		}
	}
	return b.String()
}

func (r *Rig) cores() int { return cmp.Or(r.Cores, 64) }

func (r *Rig) zoneOf(i int) string { return r.site.Zones[i%len(r.site.Zones)] }

// voterAttribute returns the attribute of the site file that names the voters, empty if there are none.
func (r *Rig) voterAttribute() string {
	if r.Voters == 0 {
		return ""
	}
	var names []string
	for _, x := range r.processes[:r.Voters] {
		names = append(names, x.name)
	}
	return fmt.Sprintf(` stewards="%s"`, strings.Join(names, " "))
}

// generateLoad sends requests at the configured rate, from each client in turn, until the rig ends.
func (r *Rig) generateLoad() {
	tick := time.NewTicker(time.Duration(1e9 / r.Rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		}
		job := i % 3
		key, service := fmt.Sprint("k", i), fmt.Sprint("v", job, i%23)
		jt := r.site.Cluster.JobClasses[job]
		r.processes[i%len(r.processes)].client.Request(&standin.Demand{
			Key: key, Tenant: "t", JobType: r.site.JobClasses[job], Service: service, Job: job,
			Semantics: audit.Semantics(jt.Semantics), Token: serve.Token("t", key), ServiceKey: serve.Service("t", service), Cores: 1, Memory: 1,
			Timeout: r.site.Deadlines[job], LatencyObjective: jt.LatencyObjective, GiveUpAt: r.testbed.Now() + r.site.Deadlines[job],
		})
	}
}
