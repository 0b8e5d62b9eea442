package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/audit"
	"ravenpond/internal/proto/owners"
)

// Want is an allocation that an owner wants until a time, asked for as often as need be.
type Want struct {
	Key, Tenant, JobType, Service string
	Job                           int
	Effect                        int
	Token, ServiceKey             uint64 // as the scheduler derives them
	Cores, Memory                 float64
	Within, Target                float64 // ms
	Until                         float64 // given up for good
	asks                          int
	askedAt                       float64
	since                         float64 // the first ask
	running                       bool
	done                          bool
}

// Tally is what became of one ask.
type Tally struct {
	At, Took float64
	Job      int
	Tenant   string
	Word     string // served, declined, failed, given-up, none
	InTime   bool   // a first start within the target delay
	First    bool
}

// Owner is a connection to one scheduler with all that is wanted through it.
type Owner struct {
	ID     int
	Sched  string
	Find   func() string // the scheduler's address now, "" while there is none
	Settle float64

	w      *World
	ctx    context.Context
	mu     sync.Mutex
	rng    *rand.Rand
	cli    *jrpc2.Client
	conn   net.Conn
	refs   uint64
	open   map[uint64]*Want // by ref: asked and not answered
	runs   map[uint64]*Want
	tally  []Tally
	orphan []*Want // wanted while there is no connection
}

