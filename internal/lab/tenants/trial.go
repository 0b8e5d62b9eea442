// Package tenants plays a hosted service: many tenants on sockets, one of which floods, and tenants that are removed while they
// ask. It tells what each tenant got beside what it gets on a calm day.
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
	cores         = 32     // of a node
	taskRuntime   = 2000.0 // ms that an allocation runs
	calmLoad      = 0.6    // of its share that a calm tenant asks for
	scoreInterval = 4      // every so many asks of a tenant are for scoring
)

// startupTime is how long a day takes to begin.
const startupTime = 1800 * time.Millisecond

// Trial is a trial.
type Trial struct {
	Tenants        int
	Nodes          int
	Shards         int
	Flood          float64 // times its share that the first tenant asks for, 0: as calm as the others
	Unqueued       bool    // the site file's tenants, without lines in front
	ReconnectFlood bool    // somebody without a token connects anew without end
	TLS            bool    // the owners' door speaks TLS
	FirstShare     float64 // planted: times its share that the first tenant is taken to have, 0: once
	HalfOpen       int     // handshakes that are begun there and never ended, all day
	Duration       time.Duration
	Seed           uint64
}

// TenantResult is what a tenant got.
type TenantResult struct {
	Requests, Served, InTime int
	Value, Offered           float64 // of what was served in time, and of all it asked for
	P99                      float64 // ms from ask to start of what was served
	latencies                []float64
	Unanswered               int // asks without an answer
	SecondStarts             int // second starts of scoring
}

// Play plays a day and tells what each tenant got, the flooding one first.
func Play(ctx context.Context, day Trial) (all []TenantResult, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	who := fmt.Sprintf("<hosting tenants=\"%d\"/>", day.Tenants)
	if day.Unqueued {
		var b strings.Builder
		for i := range day.Tenants {
			fmt.Fprintf(&b, "<tenant name=%q share=%q/>", tenantName(i), fmt.Sprint(1/float64(day.Tenants)))
		}
		who = b.String()
	}
	place, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, who, day.Shards, day.Shards)))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site of the clubs: %s", faults[0])
	}
	dir, err := os.MkdirTemp("", "ravenpond-clubs-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	tokens, err := addTenants(dir, day)
	if err != nil {
		return nil, err
	}
	real := env.NewReal()
	defer real.Close(time.Second)
	w := standin.NewTestbed(real)
	nodes, err := startNodes(w, day)
	if err != nil {
		return nil, err
	}
	list, err := w.StartList(0, nodes, "")
	if err != nil {
		return nil, err
	}
	place.ListAddress = list.Address()
	ready, ended := make(chan string, 1), make(chan error, 1)
	sched := serve.Config{Site: place, Name: "s0", Folder: dir, Seed: day.Seed, Log: zerolog.Nop(), Ready: func(a string) { ready <- a }}
	if day.TLS {
		if sched.TLS, real.Connect, err = newAuthority(filepath.Join(dir, "keys")); err != nil {
			return nil, err
		}
	}
	go func() { ended <- serve.Run(ctx, sched) }()
	var addr string
	select {
	case addr = <-ready:
	case err := <-ended:
		return nil, err
	}
	var asking sync.WaitGroup
	for range day.HalfOpen { // before the owners come
		asking.Go(func() { halfOpen(ctx, time.Now().Add(startupTime+day.Duration), addr) })
	}
	time.Sleep(startupTime - 300*time.Millisecond) // connections, and the pace of the first moments
	var owners []*standin.Client
	for i := range day.Tenants {
		o := &standin.Client{ID: i, Scheduler: "s0", SchedulerAddress: func() string { return addr }, SettleTime: place.SettleTime, AuthToken: tokens[i]}
		owners = append(owners, o)
		w.StartClient(o, uint64(i))
	}
	time.Sleep(300 * time.Millisecond)
	end := time.Now().Add(day.Duration)
	if day.ReconnectFlood {
		asking.Go(func() { reconnectForever(end, addr) })
	}
	share := float64(day.Nodes*cores) / (taskRuntime / 1000) / float64(day.Tenants)
	for i, o := range owners {
		rate := calmLoad * share
		if i == 0 && day.Flood > 0 {
			rate = day.Flood * share
		}
		asking.Go(func() { sendRequests(w, place, o, i, rate, end, day.Seed) })
	}
	asking.Wait()
	time.Sleep(3500 * time.Millisecond) // every ask is answered or overdue
	all = tally(w.Trace.Records(), owners)
	stop()
	return all, <-ended
}

func tenantName(i int) string { return fmt.Sprintf("club-%02d", i) }

