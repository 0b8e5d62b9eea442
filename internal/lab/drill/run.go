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
	"ravenpond/internal/outside"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Drill is what is to be played.
type Drill struct {
	Day     *Day
	Place   *site.Config
	Site    string   // text of the site file, without the listeners
	Command []string // that runs a scheduler; flags follow
	Seed    uint64
	Out     string // folder for logs and the trace
	Say     func(format string, args ...any)
}

type player struct {
	Drill
	ctx    context.Context
	real   *outside.Real
	w      *standin.Testbed
	rng    *rand.Rand
	list   *standin.List
	nodes  []*standin.Node
	groups map[string]*standin.Group
	procs  []*proc
	owners []*standin.Client
	site   string // path
	dawn   time.Time
	rate   float64
	flood  map[string]float64 // factor by tenant
	mu     sync.Mutex
	wants  uint64
	seq    uint32
	work   sync.WaitGroup
	faults []error
}

// slack is what the order of events on two sockets may be off by on a busy machine, in ms.
const slack = 600

// Play plays a day and audits it. An error means that it could not be played.
func Play(ctx context.Context, d Drill) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	real := outside.NewReal()
	p := &player{
		Drill: d, ctx: ctx, real: real, w: standin.NewTestbed(real), rng: rand.New(rand.NewPCG(d.Seed, 3)),
		groups: map[string]*standin.Group{}, dawn: time.Now().Add(time.Second), rate: 1, flood: map[string]float64{},
	}
	if err := p.begin(); err != nil {
		stop()
		p.end()
		return nil, err
	}
	p.play()
	p.settle()
	for _, pr := range p.procs {
		pr.kill(p, syscall.SIGTERM)
	}
	records := p.w.Trace.Records()
	stop()
	p.end()
	if len(p.faults) > 0 {
		return nil, errors.Join(p.faults...)
	}
	res := &Result{Breaks: audit.Check(records, p.rules()), Records: len(records), rows: p.table()}
	f, err := os.Create(filepath.Join(d.Out, "trace.jsonl"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return res, audit.Write(f, records)
}

func (p *player) begin() error {
	for _, f := range p.Day.fleets {
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
	if p.list, err = p.w.StartList(p.Day.lag, p.nodes, ""); err != nil {
		return err
	}
	text := strings.Replace(p.Site, `<node-list address="127.0.0.1:0"/>`,
		fmt.Sprintf(`<node-list address=%q/>`, p.list.Address()), 1)
	p.site = filepath.Join(p.Out, "site.xml")
	if err := os.WriteFile(p.site, []byte(text), 0o640); err != nil {
		return err
	}
	for i := range p.Day.schedulers {
		pr := &proc{name: fmt.Sprintf("s%d", i), index: i}
		p.procs = append(p.procs, pr)
		if err := p.startProc(pr); err != nil {
			return err
		}
		for t := range p.Place.Tenants {
			o := &standin.Client{ID: i*len(p.Place.Tenants) + t, Scheduler: pr.name, SchedulerAddress: pr.where, SettleTime: p.Place.SettleTime}
			p.owners = append(p.owners, o)
			p.w.StartClient(o, p.rng.Uint64())
		}
	}
	return nil
}

// end waits for all that runs in this process and ends what runs beside it.
func (p *player) end() {
	for _, pr := range p.procs {
		pr.kill(p, syscall.SIGKILL)
		if pr.log != nil {
			pr.log.Close()
		}
	}
	p.work.Wait()
	p.real.Close(time.Second)
}

func (p *player) addNode(f fleet, i int, cold bool) error {
	cl, d := &p.Place.Cluster, p.Day
	mk := standin.MachineConfig{
		Cores: cl.KindCores[f.kind], Memory: cl.KindMemory[f.kind], CoresLimit: cl.CoresOvercommit,
		MemoryLimit: cl.MemoryOvercommit, InspectTime: d.look, QueueLimit: d.line, ConcurrentStarts: d.starts, ProgramMissFactor: d.noProgram,
		ProgramCacheSize: d.keeps, WarmupPace: d.coldFrom, WarmupDuration: cl.SlowStartDuration, OverloadFactor: d.fall, OverloadWindow: cl.SlowStartWindow,
		SlowStartLimit: int(cl.SlowStartLimit), ReportsUse: cl.ReportsMeasureUse, Preempts: cl.Preempts,
	}
	for _, w := range d.works {
		mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{
			StartWork: w.start, MeanRuntime: w.life, MeanUse: w.use, Priority: w.priority,
			Deduplicated: w.effect == audit.Idempotent,
		})
	}
	p.seq++
	cell := fmt.Sprintf("%s-%d", f.zone, i%f.cells)
	n := &standin.Node{
		ID: p.seq*2654435761 | 1, Zone: f.zone, Cell: cell, Kind: p.Place.MachineKinds[f.kind],
		Jobs: len(p.Place.JobClasses), Tenants: len(p.Place.Tenants),
	}
	group := f.zone // one for all job types: the narrowest that any names
	for _, w := range d.works {
		if w.effect == audit.Idempotent && w.group == 2 {
			group = cell
		}
	}
	if p.groups[group] == nil {
		p.groups[group] = standin.NewGroup()
	}
	if err := p.w.StartNode(n, mk, p.groups[group], p.rng.Uint64(), cold, ""); err != nil {
		return err
	}
	p.nodes = append(p.nodes, n)
	return nil
}

func (p *player) fault(err error) {
	p.mu.Lock()
	p.faults = append(p.faults, err)
	p.mu.Unlock()
}

func (p *player) goes(f func()) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		f()
	}()
}

// sleep waits and tells whether the day goes on.
func (p *player) sleep(ms float64) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(time.Duration(ms * 1e6)):
		return true
	}
}

// play lets wants come, in an open loop, and troubles strike at their times.
func (p *player) play() {
	begin := p.w.Now()
	p.windows()
	for _, tr := range p.Day.troubles {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(tr.line)))
		p.goes(func() {
			if p.sleep(tr.at) {
				p.strike(tr, rng)
			}
		})
	}
	next := begin
	for {
		p.mu.Lock()
		rate := p.Day.rate * p.rate * p.demand() / 1000
		p.mu.Unlock()
		next += p.rng.ExpFloat64() / rate
		if next > begin+p.Day.lasts-p.Day.settles {
			break
		}
		if wait := next - p.w.Now(); wait > 0 && !p.sleep(wait) {
			return
		}
		p.want(begin)
	}
}

// settle waits until every ask is answered or overdue.
func (p *player) settle() { p.sleep(p.Day.settles) }

// Interrupted is a context that ends when the process is told to.
func Interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
