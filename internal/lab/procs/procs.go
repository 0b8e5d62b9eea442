// Package procs is the rig of processes: many schedulers of one site on loopback, each a process of its own, with stand-ins
// for nodes, list and owners in this one. What schedulers say to each other passes relays that drop and cut by a script
// with a seed; processes are killed, stopped and started again. The auditor watches all that reaches the stand-ins.
package procs

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/lab/spawn"
	"ravenpond/internal/outside"
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

// Plan says what is to be started.
type Plan struct {
	Command    []string // that runs the program
	Schedulers int
	Nodes      int
	Rate       float64 // asks a second, of all owners together; 0: none
	Seed       uint64
	Dir        string
	Apart      bool // schedulers do not know each other
	Zones      int  // 0: two; in regions of two
	Cores      int  // of a node, 0: 64
	Near       bool // the site file says how far zones are from each other
	Stewards   int  // of the book that they agree on, the first of all; 0: there is none
	Relays     bool // connections to nodes, list and owners pass relays too
}

// wayOf names the way between a scheduler and another party: "list", "owner", or a node by its number.
type wayOf struct{ sched, party string }

// Lane is the way of datagrams from one scheduler to another.
type Lane struct {
	Cut  bool
	Loss float64
	Slow time.Duration
}

// Rig is the whole.
type Rig struct {
	Plan
	ctx   context.Context
	real  *outside.Real
	w     *standin.World
	place *site.Place
	rules audit.Rules
	nodes []*standin.Node
	list  *standin.List
	all   []*proc
	asks  sync.WaitGroup
	stop  context.CancelFunc

	relays      []*relay // to nodes, by their place
	from, until float64  // of the last script

	mu    sync.Mutex
	rng   *rand.Rand
	ways  map[wayOf][2]Way
	trace []audit.Record
	held  []audit.Record // words of the list that lie on a way that is cut
	lanes map[[2]int]Lane
	kills []kill
	cpu   time.Duration // of schedulers that have ended
}

// kill is one that was killed, and when.
type kill struct {
	who int
	at  time.Time
}

type proc struct {
	name    string
	listen  string       // where it takes datagrams
	free    *net.UDPConn // holds that address for it until it begins
	relay   *net.UDPConn
	toList  *relay // its ways to the list and from its owners, where they pass relays
	toOwner *relay
	folder  string
	log     *os.File
	owner   *standin.Owner
	mu      sync.Mutex
	cmd     *exec.Cmd
	address string
	stopped bool
}

// Begin starts all and waits until owners may connect everywhere.
func Begin(ctx context.Context, p Plan) (r *Rig, err error) {
	ctx, stop := context.WithCancel(ctx)
	real := outside.NewReal()
	r = &Rig{Plan: p, ctx: ctx, stop: stop, real: real, w: standin.NewWorld(real), rng: rand.New(rand.NewPCG(p.Seed, 0x916)), lanes: map[[2]int]Lane{},
		ways: map[wayOf][2]Way{}}
	r.w.Trace.Each = r.record
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for i := range p.Schedulers {
		if err := r.door(i); err != nil {
			return r, err
		}
	}
	for i, x := range r.all {
		r.asks.Go(func() { r.carry(i, x) })
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "key"), []byte("the rig's member key, of some length\n"), 0o600); err != nil {
		return r, err
	}
	if err := r.fleet(); err != nil {
		return r, err
	}
	places := make(chan bool, 16)
	errs := make(chan error, p.Schedulers)
	for i := range r.all {
		go func() {
			places <- true
			errs <- r.Start(i)
			<-places
		}()
	}
	for range r.all {
		if e := <-errs; e != nil {
			err = e
		}
	}
	if err != nil {
		return r, err
	}
	for i, x := range r.all {
		x.owner = &standin.Owner{ID: i, Sched: x.name, Settle: r.place.Settle, Find: func() string {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.cmd == nil {
				return ""
			} else if x.toOwner != nil {
				return x.toOwner.address()
			}
			return x.address
		}}
		r.w.StartOwner(x.owner, p.Seed*7919+uint64(i))
	}
	if p.Rate > 0 {
		r.asks.Go(r.load)
	}
	return r, nil
}

