package tenancy

import (
	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/quotalease"
)

// Policy is what a tenant's state asks of one process that places for it.
type Policy struct {
	Limits      fairqueue.Limits     // the process's part of them
	Connections connadmission.Limits // the process's part of them
	AcceptsNew  bool                 // new requests are taken
	AbortOpen   bool                 // what is open is given up and answered at once
	StopRunning bool                 // running tasks are stopped
}

// PolicyFor returns the policy for a process with a share of all limits. The limits of connections are divided by place and never leased,
// so that a process that is cut off from the others keeps its connections.
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
		p.AcceptsNew = p.AcceptsNew && p.Limits.MaxOpen > 0 // a limit below the number of processes leaves some of them nothing
	}
	p.Limits.Blocked = !p.AcceptsNew
	return p
}

// connLimits returns a process's part of the limits of connections. It is one connection at least, because a client that cannot connect
// never gets a reason.
func (t *Tenant) connLimits(share quotalease.Share) connadmission.Limits {
	limits := connadmission.Limits{Share: t.Limits.Share, BytesPerSecond: t.Limits.BytesPerSecond / float64(max(1, share.Places))}
	if t.Limits.MaxConns > 0 {
		limits.MaxConns = max(1, fairqueue.DivideLimit(t.Limits.MaxConns, share.Places, share.Index))
	}
	return limits
}
