// Package tenants measures a scheduler that serves many tenants over sockets. In one trial, a tenant floods the scheduler, and the service of each
// tenant is compared with its service in a trial without the flood. In another, tenants are removed while they send requests.
package tenants

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/env"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state/tenants"
)

const siteText = `<site name="clubs">
  <cluster schedulers="1" list="told" tries="4" cores-limit="1" memory-limit="1" mean-cores="1" mean-memory="2"/>
  <rules drain-grace="2s" cold-bears="100000" cold-for="10ms" cold-window="10ms" answer-margin="100ms" settle="600ms"/>
  <zone name="one"/>
  <machine kind="plain" cores="32" memory="64"/>
  <job-type name="check" effect="restartable" target="500ms" expiry="2s" value="1"/>
  <job-type name="score" effect="run-once" target="1s" expiry="3s" value="3"/>
  %s
  <limits open="20000"/>
  <shards count="%d" most="%d"/>
  <node-list address="127.0.0.1:1"/>
  <owners listen="127.0.0.1:0"/>
</site>`

const (
	cores         = 32     // cores of a node
	taskRuntime   = 2000.0 // mean run time of a task, in ms
	calmLoad      = 0.6    // fraction of its share that a calm tenant requests
	scoreInterval = 4      // a tenant's requests from one of the job class "score" to the next
)

// Trial is the configuration of a trial.
type Trial struct {
	Tenants        int
	Nodes          int
	Shards         int
	Flood          float64 // factor of its share that the first tenant requests; 0: the same as the others
	Unqueued       bool    // the tenants are those of the site file, without fair queues
	ReconnectFlood bool    // a client without a token reconnects continuously
	TLS            bool    // clients connect over TLS
	FirstShare     float64 // injected fault: share of the first tenant in the store, where the others have 1; 0: also 1
	HalfOpen       int     // number of TLS handshakes that are held open during the whole trial
	Duration       time.Duration
	Seed           uint64
}

// TenantResult is the service that a tenant received.
type TenantResult struct {
	Requests, Served, InTime int
	Value, Offered           float64 // value of the requests served in time, and of all requests
	P99                      float64 // start latency of the served requests, in ms
	latencies                []float64
	Unanswered               int // requests without an answer
	SecondStarts             int // second starts of at-most-once tasks
}

// Times of a trial.
const (
	startupTime     = 1800 * time.Millisecond // from the start of the scheduler until requests are sent
	clientStartTime = 300 * time.Millisecond  // the last part of startupTime, in which clients connect
	answerTime      = 3500 * time.Millisecond // time after the last request until all are answered or overdue
)

// trialRun is a trial that is running.
type trialRun struct {
	Trial
	testbed *standin.Testbed
	site    *site.Config
	tokens  []string // of the tenants, by index
	clients []*standin.Client
	end     time.Time // when the last requests are sent
}

// Play runs a trial and returns the result of each tenant. The first tenant is the one that floods.
func Play(ctx context.Context, trial Trial) (results []TenantResult, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp("", "ravenpond-clubs-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	environment := env.NewReal()
	defer environment.Close(time.Second)
	r := &trialRun{Trial: trial, testbed: standin.NewTestbed(environment)}
	if err := r.prepare(dir); err != nil {
		return nil, err
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	config := serve.Config{Site: r.site, Name: "s0", Folder: dir, Seed: trial.Seed, Log: zerolog.Nop(), Ready: func(address string) { ready <- address }}
	if trial.TLS {
		if config.TLS, environment.Connect, err = newAuthority(filepath.Join(dir, "keys")); err != nil {
			return nil, err
		}
	}
	go func() { ended <- serve.Run(ctx, config) }()
	select {
	case address := <-ready:
		r.load(ctx, address)
	case err := <-ended:
		return nil, err
	}
	results = tally(r.testbed.Trace.Records(), r.clients)
	stop()
	return results, <-ended
}

// prepare reads the site, adds the tenants to the store, and starts the nodes and the node list.
func (r *trialRun) prepare(dir string) error {
	elements := fmt.Sprintf("<hosting tenants=\"%d\"/>", r.Tenants)
	if r.Unqueued {
		var b strings.Builder
		for i := range r.Tenants {
			fmt.Fprintf(&b, "<tenant name=%q share=%q/>", tenantName(i), fmt.Sprint(1/float64(r.Tenants)))
		}
		elements = b.String()
	}
	config, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, elements, r.Shards, r.Shards)))
	if len(faults) > 0 {
		return fmt.Errorf("site file of the trial: %s", faults[0])
	}
	r.site = config
	var err error
	if r.tokens, err = addTenants(dir, r.Trial); err != nil {
		return err
	}
	nodes, err := startNodes(r.testbed, r.Trial)
	if err != nil {
		return err
	}
	list, err := r.testbed.StartList(0, nodes, "")
	if err != nil {
		return err
	}
	r.site.ListAddress = list.Address()
	return nil
}