// fleet starts the stand-ins of nodes and list.
func (r *Rig) fleet() error {
	bears := max(12, r.Schedulers)
	text := fmt.Sprintf(siteText, r.Schedulers, bears, r.zones(), r.cores(), 2*r.cores(), "", "127.0.0.1:1")
	place, faults := site.Read(strings.NewReader(text))
	if len(faults) > 0 {
		return fmt.Errorf("site of the rig: %s", faults[0])
	}
	r.place = place
	r.rules = audit.Rules{Nodes: map[uint32]audit.Stand{}, Grace: place.DrainGrace, ColdBears: bears, ColdFor: place.Cluster.ColdFor,
		ColdWindow: place.Cluster.FallWindow, Slack: 500,
		Jobs: []audit.Job{{}, {Effect: audit.Tokened, Group: 1, Window: 1500, Spread: 1, Most: 3}, {Effect: audit.RunOnce}}}
	mk := standin.Make{Cores: float64(r.cores()), Memory: 2 * float64(r.cores()), CoresLimit: 2, MemoryLimit: 1.5, Look: 4, Line: 200, Starts: 16, NoProgram: 3, Programs: 8,
		ColdFrom: 0.5, ColdFor: place.Cluster.ColdFor, Fall: 1e9, FallFor: 1000, Bears: bears}
	for job := range 3 {
		mk.Work = append(mk.Work, standin.Work{Start: 10, Life: 2500, Use: 0.5, Priority: job, Token: job == 1})
	}
	var groups []*standin.Group
	for range place.Zones {
		groups = append(groups, standin.NewGroup())
	}
	for i := range r.Nodes {
		zone := i % len(place.Zones)
		n := &standin.Node{ID: uint32(i + 1), Zone: place.Zones[zone], Cell: place.Zones[zone], Kind: "plain", Jobs: 3, Tenants: 1}
		if err := r.w.StartNode(n, mk, groups[zone], r.Seed+uint64(i), false, ""); err != nil {
			return err
		}
		if r.Relays {
			if err := r.reach(n); err != nil {
				return err
			}
		}
		r.nodes = append(r.nodes, n)
		r.rules.Nodes[n.ID] = audit.Stand{Zone: n.Zone, Cell: n.Cell}
	}
	var err error
	if r.list, err = r.w.StartList(50, r.nodes, ""); err != nil || !r.Relays {
		return err
	}
	for _, x := range r.all {
		is := func([]byte) (string, bool) { return x.name, true }
		if x.toList, err = newRelay(r.list.Address, is, r.way("list")); err != nil {
			return err
		}
		if x.toOwner, err = newRelay(func() string {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.address
		}, is, r.way("owner")); err != nil {
			return err
		}
	}
	return nil
}

// reach has schedulers reach a node by a relay, which learns from their greeting who they are.
func (r *Rig) reach(n *standin.Node) error {
	x, err := newRelay(n.Address, greeter, r.way(fmt.Sprint(n.ID)))
	if err != nil {
		return err
	}
	r.relays = append(r.relays, x)
	n.Listed = x.address()
	return nil
}

// greeter reads the name of a scheduler from its greeting to a node.
func greeter(first []byte) (name string, ok bool) {
	_, after, ok := bytes.Cut(first, []byte("\r\nScheduler: "))
	if !ok {
		return "", false
	}
	line, _, ok := bytes.Cut(after, []byte("\r\n"))
	name, _, _ = strings.Cut(string(line), ".")
	return name, ok
}

// way gives the ways between schedulers and a party, as they are.
func (r *Rig) way(party string) func(sched string) (there, back Way) {
	return func(sched string) (there, back Way) {
		r.mu.Lock()
		defer r.mu.Unlock()
		both := r.ways[wayOf{sched, party}]
		return both[0], both[1]
	}
}

