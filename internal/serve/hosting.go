package serve

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/quotalease"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/engine"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// Where tenants come and go, the store in the state folder says who they are. It is opened for a look at a time, so that
// the command line and the administration can change it while the process runs.

// TenantStore is that store.
type TenantStore interface {
	Fingerprint() (uint64, error)
	Read() (tenants.State, error)
	TokenVerifier(known map[string]tenants.Token) func(now time.Time, shown string) (tenant string, ok bool)
	FinishRemoval(now time.Time, name string) (bool, error)
	Close() error
}

// Times in ms.
const (
	lookClubs  = 500
	foundAfter = 20000 // of a life, after which nodes have told what they hold, but for those that are away
)

// clubs is what is known of the tenants; under the desk.
type clubs struct {
	read    bool
	stamp   uint64
	book    *tenancy.Book
	tokens  map[string]tenants.Token
	verify  func(now time.Time, shown string) (tenant string, ok bool)
	left    map[int]map[int]count // by slot of those that are removed, and shard: what is left there
	began   float64
	fault   string
	pumping bool
	planned float64 // when lines are looked at again, 0: no plan
	loan    quotalease.Lease
}

// errNotAllowed says nothing more to who may not.
var errNotAllowed = jrpc2.Errorf(jrpc2.Code(-32001), "not allowed")

// errTooMany is told to who has shown a good token.
var errTooMany = jrpc2.Errorf(jrpc2.Code(-32002), "as many connections as may be")

func (s *Server) hosts() bool { return s.who.Site.MaxHostedTenants > 0 }

// keepClubs looks at the store from now on.
func (s *Server) keepClubs() error {
	if !s.hosts() {
		return nil
	}
	s.entry = connadmission.New(s.who.Site.MaxClients)
	s.clubs.began, s.clubs.left, s.clubs.book = s.w.Now(), map[int]map[int]count{}, tenancy.New(s.who.Site.MaxHostedTenants)
	if s.who.Tenants == nil {
		s.who.Tenants = func() (TenantStore, error) { return tenants.Open(s.who.Folder, s.who.Site.MaxHostedTenants) }
	}
	if err := bolt.RetryWhileLocked(context.Background(), atStart, s.clubsOnce); err != nil { // a store that is damaged is to be seen at the start
		return err
	}
	s.every(lookClubs, func() {
		s.clubsLook()
		s.strangersGo()
	})
	return nil
}

// atStart is how often a store is tried at a start: a process that gave up at once would not come back if it is started while
// somebody changes something.
const atStart = 25

// clubsLook looks once and logs a fault when it is a new one; what was known holds meanwhile.
func (s *Server) clubsLook() {
	fault := ""
	if err := s.clubsOnce(); err != nil && !errors.Is(err, bolt.ErrLocked) {
		fault = err.Error()
	}
	if fault != "" && fault != s.clubs.fault {
		s.log.Error().Str("mode", "tenants").Msg(fault)
	}
	s.clubs.fault = fault
}

func (s *Server) clubsOnce() error {
	store, err := s.who.Tenants()
	if err != nil {
		return err
	}
	defer store.Close()
	stamp, err := store.Fingerprint()
	if err != nil {
		return err
	}
	if !s.clubs.read || stamp != s.clubs.stamp {
		st, err := store.Read()
		if err != nil {
			return err
		}
		s.clubs.stamp = stamp
		s.turnClubs(st, store.TokenVerifier(st.Tokens))
	}
	s.shareRoom()
	s.words.Do("lines", func() {
		s.desk.Lock()
		defer s.desk.Unlock()
		ms, waiting := s.acts.Longest(s.w.Now())
		may, held := s.acts.Filled()
		s.log.Debug().Str("mode", "tenants").Float64("may_fill", may).Float64("held", held).Int("open", s.acts.Open()).Int("waiting", waiting).Float64("longest", ms).Msg("lines")
	})
	return s.evict(store)
}

// turnClubs takes what the store says now: limits, who takes nothing any more, whose token is gone.
func (s *Server) turnClubs(st tenants.State, verify func(time.Time, string) (string, bool)) {
	now := s.w.Now()
	s.desk.Lock()
	c := &s.clubs
	c.read, c.book, c.tokens, c.verify = true, st.Tenants, st.Tokens, verify
	active := 0
	doors := map[int]connadmission.Limits{}
	sharers, _ := c.loan.Now(now)
	for _, t := range st.Tenants.All() {
		if doors[t.Slot] = t.Duty(s.part(sharers)).Door; t.State == tenancy.Removed {
			doors[t.Slot] = connadmission.Limits{}
		}
		if t.State == tenancy.Active {
			active++
		}
	}
	declined := s.limit(now, sharers)
	s.desk.Unlock()
	s.mu.Lock()
	for slot, l := range doors {
		s.entry.Limit(slot, l)
	}
	s.mu.Unlock()
	s.turnAway(declined)
	s.log.Info().Str("mode", "tenants").Uint64("changes", st.Changes).Int("active", active).Int("turned_away", len(declined)).Msg("tenants read")
	s.cutForeign()
}

