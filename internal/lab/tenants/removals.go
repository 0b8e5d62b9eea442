package tenants

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/spawn"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// RemovalTrial is a trial of removals under load, with a scheduler process that is killed in between.
type RemovalTrial struct {
	Command           []string // that runs the program
	Rounds            int
	TenantsPerRound   int // tenants that are removed in a round
	RequestsPerTenant int // of each
	Nodes             int
	Seed              uint64
}

// RemovalResult is what came of it.
type RemovalResult struct {
	Tenants, Requests, Kills              int
	Served, Declined, Failed              int
	CutOff, Unanswered                    int // given up as the process was killed; without an answer though it lived
	SecondStarts, HeldAtNodes, NotRemoved int // second starts of scoring; tries still held at nodes; tenants whose removal did not end
}

// removalRun is the world of the trial.
type removalRun struct {
	RemovalTrial
	testbed *standin.Testbed
	site    *site.Config
	dir     string
	path    string
	log     *os.File
	mu      sync.Mutex
	address string
	command *exec.Cmd
}

// Play plays it.
func (r RemovalTrial) Play(ctx context.Context) (out RemovalResult, err error) {
	slots := r.Rounds * r.TenantsPerRound
	text := fmt.Sprintf(siteText, fmt.Sprintf("<hosting tenants=\"%d\"/>", slots), 2, 2)
	text = strings.Replace(text, `<limits open="20000"/>`, `<limits open="20000" owners="20000"/>`, 1)
	dir, err := os.MkdirTemp("", "ravenpond-removals-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	real := env.NewReal()
	defer real.Close(time.Second)
	p := &removalRun{RemovalTrial: r, testbed: standin.NewTestbed(real), dir: dir, path: filepath.Join(dir, "site.xml")}
	nodes, err := startNodes(p.testbed, Trial{Tenants: slots, Nodes: r.Nodes, Seed: r.Seed})
	if err != nil {
		return out, err
	}
	list, err := p.testbed.StartList(0, nodes, "")
	if err != nil {
		return out, err
	}
	text = strings.Replace(text, "127.0.0.1:1\"", list.Address()+"\"", 1)
	place, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return out, fmt.Errorf("site of the removals: %s", faults[0])
	}
	p.site = place
	if err := os.WriteFile(p.path, []byte(text), 0o640); err != nil {
		return out, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return out, err
	}
	defer p.log.Close()
	if err := p.start(ctx); err != nil {
		return out, err
	}
	defer func() { p.kill() }()
	rng := rand.New(rand.NewPCG(r.Seed, 8))
	var owners []*standin.Client
	for round := range r.Rounds {
		made, err := p.round(ctx, rng, round)
		if err != nil {
			return out, err
		}
		owners = append(owners, made...)
		out.Kills++
	}
	time.Sleep(4 * time.Second) // every ask is answered or overdue
	for _, o := range owners {
		for _, t := range o.Outcomes() {
			out.Requests++
			switch t.Result {
			case "served":
				out.Served++
			case "declined":
				out.Declined++
			case "failed":
				out.Failed++
			case "cut-off":
				out.CutOff++
			default:
				out.Unanswered++
			}
		}
	}
	score, starts := map[uint64]bool{}, map[uint64]int{}
	records := p.testbed.Trace.Records()
	for _, rec := range records {
		if rec.Kind == audit.RequestSent && rec.Job == 1 {
			score[rec.Token] = true
		}
	}
	for _, rec := range records {
		if rec.Kind == audit.TaskStarted && score[rec.Token] {
			if starts[rec.Token]++; starts[rec.Token] > 1 {
				out.SecondStarts++
			}
		}
	}
	p.testbed.WithLock(func(float64) {
		for _, n := range nodes {
			out.HeldAtNodes += n.Machine.TaskCount()
		}
	})
	err = p.withStore(func(st *tenants.Store) error {
		all, err := st.Read()
		if err != nil {
			return err
		}
		for _, t := range all.Tenants.All() {
			if out.Tenants++; t.State != tenancy.Removed {
				out.NotRemoved++
			}
		}
		return st.Records(1, func(uint64, tenants.Record) error { return nil })
	})
	return out, err
}

