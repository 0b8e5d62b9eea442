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

// RemovalTrial is the configuration of a trial in which tenants are removed while they send requests, and the scheduler process is killed meanwhile.
type RemovalTrial struct {
	Command           []string // runs the program; the subcommand and its flags are appended
	Rounds            int
	TenantsPerRound   int // tenants that are added and removed in each round
	RequestsPerTenant int
	Nodes             int
	Seed              uint64
}

// RemovalResult is the outcome of a RemovalTrial.
type RemovalResult struct {
	Tenants, Requests, Kills              int
	Served, Declined, Failed              int
	Disconnected, Unanswered              int // without an answer because the process was killed, and for any other reason
	SecondStarts, HeldAtNodes, NotRemoved int // second starts of at-most-once tasks; tasks still held at nodes; tenants whose removal did not complete
}

// removalRun is a RemovalTrial that is running.
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

// Play runs the trial.
func (r RemovalTrial) Play(ctx context.Context) (out RemovalResult, err error) {
	dir, err := os.MkdirTemp("", "ravenpond-removals-")
	if err != nil {
		return out, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	environment := env.NewReal()
	defer environment.Close(time.Second)
	p := &removalRun{RemovalTrial: r, testbed: standin.NewTestbed(environment), dir: dir, path: filepath.Join(dir, "site.xml")}
	nodes, err := p.prepare()
	if err != nil {
		return out, err
	}
	defer func() { _ = p.log.Close() }()
	if err := p.start(ctx); err != nil {
		return out, err
	}
	defer func() { p.kill() }()
	rng := rand.New(rand.NewPCG(r.Seed, 8))
	var clients []*standin.Client
	for round := range r.Rounds {
		started, err := p.round(ctx, rng, round)
		if err != nil {
			return out, err
		}
		clients = append(clients, started...)
		out.Kills++
	}
	time.Sleep(removalAnswerTime)
	for _, c := range clients {
		for _, o := range c.Outcomes() {
			out.add(o)
		}
	}
	out.SecondStarts = secondStarts(p.testbed.Trace.Records())
	p.testbed.WithLock(func(float64) {
		for _, n := range nodes {
			out.HeldAtNodes += n.Machine.TaskCount()
		}
	})
	err = p.withStore(func(store *tenants.Store) error {
		all, err := store.Read()
		if err != nil {
			return err
		}
		for _, t := range all.Tenants.All() {
			if out.Tenants++; t.State != tenancy.Removed {
				out.NotRemoved++
			}
		}
		return store.Records(1, func(uint64, tenants.Record) error { return nil })
	})
	return out, err
}

// prepare starts the nodes and the node list, writes the site file, and creates the log file.
func (p *removalRun) prepare() ([]*standin.Node, error) {
	slots := p.Rounds * p.TenantsPerRound
	nodes, err := startNodes(p.testbed, Trial{Tenants: slots, Nodes: p.Nodes, Seed: p.Seed})
	if err != nil {
		return nil, err
	}
	list, err := p.testbed.StartList(0, nodes, "")
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(siteText, fmt.Sprintf("<hosting tenants=\"%d\"/>", slots), 2, 2)
	text = strings.Replace(text, `<limits open="20000"/>`, `<limits open="20000" owners="20000"/>`, 1)
	text = strings.Replace(text, "127.0.0.1:1\"", list.Address()+"\"", 1)
	config, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site file of the removal trial: %s", faults[0])
	}
	p.site = config
	if err := os.WriteFile(p.path, []byte(text), 0o640); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(p.dir, "log"))
	return nodes, err
}

// add counts the outcome of a request.
func (r *RemovalResult) add(o standin.Outcome) {
	r.Requests++
	switch o.Result {
	case standin.Served:
		r.Served++
	case standin.Declined:
		r.Declined++
	case standin.Failed:
		r.Failed++
	case standin.Disconnected:
		r.Disconnected++
	default:
		r.Unanswered++
	}
}

// secondStarts counts the starts of at-most-once tasks (job class "score") after each task's first.
func secondStarts(records []audit.Record) (count int) {
	scoring, starts := map[uint64]bool{}, map[uint64]int{}
	for i := range records {
		if r := &records[i]; r.Kind == audit.RequestSent && r.Job == 1 {
			scoring[r.Token] = true
		}
	}
	for i := range records {
		if r := &records[i]; r.Kind == audit.TaskStarted && scoring[r.Token] {
			if starts[r.Token]++; starts[r.Token] > 1 {
				count++
			}
		}
	}
	return count
}

// Times of a round.
const (
	readTime          = 1200 * time.Millisecond // time in which the process reads new tenants from the store
	removalSpan       = 2500                    // ms over which the removals of a round are spread
	requestOverrun    = 400                     // ms for which a tenant's requests are still sent after its removal
	maxKillDelay      = 3000                    // ms
	restartDelay      = 200 * time.Millisecond
	removalAnswerTime = 4 * time.Second
	removalPoll       = 100 * time.Millisecond
	maxRemovalPolls   = 600
)

// roundTenant is a tenant that is added and removed in a round.
type roundTenant struct {
	name, token string
	removedAt   float64 // ms since the round began
}

