package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// request is what a client requests, until its final answer, and its running task after that. Server.mu guards it.
type request struct {
	allocID         uint32 // the host's number, 0 while the request waits in the inbox
	task            uint64 // the client's number
	tenant          int
	jobClass        int
	deadline        float64 // when the client stops waiting
	demand          codec.Demand
	fields          taskFields // what nodes are sent; empty once the task runs
	client          *clientConn
	node            *node     // of the last attempt
	conn            *nodeConn // on which the attempt in flight was sent
	attempt         uint8     // number of the last attempt
	attemptDeadline float64
	attemptBytes    int    // size of the last attempt's message
	sentThrough     uint64 // bytes sent on conn, the attempt's message included; once the task runs, on the client's connection, the answer included
	answered        bool   // the client has its final answer, or needs none
	running         bool   // the task runs
}

// taskFields are the parts of a request that go on to nodes.
type taskFields struct{ jobClass, name, key, description []byte }

// newTaskFields copies the fields out of a message, into one piece of memory.
func newTaskFields(f requestFields, description []byte) taskFields {
	kept := make([]byte, 0, len(f.jobClassName)+len(f.name)+len(f.key)+len(description))
	keep := func(v []byte) []byte {
		from := len(kept)
		kept = append(kept, v...)
		return kept[from:len(kept):len(kept)]
	}
	t := taskFields{jobClass: keep(f.jobClassName), name: keep(f.name)}
	if f.key != nil {
		t.key = keep(f.key)
	}
	t.description = keep(description)
	return t
}

// clientGone returns whether the client of a request has closed its connection. Nothing new begins for it then and nothing is sent to it,
// though what it sent before may not be read yet.
func (r *request) clientGone() bool { return r.client == nil || !r.client.isOpen() }

// placement returns a request as the host takes it.
func (r *request) placement() logic.Request {
	return logic.Request{
		Class: r.jobClass, Tenant: r.tenant, Deadline: r.deadline, Service: r.demand.Service, Cores: r.demand.Cores, Memory: r.demand.Memory,
	}
}

// requestTable holds requests and running tasks. Server.mu guards it.
type requestTable struct {
	server    *Server
	admission *admission.Limiter  // counts requests without a final answer, by tenant
	inbox     []*request          // accepted, and not yet the host's
	byAlloc   map[uint32]*request // by the host's number
	byTask    map[uint64]*request // by the client's number
}

func newRequestTable(s *Server) requestTable {
	quotas := s.settings.Quotas
	if len(quotas) == 0 {
		quotas = []float64{1}
	}
	return requestTable{
		server: s, admission: admission.NewLimiter(min(s.limits.Open, s.settings.MaxOpen), quotas),
		byAlloc: map[uint32]*request{}, byTask: map[uint64]*request{},
	}
}

// task returns the request with a client's number, nil if there is none.
func (t *requestTable) task(task uint64) *request { return t.byTask[task] }

// allocation returns the request with a number of the host, nil if there is none.
func (t *requestTable) allocation(id uint32) *request { return t.byAlloc[id] }

// waiting returns how many requests wait in the inbox.
func (t *requestTable) waiting() int { return len(t.inbox) }

// held returns how many requests and running tasks the host has.
func (t *requestTable) held() int { return len(t.byAlloc) }

// admit counts one more open request of a tenant, unless that is beyond a limit. left is the client's time in ms.
func (t *requestTable) admit(tenant int, left float64) admission.Verdict {
	return t.admission.Admit(tenant, left, connlimits.MinTimeLeft, true)
}

// add puts an admitted request into the inbox.
func (t *requestTable) add(r *request) {
	t.byTask[r.task] = r
	t.inbox = append(t.inbox, r)
}

// addRunning adds a task that runs at its node already. The host takes it over.
func (t *requestTable) addRunning(now float64, r *request) {
	t.byTask[r.task] = r
	r.allocID = t.server.host.RecoverTask(now, logic.Recovered{Request: r.placement(), Node: r.node.id})
	t.byAlloc[r.allocID] = r
}

// start hands at most limit requests of the inbox to the host and returns how many. Events of tasks under way need no turn: they are handled as
// they are read.
func (t *requestTable) start(now float64, limit int) (started int) {
	n := 0
	for ; n < len(t.inbox) && started < limit; n++ {
		r := t.inbox[n]
		t.inbox[n] = nil
		if r.answered {
			continue
		}
		started++
		r.allocID = t.server.host.Allocate(now, r.placement())
		t.byAlloc[r.allocID] = r
	}
	if t.inbox = t.inbox[n:]; len(t.inbox) == 0 {
		t.inbox = nil // frees the memory of a burst
	}
	return started
}

// markAnswered counts a request out of those that are open.
func (t *requestTable) markAnswered(r *request) {
	r.answered = true
	t.admission.Release(r.tenant)
	if r.client != nil {
		r.client.onAnswered(r)
	}
}

// withdraw drops a request, or stops a task, that its client no longer wants.
func (t *requestTable) withdraw(r *request) {
	s := t.server
	s.telemetry.count(countWithdrawn)
	s.telemetry.trace("withdrawn", r.task, func(e *zerolog.Event) { e.Bool("stood", r.running) })
	if !r.answered {
		t.markAnswered(r)
	}
	if r.allocID == 0 { // still in the inbox
		delete(t.byTask, r.task)
		return
	}
	s.host.OnWithdrawn(s.env.Now(), r.allocID)
	s.loop.wake()
}

// withdrawLater withdraws a request outside the present call, as the host must not be called from its effects.
func (t *requestTable) withdrawLater(r *request) {
	s := t.server
	s.env.After(0, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !r.answered {
			t.withdraw(r)
		}
	})
}

// completeUnsentLater reports, outside the present call, that the last attempt of a request never left this machine.
func (t *requestTable) completeUnsentLater(r *request) {
	s, attempt := t.server, r.attempt
	s.env.After(0, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.attempt == attempt && r.conn == nil {
			t.complete(r, attemptOutcome{verdict: logic.NotSent})
		}
	})
}

// attemptOutcome is how an attempt, or a running task, has ended.
type attemptOutcome struct {
	verdict logic.Outcome
	reason  logic.Reason
	report  []float64 // the node's load report, valid during the call
}

// complete tells the host the outcome of the last attempt of a request, or of its running task.
func (t *requestTable) complete(r *request, o attemptOutcome) {
	s := t.server
	s.telemetry.countOutcome(o.verdict)
	s.telemetry.traceOutcome(r, o)
	s.host.OnOutcome(s.env.Now(), r.allocID, r.attempt, o.verdict, o.reason, o.report)
	s.loop.wake()
}

// forget drops a request that the host has forgotten.
func (t *requestTable) forget(r *request) {
	delete(t.byAlloc, r.allocID)
	if t.byTask[r.task] == r {
		delete(t.byTask, r.task)
	}
	if r.client != nil {
		r.client.removeTask(r)
	}
	if r.node != nil {
		r.node.removeTask(r)
	}
}

// isCurrent returns whether the host still has a request.
func (t *requestTable) isCurrent(r *request) bool { return t.byAlloc[r.allocID] == r }