// Way sets the way from a scheduler to a party, and back.
func (r *Rig) Way(i int, party string, there, back Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := wayOf{r.all[i].name, party}
	r.ways[of] = [2]Way{there, back}
	if party != "list" || back.Cut {
		return
	}
	kept := r.held[:0]
	for _, x := range r.held { // what the list said meanwhile is heard now
		if x.Sched == of.sched {
			x.At = r.w.Now()
			r.trace = append(r.trace, x)
		} else {
			kept = append(kept, x)
		}
	}
	r.held = kept
}

// record keeps what passes. A word of the list counts when it is heard, not when it is said.
func (r *Rig) record(x *audit.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.Kind == audit.Told || x.Kind == audit.Heard {
		switch back := r.ways[wayOf{x.Sched, "list"}][1]; {
		case back.Cut:
			r.held = append(r.held, *x)
			return
		default:
			x.At += float64(back.Slow) / 1e6
		}
	}
	r.trace = append(r.trace, *x)
}

// Reset breaks all connections of a scheduler.
func (r *Rig) Reset(i int) {
	x := r.all[i]
	for _, y := range append([]*relay{x.toList, x.toOwner}, r.relays...) {
		if y != nil {
			y.reset(x.name)
		}
	}
}

// door opens the relay to a scheduler and finds it a port for datagrams.
func (r *Rig) door(i int) error {
	name := fmt.Sprintf("s%03d", i)
	x := &proc{name: name, folder: filepath.Join(r.Dir, name)}
	loop := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	free, err := net.ListenUDP("udp4", loop)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.listen = free.LocalAddr().String()
	if x.relay, err = net.ListenUDP("udp4", loop); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	x.free = free
	r.all = append(r.all, x)
	return nil
}

// carry passes datagrams on to a scheduler, as the lanes have it, until the relay is closed.
func (r *Rig) carry(to int, x *proc) {
	at, _ := net.ResolveUDPAddr("udp4", x.listen) // its own words, read back
	b := make([]byte, 2048)
	for {
		n, from, err := x.relay.ReadFromUDPAddrPort(b)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			continue // nobody listens there just now
		}
		sender := -1
		for j, y := range r.all {
			if y.listen == from.String() {
				sender = j
			}
		}
		r.mu.Lock()
		l := r.lanes[[2]int{sender, to}]
		drop := l.Cut || l.Loss > 0 && r.rng.Float64() < l.Loss
		r.mu.Unlock()
		switch {
		case drop:
		case l.Slow > 0:
			late := slices.Clone(b[:n])
			time.AfterFunc(l.Slow, func() { _, _ = x.relay.WriteToUDP(late, at) })
		default:
			_, _ = x.relay.WriteToUDP(b[:n], at)
		}
	}
}

// Lane sets the way from one scheduler to another.
func (r *Rig) Lane(from, to int, l Lane) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lanes[[2]int{from, to}] = l
}

