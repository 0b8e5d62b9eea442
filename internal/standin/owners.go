package standin

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/outside"
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
	Token  string // that it shows first, where tenants come and go

	w      *World
	mu     sync.Mutex
	rng    *rand.Rand
	conn   outside.Conn // nil while there is none
	refs   uint64
	open   map[uint64]*Want // by ref: asked and not answered
	runs   map[uint64]*Want
	tally  []Tally
	orphan []*Want // wanted while there is no connection

	lostWork int // ends that it was told of as lost
}

// StartOwner connects an owner and keeps it connected.
func (w *World) StartOwner(o *Owner, seed uint64) {
	o.w, o.rng = w, rand.New(rand.NewPCG(seed, 11))
	o.open, o.runs = map[uint64]*Want{}, map[uint64]*Want{}
	o.connect()
}

const (
	ownerAgain = 50 // ms before the next connection is tried
	ownerDial  = 1000
	ownerStuck = 5000
)

// connect makes a connection, again and again until there is one.
func (o *Owner) connect() {
	addr := o.Find()
	if addr == "" {
		o.w.After(ownerAgain, o.connect)
		return
	}
	o.w.Dial(addr, ownerDial, func(conn outside.Conn, err error) {
		if err != nil {
			o.w.After(ownerAgain, o.connect)
			return
		}
		o.mu.Lock()
		o.conn = conn
		late := o.orphan
		o.orphan = nil
		o.mu.Unlock()
		conn.Start(&session{o: o, conn: conn}, ownerStuck)
		if o.Token != "" {
			o.call(conn, "authenticate", map[string]any{"token": o.Token})
		}
		for _, want := range late {
			o.Ask(want)
		}
	})
}

// session is one connection's life.
type session struct {
	o    *Owner
	conn outside.Conn
	in   owners.Splitter
}

// OnData takes what the scheduler sends.
func (s *session) OnData(b []byte) {
	if err := s.in.Feed(b, s.o.notified); err != nil {
		s.conn.Close(false, nil)
	}
}

// OnClose meets the end of the connection.
func (s *session) OnClose(error) {
	s.o.lost()
	s.o.w.After(ownerAgain, s.o.connect)
}

// call sends a notification.
func (o *Owner) call(conn outside.Conn, method string, params map[string]any) {
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
	if err != nil {
		return
	}
	conn.Send(func(b []byte) []byte { return owners.Append(b, body) })
}

// lost meets the end of a connection: what was open is asked for again, where a second start could do harm only
// after the settle time.
func (o *Owner) lost() {
	o.mu.Lock()
	o.conn = nil
	now := o.w.Now()
	var again []*Want
	for _, ref := range slices.Sorted(maps.Keys(o.open)) {
		want := o.open[ref]
		o.w.Trace.Add(audit.Record{At: now, Kind: audit.GaveUp, Sched: o.Sched, Owner: o.ID, Ref: ref})
		o.tally = append(o.tally, Tally{At: want.askedAt, Job: want.Job, Tenant: want.Tenant, Word: "cut-off"})
		again = append(again, want)
	}
	for _, ref := range slices.Sorted(maps.Keys(o.runs)) { // it runs on; asked for again, it is found or started anew
		again = append(again, o.runs[ref])
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
	if o.w.Now()+after > want.Until {
		return
	}
	o.w.After(after, func() { o.Ask(want) })
}

// Ready tells whether the owner is connected.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn != nil
}

// Ask asks for an allocation.
func (o *Owner) Ask(want *Want) {
	now := o.w.Now()
	if now > want.Until {
		return
	}
	o.mu.Lock()
	if o.conn == nil {
		o.orphan = append(o.orphan, want)
		o.mu.Unlock()
		return
	}
	o.refs++
	ref, conn := o.refs, o.conn
	o.open[ref] = want
	want.asks++
	want.askedAt = now
	if want.asks == 1 {
		want.since = now
	}
	// recorded before it is sent: an answer can't come before its ask, and the time is counted from here
	o.w.Trace.Add(audit.Record{
		At: now, Kind: audit.Asked, Sched: o.Sched, Owner: o.ID, Ref: ref, Job: want.Job,
		Token: want.Token, Service: want.ServiceKey, Until: now + want.Within,
	})
	o.mu.Unlock()
	o.call(conn, "allocate", map[string]any{
		"ref": ref, "tenant": want.Tenant, "key": want.Key,
		"job-type": want.JobType, "service": want.Service, "cores": want.Cores, "memory": want.Memory,
		"within-ms": want.Within, "sent-at-ms": o.w.WallClock().UnixMilli(),
	})
	o.w.After(want.Within+1500, func() { o.overdue(ref) })
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
	for _, ref := range slices.Sorted(maps.Keys(o.runs)) {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(o.open)) {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	conn := o.conn
	o.mu.Unlock()
	for _, ref := range refs {
		if conn != nil {
			o.call(conn, "withdraw", map[string]any{"ref": ref})
		}
	}
}

// notified takes a notification; replies to calls there are none.
func (o *Owner) notified(body []byte) error {
	var msg struct {
		Method string
		Params struct {
			Ref    uint64
			Answer string
			How    string
			Why    string
		}
	}
	if err := json.Unmarshal(body, &msg); err != nil {
		return err
	}
	now, news := o.w.Now(), &msg.Params
	if msg.Method == "answer" {
		o.answered(now, news.Ref, news.Answer, news.Why)
		return nil
	}
	o.mu.Lock()
	want := o.runs[news.Ref]
	delete(o.runs, news.Ref)
	if news.How == "lost" {
		o.lostWork++
	}
	o.mu.Unlock()
	if want == nil {
		return nil
	}
	if want.running = false; news.How != "ended" {
		o.again(want, 150, news.How == "lost" && news.Why == "")
	} else {
		want.done = true
	}
	return nil
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
	o.tally = append(o.tally, Tally{
		At: want.askedAt, Took: took, Job: want.Job, Tenant: want.Tenant, Word: word,
		First: want.asks == 1, InTime: word == "served" && want.asks == 1 && took <= want.Target,
	})
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

// LostWork is of how many tasks it was told that they are lost.
func (o *Owner) LostWork() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lostWork
}

// Tallies returns what became of all asks.
func (o *Owner) Tallies() []Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Tally(nil), o.tally...)
}
