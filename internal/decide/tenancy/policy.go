package tenancy

import (
	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/quotalease"
)

// Policy is what one scheduler process has to apply to a tenant, as it follows from the tenant's limits and state.
type Policy struct {
	Limits      fairqueue.Limits     // the process's part of the limits
	Connections connadmission.Limits // the process's part of the limits of connections
	AcceptsNew  bool                 // new requests are accepted
	AbortOpen   bool                 // open requests are aborted and answered at once
	StopRunning bool                 // running tasks are stopped
}

// PolicyFor returns the policy for a process with the given share of all limits. The limits of connections are divided among the processes of
// the site file and never leased, so that a process that is partitioned from the others keeps its connections.
func (t *Tenant) PolicyFor(share quotalease.Share) Policy {
	p := Policy{
		Limits:      t.Limits.Limits,
		Connections: t.connLimits(share),
		AcceptsNew:  t.State == Active,
		AbortOpen:   t.State >= Removing,
		StopRunning: t.State >= Removing && t.Removal == StopRunning,
	}
	p.Limits.Rate = share.Rate(t.Limits.Rate)
	p.Limits.Burst = max(1, share.Rate(t.Limits.Burst))
	if t.Limits.MaxOpen > 0 {
		p.Limits.MaxOpen = share.Count(t.Limits.MaxOpen)
		p.AcceptsNew = p.AcceptsNew && p.Limits.MaxOpen > 0 // if the limit is below the number of processes, some of them get 0
	}
	p.Limits.Blocked = !p.AcceptsNew
	return p
}

// connLimits returns a process's part of the limits of connections. It allows at least one connection, because a client that cannot connect
// cannot be told the reason.
func (t *Tenant) connLimits(share quotalease.Share) connadmission.Limits {
	limits := connadmission.Limits{Share: t.Limits.Share, BytesPerSecond: t.Limits.BytesPerSecond / float64(max(1, share.Processes))}
	if t.Limits.MaxConns > 0 {
		limits.MaxConns = max(1, fairqueue.DivideLimit(t.Limits.MaxConns, share.Processes, share.Index))
	}
	return limits
}
