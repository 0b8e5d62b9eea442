// Package platform is the program's way in and out on the platform: its door for owners, its connections to nodes, the
// journal service that tells the node list, the configuration. It decides nothing of placement; what becomes of an
// allocation is the host's to say. All of it is guarded by one lock, under which nothing waits.
package platform

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/overload"
	"ravenpond/internal/decide/shutdown"
	"ravenpond/internal/outside"
	"ravenpond/internal/platform/host"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/internal/settings"
	"ravenpond/logic"
)

// Server is one scheduler on the platform.
type Server struct {
	world outside.World
	log   zerolog.Logger
	loop  outside.Loop
	door  outside.Door
	parts budget.Parts
	known *settings.Deployment

	jobs, tenants, zones, kinds map[string]int
	epoch                       float64 // Unix ms of the world's zero

	mu          sync.Mutex
	host        *host.Host
	admit       *admit.Door
	gate        admit.Gate
	lag         overload.Watch
	wanted      float64         // when the loop's next turn is due
	inbox       []*ask          // taken, and not yet the host's
	inboxAt     float64         // since when asks are taken out of it one after the other, 0: it was empty
	asks        map[uint32]*ask // by the host's number
	tasks       map[uint64]*ask // by the owner's
	names       map[string]*peer
	peers       map[uint32]*peer
	owners      map[*owner]bool
	callers     uint64 // owners' connections ever
	links       int    // connections to nodes, made or being made
	feed        feed
	probes      map[uint64]*link
	owed        []word // to owners of whom none is connected
	report      []float64
	counts      counts
	words       besteffort.Fence // round what is only said to people
	guests      int              // owners' connections that are not let in
	stopped     bool
	told        float64
	plan        shutdown.Plan
	done        chan struct{}
	ended       bool
	answeredAll bool
	parted      bool
	ticked      float64
	looked      float64
}

// ask is an allocation on its way, or what stands for it.
type ask struct {
	alloc            uint32
	task             uint64
	tenant           int
	owner            *owner // on whose connection it came; nil once that is gone
	peer             *peer  // where it was offered last
	link             *link  // on which that offer is open
	try              uint8
	sent             uint64 // bytes sent on that connection, this offer included; of what stands, on its owner's, the answer included
	bytes            int    // of the offer
	until            float64
	expiry           float64
	jobIs            int
	service          uint64
	cores, memory    float64
	jobType, name    []byte
	key, description []byte
	answered, stands bool
}

// counts are figures for the log.
type counts struct {
	taken, turned, served, declined, failed, withdrawn, over, moved, found int
	offers                                                                 int
	verdicts                                                               [8]int
	dials, looks, refused, spent, spoilt, expelled, probes                 int
	behind                                                                 int     // turned away as they could not be done in time
	lag                                                                    float64 // the most since it was told
}

// New makes a scheduler from its configuration. Nothing is connected yet.
func New(world outside.World, log zerolog.Logger, c *Configuration) *Server {
	s := &Server{world: world, log: log, known: c.Known, parts: budget.Divide(c.Sockets, c.MemoryMB), asks: map[uint32]*ask{},
		tasks: map[uint64]*ask{}, names: map[string]*peer{}, peers: map[uint32]*peer{}, owners: map[*owner]bool{},
		probes: map[uint64]*link{}, done: make(chan struct{}), epoch: float64(outside.Epoch.UnixMilli())}
	s.jobs, s.tenants = places(c.Known.JobTypes), places(c.Known.Tenants)
	s.zones, s.kinds = places(c.Known.Zones), places(c.Known.Kinds)
	s.words.Tell = func(what, why string) {
		log.Error().Str("mode", "words").Str("what", what).Str("why", why).Msg("switched off")
	}
	shares := c.Known.Shares
	if len(shares) == 0 {
		shares = []float64{1}
	}
	s.admit = admit.New(min(s.parts.Open, c.Known.OpenMost), shares)
	soonest := math.Inf(1)
	for _, j := range c.Known.Cluster.JobTypes {
		soonest = min(soonest, j.Target)
	}
	s.gate = admit.Within(soonest)
	return s
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// Start opens the door, and from then on the scheduler runs until Stop has had its effect.
func (s *Server) Start(c *Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	s.host = host.New(edge{s}, now, c.Seed, c.Known.Cluster)
	s.host.Connects(c.Known.ConnectFor)
	if err := s.begin(now, c); err != nil {
		return err
	}
	door, err := s.world.Listen(c.Listen, s.came)
	if err != nil {
		return fmt.Errorf("owners' door: %w", err)
	}
	s.door = door
	s.wanted = s.world.Now()
	s.loop = s.world.Loop(s.turn)
	s.log.Info().Str("mode", "start").Str("owners", door.Address()).Int("nodes", len(s.peers)).
		Int("owner_conns", s.parts.Owners).Int("node_conns", s.parts.Nodes).Int("open_most", s.parts.Open).Msg("open")
	return nil
}

// Done is closed when the scheduler has ended as it was told to.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop has the scheduler end: it takes what comes for a while yet, answers all that it took, and leaves what stands.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped, s.told = true, s.world.Now()
		s.plan = shutdown.Told(s.told, slices.Max(s.known.Expiry))
		s.log.Info().Str("mode", "stop").Int("open", s.host.Open()).Int("stands", s.host.Stands()).Msg("told to end")
	}
	s.wake()
}