// load sends the requests of all tenants to the scheduler, and waits until they are answered or overdue.
func (r *trialRun) load(ctx context.Context, address string) {
	var senders sync.WaitGroup
	for range r.HalfOpen {
		senders.Go(func() { stallHandshakes(ctx, time.Now().Add(startupTime+r.Duration), address) })
	}
	time.Sleep(startupTime - clientStartTime)
	for i := range r.Tenants {
		c := &standin.Client{
			ID: i, Scheduler: "s0", SchedulerAddress: func() string { return address }, SettleTime: r.site.SettleTime, AuthToken: r.tokens[i],
		}
		r.clients = append(r.clients, c)
		r.testbed.StartClient(c, uint64(i))
	}
	time.Sleep(clientStartTime)
	r.end = time.Now().Add(r.Duration)
	if r.ReconnectFlood {
		senders.Go(func() { reconnectRepeatedly(r.end, address) })
	}
	share := float64(r.Nodes*cores) / (taskRuntime / 1000) / float64(r.Tenants)
	for i := range r.clients {
		rate := calmLoad * share
		if i == 0 && r.Flood > 0 {
			rate = r.Flood * share
		}
		senders.Go(func() { r.sendRequests(i, rate) })
	}
	senders.Wait()
	time.Sleep(answerTime)
}

func tenantName(i int) string { return fmt.Sprintf("club-%02d", i) }

// addTenants adds the tenants to the store and returns their tokens.
func addTenants(dir string, trial Trial) (tokens []string, err error) {
	tokens = make([]string, trial.Tenants)
	if trial.Unqueued {
		return tokens, nil
	}
	store, err := tenants.Open(dir, trial.Tenants)
	if err != nil {
		return nil, err
	}
	defer func() { _ = store.Close() }()
	for i := range trial.Tenants {
		share := 1.0
		if i == 0 && trial.FirstShare > 0 {
			share = trial.FirstShare
		}
		_, fault, err := store.Apply(time.Now(), "lab", "", tenancy.Change{
			Kind: tenancy.Add, Name: tenantName(i),
			Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: share, MaxWaiting: 400}},
		})
		if fault != nil {
			return nil, fault
		} else if err != nil {
			return nil, err
		}
		if tokens[i], err = store.IssueToken(time.Now(), "lab", tenantName(i), time.Hour); err != nil {
			return nil, err
		}
	}
	return tokens, nil
}

func startNodes(testbed *standin.Testbed, trial Trial) (nodes []*standin.Node, err error) {
	machine := standin.MachineConfig{
		Cores: cores, Memory: 2 * cores, CoresLimit: 1, MemoryLimit: 1, InspectTime: 1, QueueLimit: 4000, ConcurrentStarts: 64, ProgramMissFactor: 1,
		ProgramCacheSize: 64, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e12, OverloadWindow: 1, SlowStartLimit: 1 << 30,
	}
	for job := range 2 {
		machine.JobProfiles = append(machine.JobProfiles, standin.JobProfile{StartWork: 2, MeanRuntime: taskRuntime, MeanUse: 0.5, Priority: job})
	}
	group := standin.NewGroup()
	for i := range trial.Nodes {
		n := &standin.Node{ID: uint32(i + 1), Zone: "one", Cell: "one", Kind: "plain", Jobs: 2, Tenants: trial.Tenants}
		if err := testbed.StartNode(n, standin.NodeStart{Machine: machine, Group: group, Seed: trial.Seed + uint64(i)}); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// sendRequests sends a tenant's requests in an open loop, at a rate per second. No request is sent twice.
func (r *trialRun) sendRequests(tenantIndex int, rate float64) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(tenantIndex)+40))
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if at.After(r.end) {
			return
		}
		time.Sleep(time.Until(at))
		job := 0
		if n%scoreInterval == 0 {
			job = 1
		}
		key, service, tenant := fmt.Sprint("k", n), fmt.Sprint("v", job, n%3), tenantName(tenantIndex)
		class := r.site.Cluster.JobClasses[job]
		r.clients[tenantIndex].Request(&standin.Demand{
			Key: key, Tenant: tenant, JobType: r.site.JobClasses[job], Service: service, Job: job, Semantics: audit.Semantics(class.Semantics),
			Token: serve.Token(tenant, key), ServiceKey: serve.Service(tenant, service), Cores: 1, Memory: 2,
			Timeout: r.site.Deadlines[job], LatencyObjective: class.LatencyObjective, GiveUpAt: r.testbed.Now() + 50,
		})
	}
}

