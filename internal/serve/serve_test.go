package serve

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

const testSite = `<site name="test">
  <cluster schedulers="%d" list="told" tries="4" cores-limit="2" memory-limit="1.5" mean-cores="1" mean-memory="2"/>
  <rules drain-grace="400ms" cold-bears="12" cold-for="6s" cold-window="1s" answer-margin="200ms" settle="600ms"/>
  <zone name="east"/><zone name="west"/>
  <machine kind="plain" cores="32" memory="64"/>
  <job-type name="free" effect="restartable" target="800ms" expiry="3s" value="1"/>
  <job-type name="keyed" effect="tokened" group="zone" window="1500ms" target="1s" expiry="3s" value="2" spread="node" most="3"/>
  <job-type name="once" effect="run-once" target="1s" expiry="1500ms" value="3"/>
  <tenant name="t" share="1"/>
  <limits open="5000"/>
  <node-list address="127.0.0.1:1"/>
  <owners listen="127.0.0.1:0"/>
</site>`

// testCluster consists of nodes, a list server, clients and schedulers that all run in this process.
type testCluster struct {
	t          *testing.T
	dir        string // created before the cleanup of the cluster is registered, so it is removed after that
	env        *env.Real
	testbed    *standin.Testbed
	ctx        context.Context //nolint:containedctx // ends with the test, and ends the schedulers
	stop       context.CancelFunc
	trace      *failureTrace
	siteConfig *site.Config
	nodes      []*standin.Node
	list       *standin.List
	rules      audit.Rules
	running    sync.WaitGroup
	clients    []*standin.Client
	lastKey    int
	planned    float64       // number of requests that load would have made on a machine that is not busy
	configure  func(*Config) // changes the configuration of a scheduler before it runs; may be nil
}