// Times in milliseconds.
const (
	tickEvery = 100
	logEvery  = 5000
)

// turn is the scheduler's loop: what is due in the host, and a look at connections.
func (s *Server) turn() (wait float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	due := s.wanted
	s.wanted = math.Inf(1)
	s.host.Patience(s.lag.Patience(now))
	took := 0
	if now >= s.host.Soonest() { // else no round comes of it
		took = s.takeIn(now, overload.TakeIn(s.gate.Cost()))
	}
	s.host.Round(now)
	if now >= s.ticked+tickEvery {
		s.ticked = now
		s.tick(now)
	}
	if s.stopped {
		s.shutdown(now)
	}
	next := min(s.host.Next(), s.ticked+tickEvery)
	if len(s.inbox) > 0 {
		next = min(next, s.host.Soonest())
	}
	ended := s.world.Now()
	s.worked(due, now, ended, took)
	wait = max(0.2, next-ended)
	s.wanted = min(s.wanted, ended+wait)
	return wait
}

// wake has the loop take a turn.
func (s *Server) wake() {
	s.wanted = min(s.wanted, s.world.Now())
	s.loop.Wake()
}

// takeIn hands asks of the inbox to the host. News of what is under way came first: it was taken when it was read.
func (s *Server) takeIn(now float64, most int) (took int) {
	n := 0
	for ; n < len(s.inbox) && took < most; n++ {
		a := s.inbox[n]
		s.inbox[n] = nil
		if a.answered {
			continue
		}
		took++
		a.alloc = s.host.Allocate(now, a.jobIs, a.tenant, a.expiry, a.service, a.cores, a.memory)
		s.asks[a.alloc] = a
	}
	if s.inbox = s.inbox[n:]; len(s.inbox) == 0 {
		s.inbox = nil // a burst's memory is given back
	}
	return took
}

// worked measures a turn: how far behind it shows the process to be, and what asks cost.
func (s *Server) worked(due, began, ended float64, took int) {
	tight := s.gate.Tight()
	s.lag.Turn(due, began, ended)
	behind := s.lag.Behind(ended)
	s.counts.lag = max(s.counts.lag, behind)
	if took > 0 {
		since := began
		if s.inboxAt > 0 {
			since = s.inboxAt
		}
		s.gate.Worked(ended-since, took)
	}
	s.inboxAt = 0
	if len(s.inbox) > 0 {
		s.inboxAt = ended
	}
	if !tight && s.gate.Tight() {
		s.log.Info().Str("mode", "behind").Float64("ms", math.Round(behind)).Int("inbox", len(s.inbox)).Int("open", s.host.Open()).
			Float64("ask_ms", math.Round(s.gate.Cost()*100)/100).Msg("takes only what it can do in time")
	}
}

// shutdown goes through what is due for a scheduler that was told to end.
func (s *Server) shutdown(now float64) {
	if now >= s.plan.Answer && !s.answeredAll {
		s.answeredAll = true
		s.log.Info().Str("mode", "stop").Int("open", s.host.Open()).Int("inbox", len(s.inbox)).Int("stands", s.host.Stands()).
			Msg("answers what is open")
		s.takeIn(now, len(s.inbox))
		s.host.Close(now)
	}
	if now >= s.plan.Part && !s.parted {
		s.parted = true
		s.door.Close() // who waits at it is let in first, and answered until the end
		for _, o := range s.eachOwner() {
			if owed := len(o.open); owed > 0 {
				s.log.Error().Str("mode", "stop").Int("open", owed).Msg("a connection is ended on which answers are owed")
			}
			o.part()
		}
	}
	if now >= s.plan.End && !s.ended {
		s.ended = true
		s.log.Info().Str("mode", "stop").Float64("after_ms", math.Round(now-s.told)).Msg("ends")
		close(s.done)
	}
}

