package drill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Drill is the configuration of a drill.
type Drill struct {
	Day        *Day
	Deployment *site.Config
	SiteText   string   // text of the site file, without the address of the node list
	Command    []string // runs a scheduler; its flags are appended
	Seed       uint64
	OutDir     string // folder for logs and the trace
	Logf       func(format string, args ...any)
}

// drillRun is a drill that is running.
type drillRun struct {
	Drill
	ctx           context.Context
	env           *env.Real
	testbed       *standin.Testbed
	rng           *rand.Rand
	list          *standin.List
	nodes         []*standin.Node
	groups        map[string]*standin.Group
	processes     []*process
	clients       []*standin.Client
	sitePath      string // path of the site file
	startedAt     time.Time
	rateFactor    float64
	tenantFactors map[string]float64 // demand factor by tenant
	mu            sync.Mutex
	lastDemand    uint64
	lastNode      uint32
	background    sync.WaitGroup
	errs          []error
}

// slack is by how many ms the order of events on two sockets may be wrong in the trace on a busy machine.
const slack = 600

// Play runs a day and audits its trace. An error means that the day could not be run; violations are in the result.
func Play(ctx context.Context, d Drill) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	real := env.NewReal()
	p := &drillRun{
		Drill: d, ctx: ctx, env: real, testbed: standin.NewTestbed(real), rng: rand.New(rand.NewPCG(d.Seed, 3)),
		groups: map[string]*standin.Group{}, startedAt: time.Now().Add(time.Second), rateFactor: 1, tenantFactors: map[string]float64{},
	}
	if err := p.start(); err != nil {
		stop()
		p.shutDown()
		return nil, err
	}
	p.play()
	p.awaitResponses()
	for _, pr := range p.processes {
		pr.kill(p, syscall.SIGTERM)
	}
	records := p.testbed.Trace.Records()
	stop()
	p.shutDown()
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	res := &Result{Violations: audit.Check(records, p.rules()), Records: len(records), rows: p.table()}
	f, err := os.Create(filepath.Join(d.OutDir, "trace.jsonl"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return res, audit.Write(f, records)
}

func (p *drillRun) start() error {
	for _, f := range p.Day.nodeGroups {
		for i := range f.nodes {
			if err := p.addNode(f, i, false); err != nil {
				return err
			}
		}
	}
	if err := p.checkWindows(); err != nil {
		return err
	}
	var err error
	if p.list, err = p.testbed.StartList(p.Day.listDelay, p.nodes, ""); err != nil {
		return err
	}
	text := strings.Replace(p.SiteText, `<node-list address="127.0.0.1:0"/>`,
		fmt.Sprintf(`<node-list address=%q/>`, p.list.Address()), 1)
	p.sitePath = filepath.Join(p.OutDir, "site.xml")
	if err := os.WriteFile(p.sitePath, []byte(text), 0o640); err != nil {
		return err
	}
	for i := range p.Day.schedulers {
		pr := &process{name: fmt.Sprintf("s%d", i), index: i}
		p.processes = append(p.processes, pr)
		if err := p.startProcess(pr); err != nil {
			return err
		}
		for t := range p.Deployment.Tenants {
			o := &standin.Client{ID: i*len(p.Deployment.Tenants) + t, Scheduler: pr.name, SchedulerAddress: pr.currentAddress, SettleTime: p.Deployment.SettleTime}
			p.clients = append(p.clients, o)
			p.testbed.StartClient(o, p.rng.Uint64())
		}
	}
	return nil
}

// shutDown kills the scheduler processes that still run, and waits until the background goroutines have ended.
func (p *drillRun) shutDown() {
	for _, pr := range p.processes {
		pr.kill(p, syscall.SIGKILL)
		if pr.log != nil {
			pr.log.Close()
		}
	}
	p.background.Wait()
	p.env.Close(time.Second)
}

func (p *drillRun) addNode(f nodeGroup, i int, cold bool) error {
	cl, d := &p.Deployment.Cluster, p.Day
	machine := standin.MachineConfig{
		Cores: cl.KindCores[f.kind], Memory: cl.KindMemory[f.kind], CoresLimit: cl.CoresOvercommit,
		MemoryLimit: cl.MemoryOvercommit, InspectTime: d.inspectTime, QueueLimit: d.queueLimit, ConcurrentStarts: d.concurrentStarts, ProgramMissFactor: d.programMissFactor,
		ProgramCacheSize: d.programCache, WarmupPace: d.warmupPace, WarmupDuration: cl.SlowStartDuration, OverloadFactor: d.overloadFactor, OverloadWindow: cl.SlowStartWindow,
		SlowStartLimit: int(cl.SlowStartLimit), ReportsUse: cl.ReportsMeasureUse, Preempts: cl.Preempts,
	}
	for _, w := range d.jobs {
		machine.JobProfiles = append(machine.JobProfiles, standin.JobProfile{
			StartWork: w.start, MeanRuntime: w.runtime, MeanUse: w.use, Priority: w.priority,
			Deduplicated: w.semantics == audit.Idempotent,
		})
	}
	p.lastNode++
	cell := fmt.Sprintf("%s-%d", f.zone, i%f.cells)
	n := &standin.Node{
		ID: p.lastNode*2654435761 | 1, Zone: f.zone, Cell: cell, Kind: p.Deployment.MachineKinds[f.kind],
		Jobs: len(p.Deployment.JobClasses), Tenants: len(p.Deployment.Tenants),
	}
	group := f.zone // shared by all job classes: the narrowest idempotency scope of any of them
	for _, w := range d.jobs {
		if w.semantics == audit.Idempotent && w.scope == audit.ScopeCell {
			group = cell
		}
	}
	if p.groups[group] == nil {
		p.groups[group] = standin.NewGroup()
	}
	if err := p.testbed.StartNode(n, standin.NodeStart{Machine: machine, Group: p.groups[group], Seed: p.rng.Uint64(), Cold: cold}); err != nil {
		return err
	}
	p.nodes = append(p.nodes, n)
	return nil
}

func (p *drillRun) addError(err error) {
	p.mu.Lock()
	p.errs = append(p.errs, err)
	p.mu.Unlock()
}

// startBackground runs f in a goroutine that shutDown waits for.
func (p *drillRun) startBackground(f func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		f()
	}()
}

// sleep waits for ms, and reports whether the drill goes on.
func (p *drillRun) sleep(ms float64) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(time.Duration(ms * 1e6)):
		return true
	}
}

// play sends requests in an open loop, and injects the faults at their times.
func (p *drillRun) play() {
	begin := p.testbed.Now()
	p.recordWindows()
	for _, tr := range p.Day.faults {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(tr.line)))
		p.startBackground(func() {
			if p.sleep(tr.at) {
				p.inject(tr, rng)
			}
		})
	}
	next := begin
	for {
		p.mu.Lock()
		rate := p.Day.rate * p.rateFactor * p.totalDemand() / 1000
		p.mu.Unlock()
		next += p.rng.ExpFloat64() / rate
		if next > begin+p.Day.duration-p.Day.settleTime {
			break
		}
		if wait := next - p.testbed.Now(); wait > 0 && !p.sleep(wait) {
			return
		}
		p.requestTask(begin)
	}
}

// awaitResponses waits until every request is answered or overdue.
func (p *drillRun) awaitResponses() { p.sleep(p.Day.settleTime) }

// Interrupted returns a context that is cancelled when the process receives an interrupt or SIGTERM.
func Interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
