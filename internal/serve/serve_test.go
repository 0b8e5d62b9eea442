package serve

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state"
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

// faultyEffects wraps the effects of a shard and replaces the methods for which it has a function.
type faultyEffects struct {
	engine.Effects
	answer func(e engine.Effects, request engine.RequestID, answer engine.Answer)
	offer  func(e engine.Effects, node uint32, offer engine.Offer)
}

func (p faultyEffects) Answer(request engine.RequestID, answer engine.Answer) {
	if p.answer == nil {
		p.Effects.Answer(request, answer)
	} else {
		p.answer(p.Effects, request, answer)
	}
}

func (p faultyEffects) Offer(node uint32, offer engine.Offer) {
	if p.offer == nil {
		p.Effects.Offer(node, offer)
	} else {
		p.offer(p.Effects, node, offer)
	}
}

func withOffer(f func(e engine.Effects, node uint32, offer engine.Offer)) Faults {
	return Faults{WrapEffects: func(e engine.Effects) engine.Effects { return faultyEffects{Effects: e, offer: f} }}
}

func withAnswer(f func(e engine.Effects, request engine.RequestID, answer engine.Answer)) Faults {
	return Faults{WrapEffects: func(e engine.Effects) engine.Effects { return faultyEffects{Effects: e, answer: f} }}
}

// injectedFault is a fault and the audit rule that it violates.
type injectedFault struct {
	name       string
	rule       int                  // 0: no rule may be violated
	jobs       string               // the mix of job classes
	cold       bool                 // all nodes start cold and warm up first
	disturb    func(s *testCluster) // called under load; may be nil
	extraTime  float64              // by which the load lasts longer than in other cases, ms
	changeSite func(p *site.Config) // may be nil
	faults     Faults
}

// test runs a scheduler with the fault and checks which rules are violated.
func (f *injectedFault) test(t *testing.T) {
	t.Helper()
	s := newTestCluster(t, 1, 8, f.cold)
	siteConfig := *s.siteConfig
	siteConfig.Cluster.JobClasses = append(siteConfig.Cluster.JobClasses[:0:0], siteConfig.Cluster.JobClasses...)
	siteConfig.Deadlines = append(siteConfig.Deadlines[:0:0], siteConfig.Deadlines...)
	if f.changeSite != nil {
		f.changeSite(&siteConfig)
		s.siteConfig.Deadlines = siteConfig.Deadlines
	}
	s.start(0, siteConfig, f.faults)
	s.load(2200, 50, f.jobs) // a scheduler without a saved node list starts all nodes slowly
	if f.disturb != nil {
		f.disturb(s)
	}
	s.load(2000+f.extraTime, 50, f.jobs)
	violations, served := s.violations()
	found := hasViolation(violations, f.rule)
	for more := 0; more < maxMoreLoads && f.rule > 0 && !found; more++ { // a machine that is busy made too few offers for the fault to show
		if f.cold {
			s.restartNodesCold()
		}
		s.load(2000, 50, f.jobs)
		violations, served = s.violations()
		found = hasViolation(violations, f.rule)
	}
	if f.rule == 0 && (len(violations) > 0 || served == 0) || f.rule > 0 && !found {
		t.Errorf("%d requests served, got violations %v, want rule %d (0: none)", served, violations[:min(3, len(violations))], f.rule)
	}
}

// maxMoreLoads is how often a case of TestInjectedFaults repeats its load until the fault is found.
const maxMoreLoads = 4

// restartNodesCold crashes all nodes and starts them cold again.
func (s *testCluster) restartNodesCold() {
	s.t.Helper()
	for _, n := range s.nodes {
		s.testbed.WithLock(func(now float64) { n.Crash(now) })
		waitFor(s.t, "the node listens again", func() bool { return n.Restart() == nil })
	}
}

// hasViolation reports whether a rule is among the violated ones.
func hasViolation(violations []audit.Violation, rule int) bool {
	return slices.ContainsFunc(violations, func(v audit.Violation) bool { return int(v.Rule) == rule })
}

