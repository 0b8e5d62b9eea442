package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/nodefailure"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// request is a client's request and, once it is served, the running task. Server.mu guards it.
type request struct {
	allocID         uint32 // the host's number of the request, 0 while it waits in the inbox
	task            uint64 // the client's number of the task
	tenant          int
	jobClass        int
	deadline        float64 // the time at which the client stops waiting
	demand          codec.Demand
	fields          taskFields // the fields that are sent to nodes, empty once the task runs
	client          *clientConn
	node            *node     // the node of the last attempt
	conn            *nodeConn // the connection of the attempt in flight, nil if there is none
	attempt         uint8     // the number of the last attempt
	attemptDeadline float64
	attemptBytes    int                     // the size of the last attempt's message
	sentOn          *nodefailure.Connection // the connection on which the last attempt was sent, nil if it was not sent
	sentThrough     uint64                  // bytes queued on conn through the attempt's message; once the task runs, on the client's connection through the answer
	answered        bool                    // the request has its final answer, or needs none
	running         bool                    // the task runs
	placed          nodefailure.Placement   // once the task runs
}

// taskFields are the fields of a request that are forwarded to nodes.
type taskFields struct{ jobClass, name, key, description []byte }

// newTaskFields copies the fields out of a message, in one allocation of memory.
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

// clientGone reports whether the client of a request has closed its connection or has withdrawn the request. No attempt is made and nothing is
// sent for it then, even though bytes that the client sent before, or the withdrawal itself, may still be unread.
func (r *request) clientGone() bool {
	return r.client == nil || !r.client.isOpen() || r.client.hasUnreadWithdrawal(r.task)
}

// placement returns the request in the form that the host takes.
func (r *request) placement() logic.Request {
	return logic.Request{
		Class: r.jobClass, Tenant: r.tenant, Deadline: r.deadline, Service: r.demand.Service, Cores: r.demand.Cores, Memory: r.demand.Memory,
	}
}

// requestTable holds requests and running tasks. Server.mu guards it.
type requestTable struct {
	server    *Server
	admission *admission.Limiter  // counts requests without a final answer, by tenant
	inbox     []*request          // accepted requests that were not yet passed to the host
	byAlloc   map[uint32]*request // requests and tasks by the host's number
	byTask    map[uint64]*request // requests and tasks by the client's number
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

// task returns the request with the client's number task, or nil.
func (t *requestTable) task(task uint64) *request { return t.byTask[task] }

// allocation returns the request with the host's number id, or nil.
func (t *requestTable) allocation(id uint32) *request { return t.byAlloc[id] }

// waiting returns the number of requests in the inbox.
func (t *requestTable) waiting() int { return len(t.inbox) }

// held returns the number of requests and running tasks that the host has.
func (t *requestTable) held() int { return len(t.byAlloc) }

// admit counts one more open request of a tenant, unless that would exceed a limit. left is the time in ms until the client's deadline.
func (t *requestTable) admit(tenant int, left float64) admission.Verdict {
	return t.admission.Admit(tenant, left, connlimits.MinTimeLeft, true)
}

// add adds an admitted request to the inbox.
func (t *requestTable) add(r *request) {
	t.byTask[r.task] = r
	t.inbox = append(t.inbox, r)
}

// addRunning adds a task that already runs at its node, and passes it to the host.
func (t *requestTable) addRunning(now float64, r *request) {
	t.byTask[r.task] = r
	r.allocID = t.server.host.RecoverTask(now, logic.Recovered{Request: r.placement(), Node: r.node.id})
	t.byAlloc[r.allocID] = r
}

// start passes at most limit requests of the inbox to the host and returns how many it passed. Only new requests wait for a turn of the loop: events
// of attempts and tasks are handled as they are read.
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
		t.inbox = nil // the memory of a burst is freed
	}
	return started
}

// markAnswered records that a request needs no answer any more, so that it no longer counts as open.
func (t *requestTable) markAnswered(r *request) {
	r.answered = true
	t.admission.Release(r.tenant)
	if r.client != nil {
		r.client.onAnswered(r)
	}
}

// withdraw drops a request or stops a task because its client no longer wants it or can't be served.
func (t *requestTable) withdraw(r *request) {
	s := t.server
	s.telemetry.count(countWithdrawn)
	s.telemetry.trace("withdrawn", r.task, func(e *zerolog.Event) { e.Bool("stood", r.running) })
	if !r.answered {
		t.markAnswered(r)
	}
	if r.allocID == 0 { // the request is still in the inbox, and start skips it
		delete(t.byTask, r.task)
		return
	}
	s.host.OnWithdrawn(s.env.Now(), r.allocID)
	s.loop.wake()
}

// withdrawLater withdraws a request after the present call has returned, as the host must not be called from its effects.
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

// completeUnsentLater tells the host, after the present call has returned, that the last attempt of a request was never sent.
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

// attemptOutcome is the outcome of an attempt or of a running task.
type attemptOutcome struct {
	verdict logic.Outcome
	reason  logic.Reason
	report  []float64 // the node's load report, valid during the call
}

// complete tells the host the outcome of a request's last attempt or of its running task.
func (t *requestTable) complete(r *request, o attemptOutcome) {
	s := t.server
	s.telemetry.countOutcome(o.verdict)
	s.telemetry.traceOutcome(r, o)
	s.telemetry.logFailedAttempt(r, o.verdict)
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

// isCurrent reports whether the host still has the request.
func (t *requestTable) isCurrent(r *request) bool { return t.byAlloc[r.allocID] == r }
