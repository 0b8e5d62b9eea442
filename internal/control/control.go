// Package control keeps what a site's schedulers agree on, on one goroutine of its own: the consensus, the cluster state, their timers,
// and the messages that members carry. Traffic reads an immutable view by an atomic pointer and waits for nothing here.
package control

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/decide/zones"
	runner "ravenpond/internal/members"
	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/book"
)

// Disk keeps what a voter must not forget.
type Disk interface {
	Load() (consensus.PersistedState, error)
	// Save returns when all is on the disk.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	Close() error
}

// Site is what the verdicts on zones rest on. Without zones there are none.
type Site struct {
	Zones []string
	Held  map[string]clusterstate.ZoneState // by operators
	Far   func(from, to string) float64     // ms one way; nil: all are as far
	Judge zones.Judge                       // with what tests plant in it
}

// View is the cluster state at one moment. It is never changed.
type View struct {
	Book *clusterstate.State
	// Sure is until when this process may act by it as it stands, ms of the world's clock; from then on in degraded mode.
	Sure float64
}

// mostMail is how many messages wait at most; more are lost, as others are on their way.
const mostMail = 1024

// nap is the longest the loop sleeps, ms.
const nap = 1000

type mail struct {
	from    string
	body    []byte
	version uint64 // that it holds, where it says no more
}

// Runner is control that runs.
type Runner struct {
	w    outside.Environment
	log  zerolog.Logger
	all  *runner.Runner
	disk Disk // nil: not a voter
	loop outside.Loop
	view atomic.Pointer[View]
	over atomic.Bool

	mu   sync.Mutex
	mail []mail
	asks []func(*consensus.Replica) // by other goroutines

	c      *consensus.Replica // the loop's own
	holds  uint64
	site   Site
	judge  zones.Judge
	judged float64
}

// judgeEach is the time between two looks of the leader at the zones, ms.
const judgeEach = 100

// Begin runs a process's part in the consensus of its site on the members' datagrams. A voter's disk is its own from then on.
func Begin(w outside.Environment, log zerolog.Logger, all *runner.Runner, who consensus.Config, disk Disk, site Site) (*Runner, error) {
	if site.Far == nil {
		site.Far = func(string, string) float64 { return 0 }
	}
	r := &Runner{w: w, log: log, all: all, disk: disk, site: site, judge: site.Judge}
	var saved consensus.PersistedState
	if disk != nil {
		var err error
		if saved, err = disk.Load(); err != nil {
			return nil, fmt.Errorf("council's folder: %w", err)
		}
	}
	c, err := consensus.New(edge{r}, w.Now(), who, saved)
	if err != nil {
		return nil, err
	}
	r.c = c
	c.SetReportHandler(func(from string, b []byte) {
		sums := map[string]zones.Sum{}
		if codec.ReadZoneSummaries(b, func(zone string, nodes, heard int, room, used float64) {
			sums[zone] = zones.Sum{Nodes: nodes, Heard: heard, Room: room, Used: used}
		}) == nil {
			r.judge.Report(r.w.Now(), from, sums)
		}
	})
	r.view.Store(&View{Book: c.State(), Sure: math.Inf(-1)})
	r.loop = w.StartLoop(r.turn)
	all.See(func(d *membership.Detector) { d.Carries(carrier{r}) })
	return r, nil
}

// View is the cluster state as this process holds it now.
func (r *Runner) View() *View { return r.view.Load() }

// Ask has f called with the replica on the loop's goroutine; not if that stands still and too many wait.
func (r *Runner) Ask(f func(c *consensus.Replica)) {
	r.mu.Lock()
	if len(r.asks) < mostMail {
		r.asks = append(r.asks, f)
	}
	r.mu.Unlock()
	r.loop.Wake()
}

// End ends it: the loop's last turn lets the disk go.
func (r *Runner) End() {
	if r.over.Swap(true) {
		return
	}
	r.all.See(func(d *membership.Detector) { d.Carries(nil) })
	r.loop.Wake()
}