// TestInjectedFaults injects faults into schedulers, at least two for each audit rule. The auditor must report a violation of that rule, and none
// without a fault.
func TestInjectedFaults(t *testing.T) { //nolint:funlen // a single table of cases
	loseAnswers := func(s *testCluster) {
		s.testbed.WithLock(func(float64) {
			for _, n := range s.nodes {
				n.Machine.AnswerLoss = 0.8
			}
		})
	}
	var lastLateOffer time.Time // only one case uses it, and that case runs one scheduler
	drain := func(s *testCluster) {
		s.testbed.WithLock(func(now float64) {
			s.nodes[0].Draining = true
			s.nodes[0].Machine.Drain(now, false, false)
		})
	}
	for _, f := range []injectedFault{
		{name: "no fault", jobs: "0012"},
		{name: "no fault, answers lost", jobs: "0012", disturb: loseAnswers},
		{name: "no fault, a node drains", jobs: "0012", disturb: drain},
		{name: "no fault, all nodes cold", jobs: "0012", cold: true},
		{name: "answer sent twice", rule: 1, jobs: "0", faults: Faults{RepeatAnswers: true}},
		{name: "answer missing", rule: 1, jobs: "0", faults: withAnswer(
			func(e engine.Effects, request engine.RequestID, answer engine.Answer) {
				if request.Number%5 != 0 {
					e.Answer(request, engine.Answer{Kind: answer.Kind, Node: answer.Node})
				}
			})},
		{name: "second attempt while the first is unresolved", rule: 2, jobs: "0", faults: withOffer(
			func(e engine.Effects, node uint32, offer engine.Offer) {
				e.Offer(node, offer)
				offer.Attempt.Number++
				e.Offer(node%4+1, offer)
			})},
		{name: "at-most-once request declined that may have run", rule: 2, jobs: "2", disturb: loseAnswers, faults: withAnswer(
			func(e engine.Effects, request engine.RequestID, answer engine.Answer) {
				if answer.Kind == engine.Failed {
					answer.Kind = engine.Declined
				}
				e.Answer(request, engine.Answer{Kind: answer.Kind, Node: answer.Node})
			})},
		{name: "attempt after the idempotency window", rule: 2, jobs: "1", disturb: loseAnswers, changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].IdempotencyWindow, p.Deadlines[1] = 60000, 6000
		}},
		{name: "idempotent class treated as restartable", rule: 2, jobs: "1", disturb: loseAnswers, changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].Semantics = 0
		}},
		{name: "late offer to a draining node", rule: 3, jobs: "0", disturb: drain, extraTime: 2000, faults: withOffer(
			func(e engine.Effects, node uint32, offer engine.Offer) {
				if time.Since(lastLateOffer) > 300*time.Millisecond { // each such offer ends the connection, because the engine does not know of it
					node, lastLateOffer = 1, time.Now()
				}
				e.Offer(node, offer)
			})},
		// The node rejects every offer, so the policy module sends it none for up to 2 s at a time.
		{name: "draining state of a node lost", rule: 3, jobs: "0", disturb: drain, extraTime: 6500, faults: Faults{ListEntry: func(en *state.Entry) {
			if en.Availability == 2 {
				en.Availability = 1
			}
		}}},
		{name: "too many offers to a cold node", rule: 4, jobs: "0", cold: true, faults: withOffer(
			func(e engine.Effects, _ uint32, offer engine.Offer) { e.Offer(1, offer) })},
		{name: "slow-start limit of a cold node too high", rule: 4, jobs: "0", cold: true, changeSite: func(p *site.Config) {
			p.Cluster.SlowStartLimit, p.Cluster.KindCores = 500, []float64{320}
		}},
		{name: "all tasks of a service at one node", rule: 5, jobs: "1", faults: withOffer(
			func(e engine.Effects, _ uint32, offer engine.Offer) { e.Offer(2, offer) })},
		{name: "spread limit too high", rule: 5, jobs: "1", changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].MaxPerScope = 50
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			f.test(t)
		})
	}
}

// startBadNode accepts connections, sends the text of a bad peer on them, and keeps the last BYE that it receives. ID in the text stands for the
// node's ID. then may be nil.
func startBadNode(t *testing.T, id uint32, text string, then func(net.Conn)) (addr string, lastBye func() string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	last := ""
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for line, err := in.ReadString('\n'); err == nil && line != "\r\n"; line, err = in.ReadString('\n') {
				}
				_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", fmt.Sprint(id))))
				if then != nil {
					then(conn)
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				for line, err := in.ReadString('\n'); err == nil; line, err = in.ReadString('\n') {
					if strings.HasPrefix(line, "BYE") {
						mu.Lock()
						last = line
						mu.Unlock()
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), func() string { mu.Lock(); defer mu.Unlock(); return last }
}

// refusingHost is the number of the loopback host at which nothing listens. Nodes of the test cluster have lower numbers.
const refusingHost = 249

// TestBadPeers runs bad nodes beside good ones: each bad connection ends with the expected reason, and no audit rule is violated.
func TestBadPeers(t *testing.T) {
	hello := node.GreetingLine + "\r\nNode: ID\r\nLife: 3\r\n\r\n"
	s := newTestCluster(t, 1, 4, false)
	cases := []struct {
		name, text, wantBye string
		then                func(net.Conn)
	}{
		{"endless line", hello + "HELD-ALL\n" + strings.Repeat("x", 100000), "too-long", nil},
		{"endless header", node.GreetingLine + "\r\n" + strings.Repeat("X-A: "+strings.Repeat("y", 900)+"\r\n", 300), "", nil},
		{"wrong node ID", strings.ReplaceAll(hello, "ID", "999"), "", nil},
		{"bad ticket", hello + "HELD-ALL\nSTARTED zz 0 1\n", "bad-ticket", nil},
		{"unknown attempt", hello + "HELD-ALL\nSTARTED ff 0 1\n", "unknown-try", nil},
		{"answer before HELD-ALL", hello + "STARTED ff 0 1\n", "HELD", nil},
		{"report without a probe", hello + "HELD-ALL\nREPORTED 9999999 1 2\n", "never-sent", nil},
		{"half closed", hello + "HELD-ALL\n", "EOF", func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }},
		{"silent", "", "", nil},
		{"immediate farewell", hello + "BYE enough\n", "farewell", nil},
	}
	var lastByes []func() string
	for i, c := range cases {
		addr, lastBye := startBadNode(t, uint32(100+i), c.text, c.then)
		lastByes = append(lastByes, lastBye)
		s.list.AddUnreachable(uint32(100+i), addr, "east", "east", "plain")
	}
	closed, err := net.Listen("tcp", standin.LoopbackHost(refusingHost)+":0") // on 127.0.0.1 another process could listen there soon
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 { // ten more nodes refuse connections
		s.list.AddUnreachable(uint32(200+i), closed.Addr().String(), "west", "west", "plain")
	}
	_ = closed.Close()
	s.start(0, *s.siteConfig, Faults{})
	s.load(2500, 40, "0012")
	violations, served := s.violations()
	if len(violations) > 0 || served < 30 {
		t.Errorf("%d requests served, want at least 30; got violations %v, want none", served, violations)
	}
	for i, c := range cases {
		if got := lastByes[i](); !strings.Contains(got, c.wantBye) {
			t.Errorf("%s: received BYE %q, want one with %q", c.name, got, c.wantBye)
		}
	}
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
