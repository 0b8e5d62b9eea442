package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// left tells whether the client of a request has closed its connection: nothing new begins for it, and nothing is said to it, though
// what it sent before may not be read yet.
func (a *request) left() bool { return a.client == nil || !a.client.listens() }

// withdraw tells the host that a client wants a request no more.
func (s *Server) withdraw(a *request) {
	s.counts.withdrawn++
	s.trace("withdrawn", a.task, func(e *zerolog.Event) { e.Bool("stood", a.stands) })
	if !a.answered {
		s.answered(a)
	}
	if a.alloc == 0 { // the host has not heard of it
		delete(s.tasks, a.task)
		return
	}
	s.host.Withdrawn(s.world.Now(), a.alloc)
	s.wake()
}

// setUp takes an allocation, or turns it away at once.
func (o *client) setUp(now float64, task uint64, msg []byte) {
	s := o.s
	o.s.trace("set-up", task, func(e *zerolog.Event) {
		for _, c := range []byte{codec.JobType, codec.Left, codec.Tenant, codec.Again, codec.Name, codec.Figures, codec.Key} {
			v, _ := codec.Param(msg, c)
			e.Bytes("p"+string('0'+c/10)+string('0'+c%10), v)
		}
		v, _ := codec.Param(msg, codec.Description)
		e.Int("description", len(v)).Bytes("d", v[:min(len(v), 80)])
	})
	turn := func(cause byte, why string) {
		s.counts.turned++
		s.trace("turned away", task, func(e *zerolog.Event) { e.Str("why", why) })
		o.turned = codec.AppendEnd(o.turned, task, cause)
	}
	if old := s.tasks[task]; old != nil && !old.answered && old.client == o {
		o.expel("a number that is open already") // one answer could not be told from the other
		return
	}
	text, _ := codec.Param(msg, codec.Figures)
	cores, memory, service, at, err := codec.Asked(text)
	if err != nil {
		turn(codec.Errored, err.Error())
		return
	}
	jobName, _ := codec.Param(msg, codec.JobType)
	jobType, ok := s.jobs[string(jobName)]
	tenantName, has := codec.Param(msg, codec.Tenant)
	tenant, okTenant := s.tenants[string(tenantName)]
	if len(s.tenants) == 0 && !has {
		okTenant = true
	}
	name, okName := codec.Hex(msg, codec.Name, 16)
	key, okKey := codec.Hex(msg, codec.Key, 32)
	if ok && s.known.Cluster.JobTypes[jobType].Effect != logic.Tokened {
		key, okKey = nil, true
	}
	switch {
	case !ok || !okTenant || !okName || !okKey || task == 0:
		turn(codec.Errored, "job type, tenant, name, key or number")
		return
	case s.tasks[task] != nil:
		if at == "" || !s.tasks[task].stands {
			turn(codec.Errored, "a number that is taken")
		}
		return
	case !s.fits(jobType, cores, memory):
		turn(codec.Errored, "larger than any machine")
		return
	}
	if at != "" {
		o.found(now, task, jobType, tenant, service, cores, memory, at, turn)
		return
	}
	left, okLeft := codec.Number(msg, codec.Left)
	description, okDesc := codec.Param(msg, codec.Description)
	if !okLeft || !connlimits.Means(left, s.known.Expiry[jobType]) || !okDesc || len(description) == 0 {
		turn(codec.Errored, "time left or description")
		return
	}
	o.useful, o.requested = true, true
	if s.stopped && now >= s.plan.Shut {
		turn(codec.Busy, "ends")
		return
	}
	if !o.letIn(now) {
		turn(codec.Busy, "no room for its connection")
		return
	}
	if len(o.open) >= s.parts.OnOne {
		turn(codec.Busy, "too many on one connection")
		return
	}
	if len(s.requests)+len(s.inbox) >= s.parts.Held {
		turn(codec.Busy, "too much is held")
		return
	}
	left = s.lag.Left(now, left)
	if !s.gate.Enter(now, s.lag.Behind(now), len(s.inbox)) {
		s.counts.behind++
		turn(codec.Busy, "behind")
		return
	}
	if why := s.admit.Enter(tenant, left, connlimits.LeastLeft, true); why != admit.Taken {
		turn(codec.Busy, why.String())
		return
	}
	s.counts.taken++
	kept := append(append(append(append([]byte{}, jobName...), name...), key...), description...)
	j, n, k := len(jobName), len(jobName)+len(name), len(jobName)+len(name)+len(key)
	a := &request{task: task, tenant: tenant, client: o, jobType: kept[:j], name: kept[j:n], description: kept[k:], expiry: now + left,
		jobIs: jobType, service: service, cores: cores, memory: memory}
	if key != nil {
		a.key = kept[n:k]
	}
	o.open[task], s.tasks[task] = a, a
	s.inbox = append(s.inbox, a)
}

// fits tells whether some machine could hold so much when it is empty.
func (s *Server) fits(jobType int, cores, memory float64) bool {
	cl := s.known.Cluster
	for i := range cl.KindCores {
		if k := cl.JobTypes[jobType].Kind; (k < 0 || k == i) && cores <= cl.KindCores[i]*cl.CoresLimit &&
			memory <= cl.KindMemory[i]*cl.MemoryLimit {
			return true
		}
	}
	return false
}

// found takes what a node holds already. No answer is owed for it, only the news of its end.
func (o *client) found(now float64, task uint64, jobType, tenant int, service uint64, cores, memory float64, at string,
	turn func(byte, string)) {
	s := o.s
	p := s.names[at]
	if p == nil {
		turn(codec.Reset, "at a node that is not there")
		return
	}
	if len(s.requests) >= s.parts.Held {
		turn(codec.Busy, "too much is held")
		return
	}
	o.useful = true
	o.letIn(now)
	s.counts.found++
	a := &request{task: task, tenant: tenant, client: o, peer: p, answered: true, stands: true}
	s.tasks[task] = a
	o.stands[a], p.stands[a] = true, true
	a.alloc = s.host.Found(now, jobType, tenant, service, cores, memory, p.id)
	s.requests[a.alloc] = a
	s.tether(now, p)
}