// zones are what the site file says of them.
func (r *Rig) zones() string {
	var b strings.Builder
	names := []string{"east", "west", "north", "south", "inner", "outer"}[:max(2, r.Zones)]
	for i, z := range names {
		fmt.Fprintf(&b, `<zone name="%s" region="r%d"/>`, z, i/2)
	}
	for i, from := range names {
		for j, to := range names[:i] {
			if ms := 10; r.Near {
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

func (r *Rig) zoneOf(i int) string { return r.place.Zones[i%len(r.place.Zones)] }

// Lose cuts a zone's nodes off from all schedulers, or lets them be heard again.
func (r *Rig) Lose(zone string, is bool) {
	for _, n := range r.nodes {
		if n.Zone == zone {
			for i := range r.all {
				r.Way(i, fmt.Sprint(n.ID), Way{Cut: is}, Way{Cut: is})
			}
		}
	}
}

// Sends tells when each scheduler last changed which part of a zone it sends to, by its log, and to which; unix ms.
func (r *Rig) Sends(zone string) (at, part []float64, err error) {
	for _, x := range r.all {
		b, err := os.ReadFile(filepath.Join(r.Dir, x.name+".log"))
		if err != nil {
			return nil, nil, err
		}
		since, last := 0.0, 1.0
		for line := range bytes.Lines(b) {
			var l struct {
				Mode  string
				Parts map[string]float64
				At    float64 `json:"unix_ms"`
			}
			if json.Unmarshal(line, &l) == nil && l.Mode == "zones" && l.Parts != nil && l.Parts[zone] != last {
				since, last = l.At, l.Parts[zone]
			}
		}
		at, part = append(at, since), append(part, last)
	}
	return at, part, nil
}

// stewards names them, as the site file does.
func (r *Rig) stewards() string {
	if r.Stewards == 0 {
		return ""
	}
	var names []string
	for _, x := range r.all[:r.Stewards] {
		names = append(names, x.name)
	}
	return fmt.Sprintf(` stewards="%s"`, strings.Join(names, " "))
}

// OneBook tells whether all that run hold the same book, are sure of it, and act in it under epochs of their own; else who
// does not.
func (r *Rig) OneBook() (bool, string) {
	epochs := map[uint64]string{}
	first := ""
	for _, i := range r.Living() {
		v, err := r.View(i)
		switch name := r.all[i].name; {
		case err != nil:
			return false, err.Error()
		case v.Book == nil || v.Book.Version == 0 || v.Book.Epoch == 0:
			return false, name + " holds no book"
		case v.Book.Sure < 0:
			return false, fmt.Sprintf("%s is not sure: %.1f s", name, v.Book.Sure)
		case epochs[v.Book.Epoch] != "":
			return false, fmt.Sprintf("%s and %s act under epoch %d", name, epochs[v.Book.Epoch], v.Book.Epoch)
		case first == "":
			first = v.Book.Digest
		case v.Book.Digest != first:
			return false, fmt.Sprintf("%s holds version %d, %s, others %s", name, v.Book.Version, v.Book.Digest, first)
		}
		epochs[v.Book.Epoch] = r.all[i].name
	}
	return true, ""
}

// Start starts a scheduler, anew or for the first time.
func (r *Rig) Start(i int) error {
	x := r.all[i]
	if err := os.MkdirAll(x.folder, 0o750); err != nil {
		return err
	}
	var err error
	if x.log == nil {
		if x.log, err = os.Create(filepath.Join(r.Dir, x.name+".log")); err != nil {
			return err
		}
	}
	var seeds []string
	for _, y := range r.all[:min(3, len(r.all))] {
		seeds = append(seeds, y.relay.LocalAddr().String())
	}
	members := ""
	if !r.Apart {
		members = fmt.Sprintf(`<members listen="%s" advertise="%s" seeds="%s" key="%s"%s/>`, x.listen, x.relay.LocalAddr(), strings.Join(seeds, " "),
			filepath.Join(r.Dir, "key"), r.stewards())
	}
	list := r.list.Address()
	if x.toList != nil {
		list = x.toList.address()
	}
	file := filepath.Join(r.Dir, x.name+".xml")
	if err := os.WriteFile(file, fmt.Appendf(nil, siteText, r.Schedulers, max(12, r.Schedulers), r.zones(), r.cores(), 2*r.cores(), members, list), 0o640); err != nil {
		return err
	}
	x.free.Close()
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: audit.Born, Sched: x.name})
	cmd, address, err := spawn.Scheduler(r.ctx, append(slices.Clone(r.Command), "serve", "--site", file, "--state", x.folder, "--name", x.name,
		"--index", fmt.Sprint(i), "--zone", r.zoneOf(i), "--seed", fmt.Sprint(r.Seed*1000+uint64(i)+1), "--address-file", filepath.Join(r.Dir, x.name+".addr")), x.log,
		filepath.Join(r.Dir, x.name+".addr"))
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.cmd, x.address, x.stopped = cmd, address, false
	x.mu.Unlock()
	return nil
}

// Kill ends a scheduler at once.
func (r *Rig) Kill(i int) {
	x := r.all[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	at := time.Now()
	_ = x.cmd.Process.Kill()
	_ = x.cmd.Wait()
	used := x.cmd.ProcessState.UserTime() + x.cmd.ProcessState.SystemTime()
	x.cmd = nil
	r.mu.Lock()
	r.cpu += used
	r.kills = append(r.kills, kill{who: i, at: at})
	r.mu.Unlock()
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: audit.Killed, Sched: x.name})
}

// Stop has a scheduler stand still, or run on.
func (r *Rig) Stop(i int, still bool) {
	x := r.all[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.stopped == still {
		return
	}
	x.stopped = still
	kind, signal := audit.Paused, syscall.SIGSTOP
	if !still {
		kind, signal = audit.Resumed, syscall.SIGCONT
	}
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: kind, Sched: x.name})
	_ = x.cmd.Process.Signal(signal)
}