// part is what this process may use of all limits where so many share what is lent of them.
func (s *Server) part(sharers int) quotalease.Share {
	p := quotalease.Share{Places: s.who.Site.Cluster.Schedulers, Index: s.who.Index, Sharers: sharers}
	if s.who.Site.Members.Listen != "" {
		p.Lends = s.who.Site.Members.LeasedPart
	}
	return p
}

// limit sets all tenants' limits by that part, and gives what waits of those that take nothing any more; under the desk.
func (s *Server) limit(now float64, sharers int) (declined []shardrouter.Entry) {
	for _, t := range s.clubs.book.All() {
		declined = append(declined, s.acts.Tenant(now, t.Slot, t.Duty(s.part(sharers)))...)
	}
	return declined
}

// lend holds the lease on what is lent of limits against the clock, before anything passes by them; under the desk.
func (s *Server) lend(now float64) (declined []shardrouter.Entry) {
	sharers, turned := s.clubs.loan.Now(now)
	if !turned {
		return nil
	}
	s.log.Info().Str("mode", "tenants").Int("share", sharers).Float64("lends", s.part(0).Lends).Msg("limits")
	return s.limit(now, sharers)
}

// longest is the longest that an allocation may be open where limits are lent, ms: for so long what was lent stays in use.
func (s *Server) longest() float64 { return slices.Max(s.who.Site.Deadlines) }

func (s *Server) lends() bool { return s.hosts() && s.part(0).Lends > 0 }

func (s *Server) turnAway(declined []shardrouter.Entry) {
	for _, e := range declined {
		s.deliver(s.ownerOf(e), e, nil)
	}
}

// cutForeign ends connections whose token is not good any more, by the store or by time.
func (s *Server) cutForeign() {
	now := s.w.WallClock()
	for _, o := range s.connected() {
		o.mu.Lock()
		id := o.token
		o.mu.Unlock()
		if id == "" {
			continue
		}
		s.desk.Lock()
		k, ok := s.clubs.tokens[id]
		s.desk.Unlock()
		if !ok || !now.Before(k.Expires) {
			o.cut("its token is not good any more")
		}
	}
}

// shareRoom tells the desk how much there is to share, by the list: of nodes that take work, as far as they may be asked for.
func (s *Server) shareRoom() {
	cl := &s.who.Site.Cluster
	var all, unasked shardrouter.Room
	s.mu.Lock()
	for _, en := range s.list.Entries() {
		kind := slices.Index(s.who.Site.MachineKinds, en.Kind)
		if kind < 0 || en.Avail != 1 {
			continue
		}
		cores, memory := cl.KindCores[kind]*cl.CoresOvercommit, cl.KindMemory[kind]*cl.MemoryOvercommit
		all.Cores, all.Memory = all.Cores+cores, all.Memory+memory
		if cl.ListsReportLoad { // what the list says is free is of the machine, not of what may be asked for
			cores, memory = cores-cl.KindCores[kind]+en.FreeCores, memory-cl.KindMemory[kind]+en.FreeMemory
		}
		unasked.Cores, unasked.Memory = unasked.Cores+max(0, cores), unasked.Memory+max(0, memory)
	}
	s.mu.Unlock()
	s.desk.Lock()
	s.acts.Listed(all, unasked, cl.ListsReportLoad)
	s.desk.Unlock()
}

// evict ends what there is of tenants that are being removed, and the removal where nothing is left. After a restart nodes
// may hold what this life has not heard of: a removal ends only when they had time to tell.
func (s *Server) evict(store TenantStore) error {
	now := s.w.Now()
	s.desk.Lock()
	shards := s.living()
	removing := s.clubs.book.All()
	s.desk.Unlock()
	for _, t := range removing {
		if t.State != tenancy.Removing {
			continue
		}
		if s.gone(t.Slot, shards) && now-s.clubs.began > foundAfter {
			if _, err := store.FinishRemoval(s.w.WallClock(), t.Name); err != nil {
				return err
			}
			s.log.Info().Str("mode", "tenants").Str("tenant", t.Name).Msg("removed: nothing is left of it")
			continue
		}
		for _, sh := range shards {
			sh.tell(func(now float64) {
				n := sh.eng.EvictTenant(now, t.Slot, t.Ending == tenancy.Stop)
				s.desk.Lock()
				if s.clubs.left[t.Slot] == nil {
					s.clubs.left[t.Slot] = map[int]count{}
				}
				s.clubs.left[t.Slot][sh.index] = count{life: sh.life, all: n}
				s.desk.Unlock()
			})
		}
	}
	return nil
}