// round adds tenants, lets them ask, removes them meanwhile, kills the process at some moment of that, and waits until the
// removals are over.
func (p *removalRun) round(ctx context.Context, rng *rand.Rand, round int) (owners []*standin.Client, err error) {
	var names, tokens []string
	for i := range p.TenantsPerRound {
		names = append(names, fmt.Sprintf("r%d-%d", round, i))
	}
	if err := p.withStore(func(st *tenants.Store) error {
		for _, name := range names {
			if err := p.change(st, tenancy.Change{Kind: tenancy.Add, Name: name, Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 100}}}); err != nil {
				return err
			}
			token, err := st.IssueToken(time.Now(), "lab", name, time.Hour)
			if err != nil {
				return err
			}
			tokens = append(tokens, token)
		}
		return nil
	}); err != nil {
		return nil, err
	}
	time.Sleep(1200 * time.Millisecond)      // the process has read them
	at := make([]float64, p.TenantsPerRound) // when each is removed, ms from now
	for i := range at {
		at[i] = float64(2500 * (i + 1) / p.TenantsPerRound)
	}
	began := time.Now()
	for i, name := range names {
		o := &standin.Client{ID: round*p.TenantsPerRound + i, Scheduler: "s0", SettleTime: 600, AuthToken: tokens[i], SchedulerAddress: func() string {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.address
		}}
		p.testbed.StartClient(o, uint64(i))
		owners = append(owners, o)
		for n := range p.RequestsPerTenant {
			job := n % 2
			key, service := fmt.Sprint("k", n), fmt.Sprint("v", job)
			p.testbed.After(float64(rng.IntN(int(at[i])+400)), func() { // up to a moment after the removal
				o.Request(&standin.Demand{
					Key: key, Tenant: name, JobType: p.site.JobClasses[job], Service: service, Job: job,
					Semantics: audit.Semantics(p.site.Cluster.JobClasses[job].Semantics), Token: serve.Token(name, key),
					ServiceKey: serve.Service(name, service), Cores: 1, Memory: 2, Timeout: p.site.Deadlines[job], LatencyObjective: 1000,
					GiveUpAt: p.testbed.Now() + 20,
				}) // not again: after a removal the token is gone, and what is asked without one is not taken
			})
		}
	}
	var harm sync.WaitGroup
	when := time.Duration(rng.IntN(3000)) * time.Millisecond
	var failed error
	harm.Go(func() {
		time.Sleep(when)
		p.kill()
		time.Sleep(200 * time.Millisecond)
		failed = p.start(ctx)
	})
	for i, name := range names {
		time.Sleep(time.Until(began.Add(time.Duration(at[i] * 1e6))))
		if err := p.withStore(func(st *tenants.Store) error {
			return p.change(st, tenancy.Change{Kind: tenancy.Remove, Name: name, Removal: tenancy.RemovalMode(rng.IntN(2))})
		}); err != nil {
			return nil, err
		}
	}
	harm.Wait()
	if failed != nil {
		return nil, failed
	}
	for range 600 {
		left := 0
		if err := p.withStore(func(st *tenants.Store) error {
			all, err := st.Read()
			if err != nil {
				return err
			}
			for _, name := range names {
				if t, _ := all.Tenants.Get(name); t.State != tenancy.Removed {
					left++
				}
			}
			return nil
		}); err != nil {
			return nil, err
		}
		if left == 0 || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return owners, ctx.Err()
}

func (p *removalRun) change(st *tenants.Store, c tenancy.Change) error {
	_, fault, err := st.Apply(time.Now(), "lab", "", c)
	if fault != nil {
		return fault
	}
	return err
}

func (p *removalRun) stateDir() string { return filepath.Join(p.dir, "state") }

func (p *removalRun) withStore(do func(st *tenants.Store) error) error {
	var st *tenants.Store
	err := bolt.RetryWhileLocked(context.Background(), 100, func() (err error) { st, err = tenants.Open(p.stateDir(), p.Rounds*p.TenantsPerRound); return err })
	if err != nil {
		return err
	}
	return errors.Join(do(st), st.Close())
}

// start starts the process.
func (p *removalRun) start(ctx context.Context) error {
	file := filepath.Join(p.dir, "address")
	_ = os.Remove(file) // there may be none
	command := append(append([]string(nil), p.Command...), "serve", "--site", p.path, "--state", p.stateDir(), "--seed", "3", "--address-file", file)
	cmd, addr, err := spawn.Scheduler(ctx, command, p.log, file)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.command, p.address = cmd, addr
	p.mu.Unlock()
	return nil
}

// kill kills it, as kill -9 does.
func (p *removalRun) kill() {
	p.mu.Lock()
	cmd := p.command
	p.command, p.address = nil, ""
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Print writes what came of it.
func (r *RemovalResult) Print(out io.Writer) {
	fmt.Fprintf(out, "tenants removed: %d, kills: %d\nasks: %d, served %d, declined %d, failed %d, cut off by a kill %d\n", r.Tenants-r.NotRemoved, r.Kills,
		r.Requests, r.Served, r.Declined, r.Failed, r.CutOff)
	fmt.Fprintf(out, "removals that did not end: %d\nheld at nodes: %d\nunanswered: %d\nsecond starts: %d\n", r.NotRemoved, r.HeldAtNodes, r.Unanswered, r.SecondStarts)
}