func (r *Runner) turn() (wait float64) {
	if r.over.Load() {
		if r.disk != nil {
			if err := r.disk.Close(); err != nil {
				r.log.Error().Str("mode", "council").Err(err).Msg("disk")
			}
			r.disk = nil
		}
		return -1
	}
	r.mu.Lock()
	mails, asks := r.mail, r.asks
	r.mail, r.asks = nil, nil
	r.mu.Unlock()
	for _, m := range mails {
		if m.body != nil {
			r.c.OnMessage(r.w.Now(), m.from, m.body)
		} else {
			r.c.OnNewerVersion(r.w.Now(), m.from, m.version)
		}
	}
	for _, f := range asks {
		f(r.c)
	}
	r.c.Tick(r.w.Now())
	r.look(r.w.Now())
	r.publish()
	return min(nap, max(0.1, r.c.Next()-r.w.Now()))
}

// look has the leader judge the zones, and propose what follows.
func (r *Runner) look(now float64) {
	if !r.c.IsLeader() {
		r.judge.Forget()
		return
	}
	if len(r.site.Zones) == 0 || now < r.judged+judgeEach {
		return
	}
	r.judged = now
	b := r.c.State()
	for _, p := range r.judge.Decide(now, b, r.site.Zones, r.site.Held) {
		r.log.Info().Str("mode", "zones").Str("zone", p.Zone).Stringer("is", b.Zone(p.Zone).State).Stringer("wanted", p.To).Str("cause", p.Cause).Msg("verdict proposed")
		r.c.Propose(func(out []byte, number uint64) []byte {
			return codec.AppendCommand(out, r.c.Name(), r.c.Life(), number, now, codec.CommandSetZoneState, p.Zone, "", "", p.Seen, uint32(p.To), p.Cause)
		})
	}
	if plan, ok := r.judge.Plan(now, b, r.site.Zones, r.site.Far); ok {
		r.c.Propose(func(out []byte, number uint64) []byte {
			out = codec.AppendCommand(out, r.c.Name(), r.c.Life(), number, now, codec.CommandSetPlan, "", "", "", 0, 0, "")
			for _, s := range plan {
				out = codec.AppendShare(out, s.From, s.To, s.Cores)
			}
			return out
		})
	}
}

// Report tells the leader what this process hears of the zones.
func (r *Runner) Report(sums map[string]zones.Sum) {
	b := codec.AppendMessage(nil, codec.MessageZoneReport, nil, 0, 0, 0, 0, 0)
	for _, zone := range slices.Sorted(maps.Keys(sums)) {
		s := sums[zone]
		b = codec.AppendZoneSummary(b, zone, s.Nodes, s.Heard, s.Room, s.Used)
	}
	r.Ask(func(c *consensus.Replica) { c.Report(b) })
}

// publish lets traffic see what has changed, and others which version is held.
func (r *Runner) publish() {
	was := r.view.Load()
	if was.Book == r.c.State() && was.Sure == r.c.LeaseExpiry() {
		return
	}
	r.view.Store(&View{Book: r.c.State(), Sure: r.c.LeaseExpiry()})
	if v := r.c.State().Version(); v != r.holds {
		r.holds = v
		r.all.See(func(d *membership.Detector) { d.Holds(v) })
	}
}

// edge executes what the replica decides.
type edge struct{ *Runner }

func (e edge) Send(to string, body []byte) {
	e.all.See(func(d *membership.Detector) { d.Carry(e.w.Now(), to, body) })
}

func (e edge) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	return e.disk.Save(hard, from, entries, snapshot, held)
}

func (e edge) Log(line string) { e.log.Info().Str("mode", "council").Msg(line) }

// carrier takes what members bring, under their lock: it only puts it down.
type carrier struct{ *Runner }

func (c carrier) Carried(from string, body []byte) {
	c.put(mail{from: from, body: body})
}

func (c carrier) Ahead(from string, version uint64) { c.put(mail{from: from, version: version}) }

func (r *Runner) put(m mail) {
	r.mu.Lock()
	if len(r.mail) < mostMail {
		r.mail = append(r.mail, m)
	}
	r.mu.Unlock()
	r.loop.Wake()
}