// gone tells whether no shard holds anything of a tenant, as last counted.
func (s *Server) gone(slot int, shards []*shard) bool {
	s.desk.Lock()
	defer s.desk.Unlock()
	for _, sh := range shards {
		if c, ok := s.clubs.left[slot][sh.index]; !ok || c.life != sh.life || c.all > 0 || sh.fenced.Load() {
			return false
		}
	}
	return s.acts.Holds(slot) == 0
}

// ownerOf gives who asked. One that is gone has nothing to be told; the shard finds that out by itself.
func (s *Server) ownerOf(e shardrouter.Entry) *owner {
	if o := s.owner(e.Ask.Owner); o != nil {
		return o
	}
	return &owner{s: s, shut: true, asks: map[uint64]asked{}}
}

// deliver has an ask go to the shard that the desk gave it to, or answers it. The shard is the one that entered gave, under the same
// hold of the desk: a later life of it knows nothing of the epoch.
func (s *Server) deliver(o *owner, e shardrouter.Entry, sh *shard) {
	a := e.Ask
	switch {
	case e.Waits:
		return
	case e.Why != "" && s.w.Now() >= a.Expiry: // it stood still: its owner has given up by itself
		o.end(a.Ref)
		return
	case e.Why != "":
		o.answer(a.Ref, engine.Declined, 0, e.Why, e.Back)
		return
	}
	s.tellAsk(o, sh, e)
}

// queueAt tells the desk of a shard's queue; under the desk.
func (s *Server) queueAt(now float64) shardrouter.Queue {
	return func(shard int) (float64, int) {
		sh := s.shards[shard]
		return sh.inbox.stuck(now), int(sh.ahead.Load())
	}
}

// pump lets asks go on whose turn has come.
func (s *Server) pump() {
	now := s.w.Now()
	s.desk.Lock()
	s.clubs.pumping = false
	all := append(s.lend(now), s.acts.Pump(now, s.queueAt(now))...)
	to, owners := make([]*shard, len(all)), make([]*owner, len(all))
	for i, e := range all {
		owners[i] = s.ownerOf(e)
		to[i] = s.entered(owners[i], e)
	}
	due := s.acts.Due(now)
	c := &s.clubs
	plan := due < now+pumpSoon && (c.planned == 0 || due < c.planned)
	if plan {
		c.planned = due
	}
	s.desk.Unlock()
	for i, e := range all {
		s.deliver(owners[i], e, to[i])
	}
	if plan { // one plan at a time, or each call would bring another
		s.w.After(max(1, due-now), func() {
			s.desk.Lock()
			if c.planned == due {
				c.planned = 0
			}
			s.desk.Unlock()
			s.pump()
		})
	}
}

// pumpSoon is how far ahead, in ms, a call is planned; what is due later finds another occasion.
const (
	pumpSoon = 200
	pumpEach = 100
)

// entered notes where an ask went, and gives the shard; under the desk.
func (s *Server) entered(o *owner, e shardrouter.Entry) *shard {
	if e.Waits || e.Why != "" {
		return nil
	}
	if e.Epoch > 0 {
		s.shards[e.At].ahead.Add(1)
	}
	o.note(e.Ask.Ref, e.At)
	return s.shards[e.At]
}

// freed has asks go on when there is room for one; under the desk.
func (s *Server) freed() {
	if !s.clubs.pumping && s.acts.Freed(s.w.Now()) {
		s.clubs.pumping = true
		s.soon(s.pump)
	}
}

// tellAsk tells a shard of an ask.
func (s *Server) tellAsk(o *owner, sh *shard, e shardrouter.Entry) {
	a, name := e.Ask, e.Name
	ok := sh.tell(func(now float64) {
		if e.Epoch > 0 {
			sh.asks++
		}
		err := sh.eng.Allocate(now, a.Owner, a.Ref, a.Job, name.Tenant, a.Service, name.Token, a.Cores, a.Memory,
			a.Expiry-now, s.epochNow(name, sh, e.Epoch))
		if err != nil && !sh.fenced.Load() { // the door lets no ref in twice: it was moved here by a fence
			o.answer(a.Ref, engine.Declined, 0, "open-already", 0)
		}
		if s.owner(a.Owner) == nil && s.hosts() { // it waited in a line, and its owner has left meanwhile
			sh.eng.OnClientDisconnected(now, a.Owner)
		}
	})
	if !ok && e.Epoch == 0 { // the shard was fenced a moment ago; what was taken for it, its fence has answered or moved
		o.answer(a.Ref, engine.Declined, 0, "shard-fenced", 0)
	}
}

// forgo answers an ask that waits for its turn as its owner gives it up; false if it does not wait.
func (s *Server) forgo(o *owner, ref uint64) bool {
	s.desk.Lock()
	ok := s.acts.Forgo(o.id, ref)
	s.desk.Unlock()
	if ok {
		o.answer(ref, engine.Declined, 0, "withdrawn", 0)
	}
	return ok
}