// addTenants puts the tenants into the store.
func addTenants(dir string, day Trial) (tokens []string, err error) {
	tokens = make([]string, day.Tenants)
	if day.Unqueued {
		return tokens, nil
	}
	store, err := tenants.Open(dir, day.Tenants)
	if err != nil {
		return nil, err
	}
	defer store.Close()
	for i := range day.Tenants {
		share := 1.0
		if i == 0 && day.FirstShare > 0 {
			share = day.FirstShare
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

func startNodes(w *standin.Testbed, day Trial) (nodes []*standin.Node, err error) {
	mk := standin.MachineConfig{
		Cores: cores, Memory: 2 * cores, CoresLimit: 1, MemoryLimit: 1, InspectTime: 1, QueueLimit: 4000, ConcurrentStarts: 64, ProgramMissFactor: 1,
		ProgramCacheSize: 64, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e12, OverloadWindow: 1, SlowStartLimit: 1 << 30,
	}
	for job := range 2 {
		mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{StartWork: 2, MeanRuntime: taskRuntime, MeanUse: 0.5, Priority: job})
	}
	group := standin.NewGroup()
	for i := range day.Nodes {
		n := &standin.Node{ID: uint32(i + 1), Zone: "one", Cell: "one", Kind: "plain", Jobs: 2, Tenants: day.Tenants}
		if err := w.StartNode(n, standin.NodeStart{Machine: mk, Group: group, Seed: day.Seed + uint64(i)}); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// sendRequests asks for a tenant at a rate, whatever becomes of it; nothing is asked for twice.
func sendRequests(w *standin.Testbed, place *site.Config, o *standin.Client, i int, rate float64, end time.Time, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)+40))
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
		if at.After(end) {
			return
		}
		time.Sleep(time.Until(at))
		job := 0
		if n%scoreInterval == 0 {
			job = 1
		}
		key, service, tenant := fmt.Sprint("k", n), fmt.Sprint("v", job, n%3), tenantName(i)
		jt := place.Cluster.JobClasses[job]
		o.Request(&standin.Demand{
			Key: key, Tenant: tenant, JobType: place.JobClasses[job], Service: service, Job: job, Semantics: audit.Semantics(jt.Semantics),
			Token: serve.Token(tenant, key), ServiceKey: serve.Service(tenant, service), Cores: 1, Memory: 2,
			Timeout: place.Deadlines[job], LatencyObjective: jt.LatencyObjective, GiveUpAt: w.Now() + 50,
		})
	}
}

// count tells from the trace what each tenant got.

func tally(records []audit.Record, owners []*standin.Client) []TenantResult {
	all := make([]TenantResult, len(owners))
	value := [...]float64{1, 3}
	took := make([][]float64, len(owners))
	for i, o := range owners {
		for _, t := range o.Outcomes() {
			g := &all[i]
			g.Requests++
			g.Offered += value[t.Job]
			switch t.Result {
			case "served":
				g.Served++
				took[i] = append(took[i], t.Latency)
				if t.InTime {
					g.InTime++
					g.Value += value[t.Job]
				}
			case "none":
				g.Unanswered++
			}
		}
		slices.Sort(took[i])
		if n := len(took[i]); n > 0 {
			all[i].P99 = took[i][int(0.99*float64(n-1))]
		}
		all[i].latencies = took[i]
	}
	of, starts := map[uint64]int{}, map[uint64]int{}
	for _, r := range records {
		if r.Kind == audit.RequestSent && r.Job == 1 {
			of[r.Token] = r.Client
		}
	}
	for _, r := range records {
		if i, ok := of[r.Token]; ok && r.Kind == audit.TaskStarted {
			if starts[r.Token]++; starts[r.Token] > 1 {
				all[i].SecondStarts++
			}
		}
	}
	return all
}

// Table compares days: a calm one, one with a flood behind the lines, and one with the same flood without them.
func Table(ctx context.Context, out io.Writer, day Trial) (worst float64, err error) {
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
	part := func(g TenantResult) float64 { return g.Value / max(1, g.Offered) }
	none, seconds := 0, 0
	for i := range got[0] {
		c, f, p := got[0][i], got[1][i], got[2][i]
		of := func(g TenantResult) float64 { return part(g) / max(1e-9, part(c)) }
		fmt.Fprintf(out, "%-10s %8d %9.3f %9.0f %8d %9.3f %9.3f %9.0f %8d %9.3f %9.3f %9.0f\n", tenantName(i), c.Requests, part(c), c.P99,
			f.Requests, part(f), of(f), f.P99, p.Requests, part(p), of(p), p.P99)
		if i > 0 {
			worst = min(worst, of(f))
		}
		none, seconds = none+c.Unanswered+f.Unanswered, seconds+c.SecondStarts+f.SecondStarts
	}
	served := func(all []TenantResult) (n float64) {
		for _, g := range all {
			n += float64(g.Served)
		}
		return n / day.Duration.Seconds()
	}
	late := func(all []TenantResult) float64 { // of the calm tenants together: each alone has too few for a 99th percentile
		var took []float64
		for _, g := range all[1:] {
			took = append(took, g.latencies...)
		}
		if slices.Sort(took); len(took) == 0 {
			return 0
		}
		return took[int(0.99*float64(len(took)-1))]
	}
	c, f, p := late(got[0]), late(got[1]), late(got[2])
	fmt.Fprintf(out, "p99 of the calm tenants together: calm day %.1f ms, flood with lines %.1f (%.2f times), without %.0f\n", c, f, f/max(c, 1e-9), p)
	fmt.Fprintf(out, "served a second: calm day %.0f, flood with lines %.0f, without %.0f, of %.0f that the nodes carry\n", served(got[0]),
		served(got[1]), served(got[2]), float64(day.Nodes*cores)/(taskRuntime/1000))
	fmt.Fprintf(out, "worst calm tenant: %.3f of its calm day's value\nunanswered: %d\nsecond starts: %d\n", worst, none, seconds)
	return worst, nil
}

// reconnectForever connects anew without end and never shows a token.
func reconnectForever(end time.Time, addr string) {
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

type discardHandler struct{}

func (discardHandler) OnData([]byte) {}
func (discardHandler) OnClose(error) {}