// Renew has nodes fall and come back cold.
func (r *Rig) Renew(part float64, away time.Duration) {
	for i, n := range r.nodes {
		if float64(i) < part*float64(len(r.nodes)) {
			r.w.At(func(now float64) { n.Die(now) })
			r.later(away, func() { r.back(n) })
		}
	}
}

// back brings a node back; its address may be taken for a moment yet.
func (r *Rig) back(n *standin.Node) {
	if err := n.Return(); err != nil {
		r.later(100*time.Millisecond, func() { r.back(n) })
	}
}

// later does something after a while, unless the rig has ended by then.
func (r *Rig) later(d time.Duration, f func()) {
	r.asks.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-r.ctx.Done():
		case <-t.C:
			f()
		}
	})
}

// load asks at the plan's rate, each owner in turn, until the rig ends.
func (r *Rig) load() {
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
		jt := r.place.Cluster.JobTypes[job]
		r.all[i%len(r.all)].owner.Ask(&standin.Want{Key: key, Tenant: "t", JobType: r.place.Jobs[job], Service: service, Job: job,
			Effect: int(jt.Effect), Token: serve.Token("t", key), ServiceKey: serve.Service("t", service), Cores: 1, Memory: 1,
			Within: r.place.Expiry[job], Target: jt.Target, Until: r.w.Now() + r.place.Expiry[job]})
	}
}

// View reads what a scheduler holds of the others.
func (r *Rig) View(i int) (v serve.View, err error) {
	b, err := os.ReadFile(filepath.Join(r.all[i].folder, serve.MembersFile))
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}

// Living are the schedulers that run.
func (r *Rig) Living() (all []int) {
	for i, x := range r.all {
		x.mu.Lock()
		if x.cmd != nil && !x.stopped {
			all = append(all, i)
		}
		x.mu.Unlock()
	}
	return all
}

// Agreed tells whether each scheduler that runs holds all others that run for alive and no other, else who does not.
func (r *Rig) Agreed() (bool, string) {
	living := r.Living()
	for _, i := range living {
		v, err := r.View(i)
		if err != nil {
			return false, err.Error()
		}
		var got, want []string
		for _, m := range v.Members {
			if m.State == "alive" {
				got = append(got, m.Name)
			}
		}
		for _, j := range living {
			if j != i {
				want = append(want, r.all[j].name)
			}
		}
		if !slices.Equal(got, want) {
			return false, fmt.Sprintf("%s holds %v for alive, want %v", r.all[i].name, got, want)
		}
	}
	return true, ""
}

// Death is word in a log that one holds another for dead.
type Death struct {
	By, Who string
	At      time.Time
}

// Deaths are all that stand in the logs, by time.
func (r *Rig) Deaths() (all []Death, err error) {
	for _, x := range r.all {
		b, err := os.ReadFile(filepath.Join(r.Dir, x.name+".log"))
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(b))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l struct {
				Mode, Member, Is, Was string
				Ms                    float64 `json:"unix_ms"`
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Mode == "members" && l.Is == "dead" && l.Was != "unknown" { // who comes hears of the dead, and held nobody for that
				all = append(all, Death{x.name, l.Member, time.UnixMicro(int64(l.Ms * 1000))})
			}
		}
	}
	slices.SortFunc(all, func(a, b Death) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.By, b.By)) })
	return all, nil
}