func newTestCluster(t *testing.T, schedulers, nodes int, cold bool) *testCluster {
	t.Helper()
	siteConfig, faults := site.Read(strings.NewReader(fmt.Sprintf(testSite, schedulers)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	environment := env.NewReal()
	s := &testCluster{t: t, dir: t.TempDir(), env: environment, testbed: standin.NewTestbed(environment), ctx: ctx, stop: stop, siteConfig: siteConfig}
	s.trace = &failureTrace{now: s.testbed.Now}
	s.rules = audit.Rules{
		Nodes: map[uint32]audit.Location{}, DrainGrace: siteConfig.DrainGrace, SlowStartLimit: 12, SlowStartDuration: 6000,
		SlowStartWindow: 1000, Slack: 400, Jobs: []audit.JobRules{
			{},
			{Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxPerDomain: 3},
			{Semantics: audit.AtMostOnce},
		},
	}
	machine := standin.MachineConfig{
		Cores: 32, Memory: 64, CoresLimit: 2, MemoryLimit: 1.5, InspectTime: 4, QueueLimit: 50, ConcurrentStarts: 8, ProgramMissFactor: 3,
		ProgramCacheSize: 8, WarmupPace: 0.5, WarmupDuration: 6000, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: 12,
	}
	for job := range 3 {
		machine.JobProfiles = append(machine.JobProfiles, standin.JobProfile{StartWork: 10, MeanRuntime: 2500, MeanUse: 0.5, Priority: job, Deduplicated: job == 1})
	}
	groups := []*standin.Group{standin.NewGroup(), standin.NewGroup()}
	for i := range nodes {
		n := &standin.Node{ID: uint32(i + 1), Zone: siteConfig.Zones[i%2], Cell: siteConfig.Zones[i%2], Kind: "plain", Jobs: 3, Tenants: 1}
		if err := s.testbed.StartNode(n, standin.NodeStart{Machine: machine, Group: groups[i%2], Seed: uint64(i), Cold: cold}); err != nil {
			t.Fatal(err)
		}
		s.nodes = append(s.nodes, n)
		s.rules.Nodes[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	var err error
	if s.list, err = s.testbed.StartList(50, s.nodes, ""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.end)
	return s
}

func (s *testCluster) end() {
	s.stop()
	s.running.Wait()
	s.env.Close(time.Second)
	s.trace.save(s)
}

// start runs a scheduler and connects a client to it.
func (s *testCluster) start(i int, siteConfig site.Config, faults Faults) {
	siteConfig.ListAddress = s.list.Address()
	name, ready := fmt.Sprintf("s%d", i), make(chan string, 1)
	s.testbed.Trace.Add(audit.Record{At: s.testbed.Now(), Kind: audit.SchedulerStarted, Scheduler: name})
	folder := filepath.Join(s.dir, name)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		config := Config{
			Site: &siteConfig, Name: name, Index: i, Folder: folder, Seed: uint64(i + 1), Log: s.trace.logger(name),
			Ready: func(a string) { ready <- a }, Faults: faults,
		}
		if s.configure != nil {
			s.configure(&config)
		}
		if err := Run(s.ctx, config); err != nil {
			s.t.Error(err)
		}
	}()
	addr := <-ready
	client := &standin.Client{ID: i, Scheduler: name, SchedulerAddress: func() string { return addr }, SettleTime: siteConfig.SettleTime}
	s.clients = append(s.clients, client)
	s.testbed.StartClient(client, uint64(i))
}

// startServer starts a scheduler with one or two shards, with a limit of two, and returns it.
func (s *testCluster) startServer(shards int, faults Faults) *Server {
	siteConfig := *s.siteConfig
	siteConfig.Shards, siteConfig.MaxShards = shards, 2
	started := make(chan *Server, 1)
	s.configure = func(config *Config) { config.OnLocalListener = func(l *LocalListener) { started <- l.server } }
	s.start(0, siteConfig, faults)
	return <-started
}

// load makes requests at a rate per second for a duration in ms. jobs is the mix of job classes, one digit for each.
func (s *testCluster) load(duration, rate float64, jobs string) {
	s.planned += duration * rate / 1000
	for end := s.testbed.Now() + duration; s.testbed.Now() < end; {
		s.lastKey++
		job := int(jobs[s.lastKey%len(jobs)] - '0')
		key, service := fmt.Sprint("k", s.lastKey), fmt.Sprint("v", job, s.lastKey%5)
		class := s.siteConfig.Cluster.JobClasses[job]
		s.clients[s.lastKey%len(s.clients)].Request(&standin.Demand{
			Key: key, Tenant: "t", JobType: s.siteConfig.JobClasses[job], Service: service,
			Job: job, Semantics: audit.Semantics(class.Semantics), Token: Token("t", key), ServiceKey: Service("t", service), Cores: 1, Memory: 1,
			Timeout: s.siteConfig.Deadlines[job], LatencyObjective: class.LatencyObjective, GiveUpAt: end,
		})
		time.Sleep(time.Duration(1e9 / rate))
	}
}

// minServed returns how many requests have to be served. wanted is the number for a load that made all its requests. On a busy machine load
// falls behind and leaves requests out; the number is reduced by the fraction of requests that were not made.
func (s *testCluster) minServed(wanted int) int {
	return int(float64(wanted) * min(1, float64(s.lastKey)/s.planned))
}

// violations waits until every request is answered or overdue, and returns the violations of the audit rules and the number of served requests.
func (s *testCluster) violations() ([]audit.Violation, int) {
	time.Sleep(3600 * time.Millisecond) // longer than any deadline
	records, served := s.testbed.Trace.Records(), 0
	for _, c := range s.clients {
		for _, outcome := range c.Outcomes() {
			if outcome.Result == "served" {
				served++
			}
		}
	}
	return audit.Check(records, s.rules), served
}

// TestManyConnections has a scheduler connect to 2,000 nodes at once.
func TestManyConnections(t *testing.T) {
	const nodes = 2000
	s := newTestCluster(t, 1, nodes, false)
	s.start(0, *s.siteConfig, Faults{})
	for range 1200 {
		connected := 0
		s.testbed.WithLock(func(float64) {
			for _, n := range s.nodes {
				connected += n.Connections()
			}
		})
		if connected == nodes {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("not all nodes connected after 24 s")
}

// TestTwoSchedulers runs two schedulers that share cold nodes.
func TestTwoSchedulers(t *testing.T) {
	s := newTestCluster(t, 2, 4, true)
	s.start(0, *s.siteConfig, Faults{})
	s.start(1, *s.siteConfig, Faults{})
	s.load(2500, 80, "0012")
	if violations, served := s.violations(); len(violations) > 0 || served < 40 {
		t.Errorf("%d requests served, want at least 40; got violations %v, want none", served, violations)
	}
}

// TestSlowReader sends to a node that reads nothing: the connection is closed.
func TestSlowReader(t *testing.T) {
	environment := env.NewReal()
	defer environment.Close(time.Second)
	local, remote := net.Pipe() // nobody reads from remote
	defer func() { _ = remote.Close() }()
	environment.Connect = func(context.Context, string) (net.Conn, error) { return local, nil }
	s := &shardSet{process: &process{config: Config{Site: &site.Config{NodeQueue: 100}}, env: environment}}
	links := make(chan *nodeLink, 1)
	environment.Dial("", 1000, func(conn env.Conn, _ error) {
		l := &nodeLink{set: s, connections: &nodeConnections{set: s, dialing: map[uint32]bool{}}, conn: conn}
		conn.Start(l, 1000)
		links <- l
	})
	l := <-links
	for i := range uint64(60) {
		l.send(func(b []byte) []byte { return node.AppendProbe(b, i) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed || !strings.HasPrefix(l.reason, "slow reader") {
		t.Errorf("got closed %t with reason %q, want closed as a slow reader", l.closed, l.reason)
	}
}
