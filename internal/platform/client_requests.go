package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// clientGone tells whether the client of a request has closed its connection: nothing new begins for it, and nothing is said to it, though
// what it sent before may not be read yet.
func (a *request) clientGone() bool { return a.client == nil || !a.client.isOpen() }

// withdraw tells the host that a client wants a request no more.
func (s *Server) withdraw(a *request) {
	s.stats.withdrawn++
	s.trace("withdrawn", a.task, func(e *zerolog.Event) { e.Bool("stood", a.running) })
	if !a.answered {
		s.markAnswered(a)
	}
	if a.allocID == 0 { // the host has not heard of it
		delete(s.requestsByTask, a.task)
		return
	}
	s.host.OnWithdrawn(s.env.Now(), a.allocID)
	s.wake()
}

// rejection is why a request is not accepted, with the cause that the client hears.
type rejection struct {
	cause  byte
	reason string
}

// invalid is a rejection of a request that can't be served as it is, busy one of a request that may be repeated.
func invalid(reason string) *rejection { return &rejection{codec.CauseErrored, reason} }
func busy(reason string) *rejection    { return &rejection{codec.CauseBusy, reason} }

// requestFields are the fields of a request, checked against the deployment's settings.
type requestFields struct {
	task                    uint64
	jobClass, tenant        int
	service                 uint64
	cores, memory           float64
	runsAt                  string // the node that runs the task already, if one does
	jobClassName, name, key []byte // parts of the message
}

// onSetUp accepts a request, or rejects it at once.
func (c *client) onSetUp(now float64, task uint64, msg []byte) {
	s := c.server
	s.traceRequest(task, msg)
	if old := s.requestsByTask[task]; old != nil && !old.answered && old.client == c {
		c.evict("a number that is open already") // one answer could not be told from the other
		return
	}
	f, why := s.readRequest(task, msg)
	switch old := s.requestsByTask[task]; {
	case why != nil:
	case old != nil:
		if f.runsAt == "" || !old.running {
			why = invalid("a number that is taken")
		}
	case !s.fits(f.jobClass, f.cores, f.memory):
		why = invalid("larger than any machine")
	case f.runsAt != "":
		why = c.recoverTask(now, f)
	default:
		why = c.acceptRequest(now, f, msg)
	}
	if why != nil {
		s.stats.rejected++
		s.trace("turned away", task, func(e *zerolog.Event) { e.Str("why", why.reason) })
		c.rejections = codec.AppendEnd(c.rejections, task, why.cause)
	}
}

func (s *Server) traceRequest(task uint64, msg []byte) {
	s.trace("set-up", task, func(e *zerolog.Event) {
		for _, code := range []byte{codec.ParamJobClass, codec.ParamTimeLeft, codec.ParamTenant, codec.ParamRepeat, codec.ParamName, codec.ParamDemand, codec.ParamKey} {
			v, _ := codec.Param(msg, code)
			e.Bytes("p"+string('0'+code/10)+string('0'+code%10), v)
		}
		v, _ := codec.Param(msg, codec.ParamDescription)
		e.Int("description", len(v)).Bytes("d", v[:min(len(v), 80)])
	})
}

// readRequest reads the fields that every request has, whether its task runs already or not.
func (s *Server) readRequest(task uint64, msg []byte) (f requestFields, why *rejection) {
	f.task = task
	text, _ := codec.Param(msg, codec.ParamDemand)
	var err error
	if f.cores, f.memory, f.service, f.runsAt, err = codec.ParseDemand(text); err != nil {
		return f, invalid(err.Error())
	}
	var okJob, okTenant, okName, okKey bool
	f.jobClassName, _ = codec.Param(msg, codec.ParamJobClass)
	f.jobClass, okJob = s.jobClassIndex[string(f.jobClassName)]
	tenant, hasTenant := codec.Param(msg, codec.ParamTenant)
	f.tenant, okTenant = s.tenantIndex[string(tenant)]
	if len(s.tenantIndex) == 0 && !hasTenant {
		okTenant = true
	}
	f.name, okName = codec.Hex(msg, codec.ParamName, 16)
	f.key, okKey = codec.Hex(msg, codec.ParamKey, 32)
	if okJob && s.settings.Cluster.JobClasses[f.jobClass].Semantics != logic.Idempotent {
		f.key, okKey = nil, true
	}
	if !okJob || !okTenant || !okName || !okKey || task == 0 {
		return f, invalid("job type, tenant, name, key or number")
	}
	return f, nil
}