// tally computes the result of each tenant.
func tally(records []audit.Record, clients []*standin.Client) []TenantResult {
	all := make([]TenantResult, len(clients))
	value := [...]float64{1, 3}
	latencies := make([][]float64, len(clients))
	for i, o := range clients {
		for _, t := range o.Outcomes() {
			g := &all[i]
			g.Requests++
			g.Offered += value[t.Job]
			switch t.Result {
			case "served":
				g.Served++
				latencies[i] = append(latencies[i], t.Latency)
				if t.InTime {
					g.InTime++
					g.Value += value[t.Job]
				}
			case "none":
				g.Unanswered++
			}
		}
		slices.Sort(latencies[i])
		if n := len(latencies[i]); n > 0 {
			all[i].P99 = latencies[i][int(0.99*float64(n-1))]
		}
		all[i].latencies = latencies[i]
	}
	clientOf, starts := map[uint64]int{}, map[uint64]int{}
	for _, r := range records {
		if r.Kind == audit.RequestSent && r.Job == 1 {
			clientOf[r.Token] = r.Client
		}
	}
	for _, r := range records {
		if i, ok := clientOf[r.Token]; ok && r.Kind == audit.TaskStarted {
			if starts[r.Token]++; starts[r.Token] > 1 {
				all[i].SecondStarts++
			}
		}
	}
	return all
}

// CompareFlood runs and compares three trials: one without a flood, one with a flood and fair queues, and one with the same flood without fair queues. It
// returns the lowest ratio, over the calm tenants, of the value fraction with flood and fair queues to that without a flood, at most 1.
func CompareFlood(ctx context.Context, out io.Writer, day Trial) (worst float64, err error) {
	calm, flood, plain := day, day, day
	calm.Flood, plain.Unqueued, plain.ReconnectFlood = 0, true, false
	var got [3][]TenantResult
	for i, d := range []Trial{calm, flood, plain} {
		if got[i], err = Play(ctx, d); err != nil {
			return 0, err
		}
	}
	fmt.Fprintf(out, "%d tenants, %d nodes of %d cores, %d shards, %s a day; the first asks for %g times its share, the others for %g\n", day.Tenants,
		day.Nodes, cores, day.Shards, day.Duration, day.Flood, calmLoad)
	fmt.Fprintf(out, "%-10s %28s %38s %38s\n", "", "calm day", "flood, with lines", "flood, without lines")
	fmt.Fprintf(out, "%-10s %8s %9s %9s %8s %9s %9s %9s %8s %9s %9s %9s\n", "tenant", "asked", "value", "p99 ms", "asked", "value",
		"of calm", "p99 ms", "asked", "value", "of calm", "p99 ms")
	worst = 1
	valueFraction := func(g TenantResult) float64 { return g.Value / max(1, g.Offered) }
	unanswered, secondStarts := 0, 0
	for i := range got[0] {
		c, f, p := got[0][i], got[1][i], got[2][i]
		of := func(g TenantResult) float64 { return valueFraction(g) / max(1e-9, valueFraction(c)) }
		fmt.Fprintf(out, "%-10s %8d %9.3f %9.0f %8d %9.3f %9.3f %9.0f %8d %9.3f %9.3f %9.0f\n", tenantName(i), c.Requests, valueFraction(c), c.P99,
			f.Requests, valueFraction(f), of(f), f.P99, p.Requests, valueFraction(p), of(p), p.P99)
		if i > 0 {
			worst = min(worst, of(f))
		}
		unanswered, secondStarts = unanswered+c.Unanswered+f.Unanswered, secondStarts+c.SecondStarts+f.SecondStarts
	}
	served := func(all []TenantResult) (n float64) {
		for _, g := range all {
			n += float64(g.Served)
		}
		return n / day.Duration.Seconds()
	}
	calmP99 := func(all []TenantResult) float64 { // of all calm tenants together: a single one has too few requests for a 99th percentile
		var took []float64
		for _, g := range all[1:] {
			took = append(took, g.latencies...)
		}
		if slices.Sort(took); len(took) == 0 {
			return 0
		}
		return took[int(0.99*float64(len(took)-1))]
	}
	c, f, p := calmP99(got[0]), calmP99(got[1]), calmP99(got[2])
	fmt.Fprintf(out, "p99 of the calm tenants together: calm day %.1f ms, flood with lines %.1f (%.2f times), without %.0f\n", c, f, f/max(c, 1e-9), p)
	fmt.Fprintf(out, "served a second: calm day %.0f, flood with lines %.0f, without %.0f, of %.0f that the nodes carry\n", served(got[0]),
		served(got[1]), served(got[2]), float64(day.Nodes*cores)/(taskRuntime/1000))
	fmt.Fprintf(out, "worst calm tenant: %.3f of its calm day's value\nunanswered: %d\nsecond starts: %d\n", worst, unanswered, secondStarts)
	return worst, nil
}

// reconnectRepeatedly opens and closes connections until the end, and never sends a token.
func reconnectRepeatedly(end time.Time, addr string) {
	for time.Now().Before(end) {
		w := env.NewReal()
		w.Dial(addr, 500, func(conn env.Conn, err error) {
			if err == nil {
				conn.Start(discardHandler{}, 500)
				conn.Send(func(b []byte) []byte { return append(b, "Content-Length: 9\r\n\r\n"...) })
			}
		})
		time.Sleep(time.Millisecond)
		w.Close(10 * time.Millisecond)
	}
}

// discardHandler ignores what a connection receives.
type discardHandler struct{}

func (discardHandler) OnData([]byte) {}
func (discardHandler) OnClose(error) {}