// Known is how long it took until those who ran on knew of each kill, sorted, and how many never did before the killed one
// was back for so long. Deaths of schedulers that were not killed within a while before count as wrong.
func (r *Rig) Known(within time.Duration) (took []time.Duration, never, wrong int, err error) {
	deaths, err := r.Deaths()
	if err != nil {
		return nil, 0, 0, err
	}
	r.mu.Lock()
	kills := slices.Clone(r.kills)
	r.mu.Unlock()
	down := map[int]bool{}
	for _, k := range kills {
		down[k.who] = true
	}
	for _, k := range kills {
		first := map[string]time.Duration{}
		for _, d := range deaths {
			if _, ok := first[d.By]; !ok && d.Who == r.all[k.who].name && !d.At.Before(k.at) && d.At.Before(k.at.Add(within)) {
				first[d.By] = d.At.Sub(k.at)
			}
		}
		for i, x := range r.all {
			if t, ok := first[x.name]; ok {
				took = append(took, t)
			} else if !down[i] {
				never++
			}
		}
	}
	for _, d := range deaths {
		if !slices.ContainsFunc(kills, func(k kill) bool {
			return r.all[k.who].name == d.Who && !d.At.Before(k.at) && d.At.Before(k.at.Add(within))
		}) {
			wrong++
		}
	}
	slices.Sort(took)
	return took, never, wrong, nil
}

// Result is what came of a rig.
type Result struct {
	Breaks  []audit.Break
	Answers map[string]int
	Starts  []float64     // ms from ask to answer of those served at their first ask, sorted
	CPU     time.Duration // of all schedulers together, of all their lives
	Near    float64       // part of the tries that ran in the zone of their scheduler
	Value   float64       // part of the value served in time that was first asked for while a script was played
	Late    []float64     // start times of those, sorted
}

// End waits until all asks are answered or overdue, ends all and audits.
func (r *Rig) End() Result {
	r.stop()
	time.Sleep(3600 * time.Millisecond)
	r.mu.Lock()
	records := slices.Clone(r.trace)
	r.mu.Unlock()
	slices.SortStableFunc(records, func(a, b audit.Record) int { return cmp.Compare(a.At, b.At) })
	res := Result{Breaks: audit.Check(records, r.rules), Answers: map[string]int{}}
	wanted, served := 0.0, 0.0
	for _, x := range r.all {
		for _, t := range x.owner.Tallies() {
			res.Answers[t.Word]++
			if t.At >= r.from && t.At < r.until {
				value := r.place.Cluster.JobTypes[t.Job].Value
				if wanted += value; t.Word == "served" && t.InTime {
					served += value
				}
				if t.Word == "served" {
					res.Late = append(res.Late, t.Took)
				}
			}
			if t.Word == "served" && t.First {
				res.Starts = append(res.Starts, t.Took)
			}
		}
	}
	slices.Sort(res.Starts)
	slices.Sort(res.Late)
	res.Value = served / max(1e-9, wanted)
	zones := map[string]string{}
	for i, x := range r.all {
		zones[x.name] = r.zoneOf(i)
	}
	ran, near := 0, 0
	for _, x := range records {
		if x.Kind == audit.Ran {
			if ran++; r.rules.Nodes[x.Node].Zone == zones[x.Sched] {
				near++
			}
		}
	}
	res.Near = float64(near) / float64(max(1, ran))
	r.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	res.CPU = r.cpu
	return res
}

func (r *Rig) close() {
	r.stop()
	for i, x := range r.all {
		r.Stop(i, false)
		r.Kill(i)
		x.free.Close()
		x.relay.Close()
		for _, y := range []*relay{x.toList, x.toOwner} {
			if y != nil {
				y.close()
			}
		}
		if x.log != nil {
			x.log.Close()
		}
	}
	for _, x := range r.relays {
		x.close()
	}
	r.asks.Wait()
	r.real.Close(time.Second)
}