// acceptRequest puts a request into the inbox, if there is room for it and time to serve it.
func (c *client) acceptRequest(now float64, f requestFields, msg []byte) *rejection {
	s := c.server
	left, okLeft := codec.Number(msg, codec.ParamTimeLeft)
	description, okDescription := codec.Param(msg, codec.ParamDescription)
	if !okLeft || !connlimits.IsPlausibleWait(left, s.settings.Deadlines[f.jobClass]) || !okDescription || len(description) == 0 {
		return invalid("time left or description")
	}
	c.active, c.requested = true, true
	left = s.lagMonitor.RemainingTime(now, left)
	if why := c.checkLimits(now, f.tenant, left); why != nil {
		return why
	}
	s.stats.accepted++
	a := &request{
		task: f.task, tenant: f.tenant, client: c, deadline: now + left, jobClass: f.jobClass, service: f.service, cores: f.cores,
		memory: f.memory,
	}
	a.copyFields(f, description)
	c.openRequests[f.task], s.requestsByTask[f.task] = a, a
	s.inbox = append(s.inbox, a)
	return nil
}

// checkLimits goes through the limits that a new request must keep, those of its connection first.
func (c *client) checkLimits(now float64, tenant int, left float64) *rejection {
	s := c.server
	switch {
	case s.stopping && now >= s.shutdownPlan.RejectAt:
		return busy("ends")
	case !c.promote(now):
		return busy("no room for its connection")
	case len(c.openRequests) >= s.limits.OpenPerConn:
		return busy("too many on one connection")
	case len(s.requestsByAlloc)+len(s.inbox) >= s.limits.Held:
		return busy("too much is held")
	case !s.overloadGate.Admit(now, s.lagMonitor.Delay(now), len(s.inbox)):
		s.stats.shedBehind++
		return busy("behind")
	}
	if why := s.admission.Admit(tenant, left, connlimits.MinTimeLeft, true); why != admission.Admitted {
		return busy(why.String())
	}
	return nil
}

// copyFields copies the fields that go on to a node, in one piece of memory.
func (a *request) copyFields(f requestFields, description []byte) {
	kept := make([]byte, 0, len(f.jobClassName)+len(f.name)+len(f.key)+len(description))
	part := func(v []byte) []byte {
		from := len(kept)
		kept = append(kept, v...)
		return kept[from:len(kept):len(kept)]
	}
	a.jobClassName, a.name = part(f.jobClassName), part(f.name)
	if f.key != nil {
		a.key = part(f.key)
	}
	a.description = part(description)
}

// fits tells whether some machine could hold so much when it is empty.
func (s *Server) fits(jobType int, cores, memory float64) bool {
	cl := s.settings.Cluster
	for i := range cl.KindCores {
		if k := cl.JobClasses[jobType].NodeKind; (k < 0 || k == i) && cores <= cl.KindCores[i]*cl.CoresOvercommit &&
			memory <= cl.KindMemory[i]*cl.MemoryOvercommit {
			return true
		}
	}
	return false
}

// recoverTask takes over a task that a node runs already. No answer is owed for it, only its end.
func (c *client) recoverTask(now float64, f requestFields) *rejection {
	s := c.server
	node := s.nodesByName[f.runsAt]
	if node == nil {
		return &rejection{codec.CauseReset, "at a node that is not there"}
	}
	if len(s.requestsByAlloc) >= s.limits.Held {
		return busy("too much is held")
	}
	c.active = true
	c.promote(now)
	s.stats.recovered++
	a := &request{task: f.task, tenant: f.tenant, client: c, node: node, answered: true, running: true}
	s.requestsByTask[f.task] = a
	c.running[a], node.running[a] = true, true
	a.allocID = s.host.RecoverTask(now, f.jobClass, f.tenant, f.service, f.cores, f.memory, node.id)
	s.requestsByAlloc[a.allocID] = a
	s.keepConnected(now, node)
	return nil
}