// StartOwner connects an owner and keeps it connected.
func (w *World) StartOwner(ctx context.Context, o *Owner, seed uint64) {
	o.w, o.ctx, o.rng = w, ctx, rand.New(rand.NewPCG(seed, 11))
	o.open, o.runs = map[uint64]*Want{}, map[uint64]*Want{}
	w.goes(func() {
		for ctx.Err() == nil {
			if addr := o.Find(); addr != "" {
				o.session(addr)
			}
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
}

// session is one connection's life.
func (o *Owner) session(addr string) {
	var d net.Dialer
	conn, err := d.DialContext(o.ctx, "tcp", addr)
	if err != nil {
		return
	}
	cli := jrpc2.NewClient(owners.NewChannel(conn), &jrpc2.ClientOptions{OnNotify: o.notified,
		OnStop: func(*jrpc2.Client, error) { conn.Close() }})
	o.mu.Lock()
	o.cli, o.conn = cli, conn
	late := o.orphan
	o.orphan = nil
	o.mu.Unlock()
	for _, want := range late {
		o.Ask(want)
	}
	gone := make(chan struct{})
	o.w.goes(func() {
		select {
		case <-o.ctx.Done():
			conn.Close()
		case <-gone:
		}
	})
	wait(cli)
	close(gone)
	o.lost()
}

// wait returns when the connection is no more.
func wait(cli *jrpc2.Client) {
	for !cli.IsStopped() {
		time.Sleep(10 * time.Millisecond)
	}
}

// lost meets the end of a connection: what was open is asked for again, where a second start could do harm only
// after the settle time.
func (o *Owner) lost() {
	o.mu.Lock()
	o.cli = nil
	now := o.w.Now()
	var again []*Want
	for ref, want := range o.open {
		o.w.Trace.Add(audit.Record{At: now, Kind: audit.GaveUp, Sched: o.Sched, Owner: o.ID, Ref: ref})
		o.tally = append(o.tally, Tally{At: want.askedAt, Job: want.Job, Tenant: want.Tenant, Word: "cut-off"})
		again = append(again, want)
	}
	for _, want := range o.runs { // it runs on; asked for again, it is found or started anew
		again = append(again, want)
	}
	o.open, o.runs = map[uint64]*Want{}, map[uint64]*Want{}
	o.mu.Unlock()
	for _, want := range again {
		want.running = false
		o.again(want, 200, true)
	}
}

// again asks after a while, if it is still wanted.
func (o *Owner) again(want *Want, after float64, doubtful bool) {
	o.mu.Lock()
	after *= 0.75 + 0.5*o.rng.Float64()
	o.mu.Unlock()
	if doubtful && want.Effect != audit.Restartable {
		after += o.Settle
	}
	if o.w.Now()+after > want.Until || o.ctx.Err() != nil {
		return
	}
	time.AfterFunc(time.Duration(after*1e6), func() { o.Ask(want) })
}

// Ask asks for an allocation.
func (o *Owner) Ask(want *Want) {
	now := o.w.Now()
	if now > want.Until || o.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	if o.cli == nil {
		o.orphan = append(o.orphan, want)
		o.mu.Unlock()
		return
	}
	o.refs++
	ref, cli := o.refs, o.cli
	o.open[ref] = want
	want.asks++
	want.askedAt = now
	if want.asks == 1 {
		want.since = now
	}
	// recorded before it is sent: an answer can't come before its ask, and the time is counted from here
	o.w.Trace.Add(audit.Record{At: now, Kind: audit.Asked, Sched: o.Sched, Owner: o.ID, Ref: ref, Job: want.Job,
		Token: want.Token, Service: want.ServiceKey, Until: now + want.Within})
	o.mu.Unlock()
	err := cli.Notify(o.ctx, "allocate", map[string]any{"ref": ref, "tenant": want.Tenant, "key": want.Key,
		"job-type": want.JobType, "service": want.Service, "cores": want.Cores, "memory": want.Memory,
		"within-ms": want.Within, "sent-at-ms": time.Now().UnixMilli()})
	if err != nil {
		cli.Close() // lost meets the rest
		return
	}
	time.AfterFunc(time.Duration((want.Within+1500)*1e6), func() { o.overdue(ref) })
}

// overdue meets an ask that no answer came to.
func (o *Owner) overdue(ref uint64) {
	o.mu.Lock()
	want := o.open[ref]
	delete(o.open, ref)
	if want != nil {
		o.tally = append(o.tally, Tally{At: want.askedAt, Job: want.Job, Tenant: want.Tenant, Word: "none"})
	}
	o.mu.Unlock()
	if want != nil {
		o.again(want, 200, true)
	}
}

// Withdraw gives up part of all that is wanted and asks for it again, as when services are stopped.
func (o *Owner) Withdraw(part float64) {
	o.mu.Lock()
	var refs []uint64
	for ref := range o.runs {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	for ref := range o.open {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	cli := o.cli
	o.mu.Unlock()
	for _, ref := range refs {
		if cli == nil || cli.Notify(o.ctx, "withdraw", map[string]any{"ref": ref}) != nil {
			return
		}
	}
}

func (o *Owner) notified(req *jrpc2.Request) {
	var news struct {
		Ref    uint64
		Answer string
		How    string
		Why    string
	}
	if json.Unmarshal([]byte(req.ParamString()), &news) != nil {
		return
	}
	now := o.w.Now()
	if req.Method() == "answer" {
		o.answered(now, news.Ref, news.Answer, news.Why)
		return
	}
	o.mu.Lock()
	want := o.runs[news.Ref]
	delete(o.runs, news.Ref)
	o.mu.Unlock()
	if want == nil {
		return
	}
	if want.running = false; news.How != "ended" {
		o.again(want, 150, news.How == "lost" && news.Why == "")
	} else {
		want.done = true
	}
}

func (o *Owner) answered(now float64, ref uint64, word, why string) {
	o.w.Trace.Add(audit.Record{At: now, Kind: audit.Answered, Sched: o.Sched, Owner: o.ID, Ref: ref, Word: word})
	o.mu.Lock()
	want := o.open[ref]
	delete(o.open, ref)
	if want == nil {
		o.mu.Unlock()
		return
	}
	took := now - want.askedAt
	o.tally = append(o.tally, Tally{At: want.askedAt, Took: took, Job: want.Job, Tenant: want.Tenant, Word: word,
		First: want.asks == 1, InTime: word == "served" && want.asks == 1 && took <= want.Target})
	if word == "served" {
		want.running = true
		o.runs[ref] = want
	}
	o.mu.Unlock()
	switch {
	case word == "declined":
		o.again(want, 1000, false)
	case word == "failed":
		o.again(want, 1000, true)
	}
}

// Tallies returns what became of all asks.
func (o *Owner) Tallies() []Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Tally(nil), o.tally...)
}