func (s *Server) tick(now float64) {
	s.feedTick(now)
	for _, p := range s.each() {
		s.peerTick(now, p)
	}
	s.ownersTick(now)
	if now-s.looked > logEvery {
		s.looked = now
		s.words.Do("counts", s.count)
	}
}

// each is all nodes in an order of their own: the same news have the same effects.
func (s *Server) each() []*peer {
	return slices.SortedFunc(maps.Values(s.peers), func(x, y *peer) int { return cmp.Compare(x.id, y.id) })
}

// count tells people how the scheduler fares.
func (s *Server) count() {
	c := &s.counts
	ill, strained := 0, 0
	for id := range s.peers {
		if b, ok := s.host.Believes(id); ok && b.Ill {
			ill++
		} else if ok && b.Strain > 0.5 {
			strained++
		}
	}
	reports, cores, memory := s.host.Mistaken()
	s.log.Info().Str("mode", "counts").Int("open", s.host.Open()).Int("stands", s.host.Stands()).Int("owners", len(s.owners)).
		Int("links", s.links).Int("nodes", len(s.peers)).Int("taken", c.taken).Int("turned", c.turned).Int("behind", c.behind).
		Float64("lag_ms", math.Round(c.lag)).Int("served", c.served).
		Int("declined", c.declined).Int("failed", c.failed).Int("withdrawn", c.withdrawn).Int("over", c.over).Int("moved", c.moved).
		Int("found", c.found).Int("offers", c.offers).Ints("verdicts", c.verdicts[:]).Int("dials", c.dials).Int("looks", c.looks).
		Int("refused", c.refused).Int("spent", c.spent).Int("spoilt", c.spoilt).Int("expelled", c.expelled).Int("probes", c.probes).
		Int("ill", ill).Int("strained", strained).Int("reports", reports).
		Float64("off_cores", math.Round(cores*10)/10).Float64("off_memory", math.Round(memory*10)/10).Msg("")
	c.lag = 0
}

// trace tells of one message or effect, where the log's level wants it.
func (s *Server) trace(what string, task uint64, f func(*zerolog.Event)) {
	if e := s.log.Debug(); e.Enabled() {
		s.words.Do("trace: "+what, func() {
			e.Float64("at", s.world.Now()+s.epoch).Str("task", fmt.Sprintf("%016x", task))
			if f != nil {
				f(e)
			}
			e.Msg(what)
		})
	}
}

// number is the module's number of a node, the same at all schedulers: they take turns at a cold node by it.
func (s *Server) number(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	n := f.Sum32()
	for p := s.peers[n]; p != nil && p.name != name; p = s.peers[n] {
		n++
	}
	return n
}

// edge carries out the host's effects.
type edge struct{ *Server }

func (s edge) Answer(alloc uint32, declined bool) {
	a := s.asks[alloc]
	if a == nil || a.answered {
		return
	}
	s.answered(a)
	cause := byte(codec.Reset)
	if declined {
		cause = codec.Busy
		s.counts.declined++
	} else {
		s.counts.failed++
	}
	s.trace("answer", a.task, func(e *zerolog.Event) { e.Bool("declined", declined) })
	if a.owner != nil {
		a.owner.say(func(b []byte) []byte { return codec.AppendEnd(b, a.task, cause) })
	}
}

// abandon gives up an ask whose owner has closed its connection.
func (s *Server) abandon(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.answered {
		s.withdraw(a)
	}
}

// answered counts an ask out of those that are open. Its task's number is free from then on, unless it stands.
func (s *Server) answered(a *ask) {
	a.answered = true
	s.admit.Leave(a.tenant)
	if a.owner != nil {
		delete(a.owner.open, a.task)
	}
}

func (s edge) Over(alloc uint32, v logic.Verdict) {
	a := s.asks[alloc]
	if a == nil {
		return
	}
	s.counts.over++
	s.trace("over", a.task, func(e *zerolog.Event) { e.Uint8("verdict", uint8(v)) })
	s.released(a, map[logic.Verdict]byte{logic.Ended: codec.Normal, logic.CalledOff: codec.Elsewhere}[v])
}

// released tells an owner that what stood is over.
func (s *Server) released(a *ask, cause byte) {
	if cause == 0 {
		cause = codec.Reset
	}
	s.tell(a, word{task: a.task, cause: cause})
}