// round adds tenants and removes them while they send requests. It kills and restarts the process at a random time meanwhile, and waits until the
// removals are complete.
func (p *removalRun) round(ctx context.Context, rng *rand.Rand, round int) (clients []*standin.Client, err error) {
	added, err := p.addTenants(round)
	if err != nil {
		return nil, err
	}
	time.Sleep(readTime)
	began := time.Now()
	for i := range added {
		clients = append(clients, p.startClient(rng, &added[i], round*p.TenantsPerRound+i, i))
	}
	var restart sync.WaitGroup
	killDelay := time.Duration(rng.IntN(maxKillDelay)) * time.Millisecond
	var failed error
	restart.Go(func() {
		time.Sleep(killDelay)
		p.kill()
		time.Sleep(restartDelay)
		failed = p.start(ctx)
	})
	if err := p.removeTenants(rng, added, began); err != nil {
		return nil, err
	}
	restart.Wait()
	if failed != nil {
		return nil, failed
	}
	if err := p.awaitRemovals(ctx, added); err != nil {
		return nil, err
	}
	return clients, ctx.Err()
}

func (p *removalRun) addTenants(round int) (added []roundTenant, err error) {
	for i := range p.TenantsPerRound {
		added = append(added, roundTenant{name: fmt.Sprintf("r%d-%d", round, i), removedAt: float64(removalSpan * (i + 1) / p.TenantsPerRound)})
	}
	limits := tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 100}}
	err = p.withStore(func(store *tenants.Store) error {
		for i := range added {
			if err := p.change(store, tenancy.Change{Kind: tenancy.Add, Name: added[i].name, Limits: limits}); err != nil {
				return err
			}
			var err error
			if added[i].token, err = store.IssueToken(time.Now(), "lab", added[i].name, time.Hour); err != nil {
				return err
			}
		}
		return nil
	})
	return added, err
}

// startClient starts a tenant's client and schedules its requests until shortly after the removal. No request is sent again: the removal deletes
// the tenant's token, and requests without a token are not accepted.
func (p *removalRun) startClient(rng *rand.Rand, tenant *roundTenant, id, seed int) *standin.Client {
	c := &standin.Client{ID: id, Scheduler: "s0", SettleTime: 600, AuthToken: tenant.token, SchedulerAddress: func() string {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.address
	}}
	p.testbed.StartClient(c, uint64(seed))
	for n := range p.RequestsPerTenant {
		job := n % 2
		key, service := fmt.Sprint("k", n), fmt.Sprint("v", job)
		p.testbed.After(float64(rng.IntN(int(tenant.removedAt)+requestOverrun)), func() {
			c.Request(&standin.Demand{
				Key: key, Tenant: tenant.name, JobType: p.site.JobClasses[job], Service: service, Job: job,
				Semantics: audit.Semantics(p.site.Cluster.JobClasses[job].Semantics), Token: serve.Token(tenant.name, key),
				ServiceKey: serve.Service(tenant.name, service), Cores: 1, Memory: 2, Timeout: p.site.Deadlines[job], LatencyObjective: 1000,
				GiveUpAt: p.testbed.Now() + 20,
			})
		})
	}
	return c
}

func (p *removalRun) removeTenants(rng *rand.Rand, removed []roundTenant, began time.Time) error {
	for _, t := range removed {
		time.Sleep(time.Until(began.Add(time.Duration(t.removedAt * 1e6))))
		if err := p.withStore(func(store *tenants.Store) error {
			return p.change(store, tenancy.Change{Kind: tenancy.Remove, Name: t.name, Removal: tenancy.RemovalMode(rng.IntN(2))})
		}); err != nil {
			return err
		}
	}
	return nil
}

// awaitRemovals waits until all tenants of a round are removed, but at most about a minute. RemovalResult.NotRemoved counts those that are not.
func (p *removalRun) awaitRemovals(ctx context.Context, removed []roundTenant) error {
	for range maxRemovalPolls {
		left := 0
		if err := p.withStore(func(store *tenants.Store) error {
			all, err := store.Read()
			if err != nil {
				return err
			}
			for _, t := range removed {
				if entry, _ := all.Tenants.Get(t.name); entry.State != tenancy.Removed {
					left++
				}
			}
			return nil
		}); err != nil {
			return err
		}
		if left == 0 || ctx.Err() != nil {
			return nil
		}
		time.Sleep(removalPoll)
	}
	return nil
}

// change applies a change to the tenant store. A change that the store rejects is an error.
func (p *removalRun) change(st *tenants.Store, c tenancy.Change) error {
	_, fault, err := st.Apply(time.Now(), "lab", "", c)
	if fault != nil {
		return fault
	}
	return err
}

func (p *removalRun) stateDir() string { return filepath.Join(p.dir, "state") }

// withStore opens the tenant store for a function, and waits while the scheduler process has it locked.
func (p *removalRun) withStore(do func(st *tenants.Store) error) error {
	var st *tenants.Store
	err := bolt.RetryWhileLocked(context.Background(), 100, func() (err error) { st, err = tenants.Open(p.stateDir(), p.Rounds*p.TenantsPerRound); return err })
	if err != nil {
		return err
	}
	return errors.Join(do(st), st.Close())
}

// start starts the scheduler process.
func (p *removalRun) start(ctx context.Context) error {
	file := filepath.Join(p.dir, "address")
	_ = os.Remove(file) // the file may not exist
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

// kill kills the scheduler process with SIGKILL.
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

// Print writes the result.
func (r *RemovalResult) Print(out io.Writer) {
	fmt.Fprintf(out, "tenants removed: %d, kills: %d\nasks: %d, served %d, declined %d, failed %d, cut off by a kill %d\n", r.Tenants-r.NotRemoved, r.Kills,
		r.Requests, r.Served, r.Declined, r.Failed, r.Disconnected)
	fmt.Fprintf(out, "removals that did not end: %d\nheld at nodes: %d\nunanswered: %d\nsecond starts: %d\n", r.NotRemoved, r.HeldAtNodes, r.Unanswered, r.SecondStarts)
}
