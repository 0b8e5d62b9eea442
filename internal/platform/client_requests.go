package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// Lengths of hexadecimal fields, in digits.
const (
	nameDigits = 16
	keyDigits  = 32
)

// rejection says why a request is not accepted, and which cause the client is sent.
type rejection struct {
	cause  byte
	reason string
}

// invalid returns the rejection of a request that is malformed or can never be served.
func invalid(reason string) *rejection { return &rejection{codec.CauseErrored, reason} }

// busy returns the rejection of a request that the client may repeat.
func busy(reason string) *rejection { return &rejection{codec.CauseBusy, reason} }

// requestFields are the fields that every request has, validated against the deployment's settings.
type requestFields struct {
	jobClass, tenant        int
	demand                  codec.Demand
	jobClassName, name, key []byte // subslices of the message
}

// onSetUp accepts a request, or rejects it at once.
func (c *clientConn) onSetUp(now float64, task uint64, msg []byte) {
	s := c.server
	s.telemetry.traceRequest(task, msg)
	old := s.requests.task(task)
	if old != nil && !old.answered && old.client == c {
		c.evict("a number that is open already") // the client could not tell the answers of the two requests apart
		return
	}
	f, rejected := s.readRequest(task, msg)
	switch {
	case rejected != nil:
	case old != nil:
		if f.demand.RunsAt == "" || !old.running {
			rejected = invalid("a number that is taken")
		}
	case !s.fitsSomeNode(f):
		rejected = invalid("larger than any machine")
	case f.demand.RunsAt != "":
		rejected = c.recoverTask(now, task, f)
	case s.usedNumbers.Contains(now, task):
		rejected = &rejection{codec.CauseReset, "a number under which work may have run"}
	default:
		rejected = c.acceptRequest(now, task, f, msg)
	}
	if rejected != nil {
		s.telemetry.count(countRejected)
		s.telemetry.trace("turned away", task, func(e *zerolog.Event) { e.Str("why", rejected.reason) })
		c.reject(task, rejected.cause)
	}
}

// readRequest reads and validates the fields that every request has, whether its task already runs or not.
func (s *Server) readRequest(task uint64, msg []byte) (requestFields, *rejection) {
	text, _ := codec.Param(msg, codec.ParamDemand)
	demand, err := codec.ParseDemand(text)
	if err != nil {
		return requestFields{}, invalid(err.Error())
	}
	f := requestFields{demand: demand}
	var okClass, okTenant, okName, okKey bool
	f.jobClassName, _ = codec.Param(msg, codec.ParamJobClass)
	f.jobClass, okClass = s.names.jobClasses[string(f.jobClassName)]
	f.tenant, okTenant = s.names.tenant(codec.Param(msg, codec.ParamTenant))
	f.name, okName = codec.Hex(msg, codec.ParamName, nameDigits)
	f.key, okKey = codec.Hex(msg, codec.ParamKey, keyDigits)
	if okClass && s.settings.Cluster.JobClasses[f.jobClass].Semantics != logic.Idempotent {
		f.key, okKey = nil, true
	}
	if !okClass || !okTenant || !okName || !okKey || task == 0 {
		return f, invalid("job type, tenant, name, key or number")
	}
	return f, nil
}

// fitsSomeNode reports whether an empty node of some kind has room for the task, with overcommitment.
func (s *Server) fitsSomeNode(f requestFields) bool {
	cluster := s.settings.Cluster
	wanted := cluster.JobClasses[f.jobClass].NodeKind
	for kind := range cluster.KindCores {
		if (wanted < 0 || wanted == kind) && f.demand.Cores <= cluster.KindCores[kind]*cluster.CoresOvercommit &&
			f.demand.Memory <= cluster.KindMemory[kind]*cluster.MemoryOvercommit {
			return true
		}
	}
	return false
}

// acceptRequest adds a request to the inbox, if the limits allow it and there is time to serve it.
func (c *clientConn) acceptRequest(now float64, task uint64, f requestFields, msg []byte) *rejection {
	s := c.server
	left, okLeft := codec.Number(msg, codec.ParamTimeLeft)
	description, okDescription := codec.Param(msg, codec.ParamDescription)
	if !okLeft || !connlimits.IsPlausibleWait(left, s.settings.Deadlines[f.jobClass]) || !okDescription || len(description) == 0 {
		return invalid("time left or description")
	}
	c.active, c.requested = true, true
	left = s.load.remainingTime(now, left)
	if why := c.checkLimits(now, f.tenant, left); why != nil {
		return why
	}
	s.telemetry.count(countAccepted)
	r := &request{
		task: task, tenant: f.tenant, jobClass: f.jobClass, deadline: now + left, demand: f.demand, client: c,
		fields: newTaskFields(f, description),
	}
	c.addRequest(r)
	s.requests.add(r)
	return nil
}

// checkLimits checks the limits for a new request, those of its connection first. A request that passes them counts as open.
func (c *clientConn) checkLimits(now float64, tenant int, left float64) *rejection {
	s := c.server
	switch {
	case s.shutdown.rejects(now):
		return busy("ends")
	case !s.clients.promote(now, c):
		return busy("no room for its connection")
	case len(c.openRequests) >= s.limits.OpenPerConn:
		return busy("too many on one connection")
	case s.requests.held()+s.requests.waiting() >= s.limits.Held:
		return busy("too much is held")
	case !s.load.admit(now):
		s.telemetry.count(countShedBehind)
		return busy("behind")
	}
	if verdict := s.requests.admit(tenant, left); verdict != admission.Admitted {
		return busy(verdict.String())
	}
	return nil
}

// recoverTask takes over a task that already runs at a node. The client needs no answer, only the notification of the task's end, which it gets at
// once if the task has ended before.
func (c *clientConn) recoverTask(now float64, task uint64, f requestFields) *rejection {
	s := c.server
	n := s.nodes.named(f.demand.RunsAt)
	if n == nil {
		return &rejection{codec.CauseReset, "at a node that is not there"}
	}
	if verdict, ended := n.earlierEnd(now, task); ended {
		c.notifyEarlierEnd(now, n, task, verdict)
		return nil
	}
	placed := n.placementOfHandedOver(now)
	if n.processes.HasEnded(placed) {
		n.rememberEnd(now, task, logic.ConnectionLost)
		n.stopTask(task)
		c.notifyEarlierEnd(now, n, task, logic.ConnectionLost)
		return nil
	}
	if s.requests.held() >= s.limits.Held {
		return busy("too much is held")
	}
	c.active = true
	s.clients.promote(now, c)
	s.telemetry.count(countRecovered)
	r := &request{
		task: task, tenant: f.tenant, jobClass: f.jobClass, demand: f.demand, client: c, node: n, answered: true, running: true,
		placed: placed,
	}
	c.addTask(r)
	n.addTask(r)
	s.requests.addRunning(now, r)
	n.keepConnected(now)
	return nil
}

// notifyEarlierEnd notifies the client that a task that it hands over has ended before.
func (c *clientConn) notifyEarlierEnd(now float64, n *node, task uint64, verdict logic.Outcome) {
	s := c.server
	c.active = true
	s.clients.promote(now, c)
	s.telemetry.count(countRecoveredEnded)
	s.telemetry.trace("over before its hand-over", task, func(e *zerolog.Event) { e.Str("node", n.name).Uint8("verdict", uint8(verdict)) })
	s.notifier.notifyEnd(&request{task: task, client: c}, verdict)
}