// word is what an owner is owed about what stood: its end with a cause, or a move.
type word struct {
	task  uint64
	cause byte    // 0: a move
	since float64 // when it was owed
}

func (w word) append(b []byte) []byte {
	if w.cause == 0 {
		return codec.AppendMove(b, w.task)
	}
	return codec.AppendEnd(b, w.task, w.cause)
}

// tell gives an owner word of what stood: on the connection that it came on, else on another on which something was served, else on
// the next such; but if there is none in time, as in a flood in which all is declined, on one on which something was asked.
func (s *Server) tell(a *ask, w word) {
	if a.owner != nil && a.owner.listens() && a.owner.say(w.append) {
		return
	}
	for _, o := range s.eachOwner() {
		if o.proven && o.listens() && o.say(w.append) {
			return
		}
	}
	w.since = s.world.Now()
	s.owed = append(s.owed[max(0, len(s.owed)-connlimits.MostEnds+1):], w)
}

func (s edge) Forget(alloc uint32) {
	a := s.asks[alloc]
	if a == nil {
		return
	}
	delete(s.asks, alloc)
	if s.tasks[a.task] == a {
		delete(s.tasks, a.task)
	}
	if a.owner != nil {
		delete(a.owner.stands, a)
	}
	if a.peer != nil {
		delete(a.peer.stands, a)
	}
}

func (s edge) Move(alloc uint32) {
	if a := s.asks[alloc]; a != nil {
		s.counts.moved++
		s.trace("move", a.task, func(e *zerolog.Event) { e.Bool("owner", a.owner != nil).Str("node", a.peer.name) })
		s.tell(a, word{task: a.task})
	}
}

func (s edge) Follow() { s.feed.asked = true }

func (s edge) Mode(line string) { s.log.Info().Str("mode", "module").Msg(line) }

func (s edge) Offer(alloc uint32, try uint8, node uint32, left float64) {
	a, p := s.asks[alloc], s.peers[node]
	a.peer, a.try, a.until = p, try, s.world.Now()+left
	if a.left() { // the host hears of it when it can
		s.world.After(0, func() { s.abandon(a) })
		return
	}
	s.counts.offers++
	s.trace("offer", a.task, func(e *zerolog.Event) { e.Str("node", p.name).Uint8("try", try).Float64("left", left) })
	s.offer(a, p)
}

func (s edge) GiveUp(alloc uint32, try uint8, _ uint32) {
	if a := s.asks[alloc]; a != nil && a.try == try {
		s.trace("give up", a.task, func(e *zerolog.Event) { e.Str("node", a.peer.name).Uint8("try", try) })
		s.giveUp(a)
	}
}

func (s edge) Cut(alloc uint32, _ uint32) {
	if a := s.asks[alloc]; a != nil && a.peer != nil {
		s.cut(a.peer, a.task)
	}
}

func (s edge) Probe(node, seq uint32) {
	s.counts.probes++
	s.probe(s.peers[node], seq)
}

// settled tells the host how a try, or what stood, has ended.
func (s *Server) settled(a *ask, v logic.Verdict, why logic.Reason, report []float64) {
	s.counts.verdicts[v]++
	s.trace("settled", a.task, func(e *zerolog.Event) {
		e.Uint8("verdict", uint8(v)).Uint8("why", uint8(why)).Floats64("report", report).Bool("stood", a.stands)
		if a.peer == nil {
			return
		}
		e.Str("node", a.peer.name)
		if b, ok := s.host.Believes(a.peer.id); ok {
			e.Floats64("believed", []float64{b.Cores, b.Memory}).Float64("strain", b.Strain).Float64("risk", b.Risk).Bool("ill", b.Ill)
		}
	})
	s.host.Settled(s.world.Now(), a.alloc, a.try, v, why, report)
	s.wake()
}

// messages gives out the messages that came, of which held is the beginning. It returns the part of one that is still to
// be completed, in memory of its own: an idle connection keeps none.
func messages(held, b []byte, each func(msg []byte) error) (rest []byte, err error) {
	if len(held) > 0 {
		b = append(held, b...)
	}
	for {
		msg, took, err := codec.Next(b)
		if err == nil && took > 0 {
			err = each(msg)
		}
		if err != nil {
			return nil, err
		}
		if took == 0 {
			return append([]byte(nil), b...), nil
		}
		b = b[took:]
	}
}

// remove takes one out of a list without keeping its order.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		list[i] = list[len(list)-1]
		var zero T
		list[len(list)-1] = zero
		list = list[:len(list)-1]
	}
	return list
}
