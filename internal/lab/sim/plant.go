package sim

import (
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/engine"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Plant is a fault in the program that must be found.
type Plant struct {
	Name  string
	Place func(*site.Config) // what the scheduler takes the site for
	Serve serve.Faults
	Lazy  bool                  // the disk keeps nothing for a second
	Club  func(*tenancy.Tenant) // what it takes a tenant for
}

// edged wraps the effects of a shard.
func edged(f func(e engine.Effects) engine.Effects) serve.Faults { return serve.Faults{WrapEffects: f} }

type adopts struct{ engine.Effects }

func (e adopts) RecoverTask(tenant int, token uint64, job int, service uint64, cores, memory float64, nd uint32, ticket uint64,
	try uint8,
) (uint32, uint32, uint64, bool) {
	epoch, owner, ref, ok := e.Effects.RecoverTask(tenant, token, job, service, cores, memory, nd, ticket, try)
	if !ok {
		return 1, 0, 0, true
	}
	return epoch, owner, ref, ok
}

type denies struct{ engine.Effects }

func (e denies) RecoverTask(int, uint64, int, uint64, float64, float64, uint32, uint64, uint8) (uint32, uint32, uint64, bool) {
	return 0, 0, 0, false
}

type never struct{ engine.Effects }

func (e never) RecordOutcome(tenant int, token uint64, epoch uint32, _ bool) {
	e.Effects.RecordOutcome(tenant, token, epoch, true)
}

type forgets struct{ engine.Effects }

func (e forgets) ReleaseTask(tenant int, token uint64, service uint64, epoch uint32) {
	if token%16 > 0 {
		e.Effects.ReleaseTask(tenant, token, service, epoch)
	}
}

type softens struct{ engine.Effects }

func (e softens) Answer(owner uint32, ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if answer == engine.Failed {
		answer = engine.Declined
	}
	e.Effects.Answer(owner, ref, answer, nd, why, holdOff)
}

type swallows struct{ engine.Effects }

func (e swallows) Answer(owner uint32, ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if answer != engine.Failed {
		e.Effects.Answer(owner, ref, answer, nd, why, holdOff)
	}
}

// Missed are faults that random scripts did not find within 600 seeds. The first shows only when a shard goes on in the very
// moment after it was fenced, which lab/cores and lab/states bring about; the second hardly at all, as the module answers at
// once what may have run.
var Missed = []Plant{
	{Name: "no epoch is checked", Serve: serve.Faults{PermitAnyEpoch: true}},
	{Name: "every outcome counts as never ran", Serve: edged(func(e engine.Effects) engine.Effects { return never{e} })},
}

// Plants are faults that the laboratory is to find.
var Plants = []Plant{
	{Name: "run-once ones are tried again", Place: func(p *site.Config) { p.Cluster.JobClasses[2].Semantics = logic.Restartable }},
	{Name: "tokens are taken for harmless", Place: func(p *site.Config) { p.Cluster.JobClasses[1].Semantics = logic.Restartable }},
	{Name: "the window of tokened tries is too long", Place: func(p *site.Config) {
		p.Cluster.JobClasses[1].IdempotencyWindow, p.Cluster.JobClasses[3].IdempotencyWindow = 60000, 60000
		p.Deadlines[1], p.Deadlines[3] = 60000, 60000
	}},
	{Name: "cold nodes are taken to bear more", Place: func(p *site.Config) {
		p.Cluster.SlowStartLimit, p.Cluster.KindCores = 500, []float64{160}
	}},
	{Name: "word of drains is lost", Serve: serve.Faults{ListEntry: func(en *state.Entry) {
		if en.Avail == 2 {
			en.Avail = 1
		}
	}}},
	{Name: "answers come at the expiry", Place: func(p *site.Config) { p.AnswerMargin = 0.4 }},
	{Name: "answers are given twice", Serve: serve.Faults{RepeatAnswers: true}},
	{Name: "failed ones get no answer", Serve: edged(func(e engine.Effects) engine.Effects { return swallows{e} })},
	{Name: "what may have run is declined", Serve: edged(func(e engine.Effects) engine.Effects { return softens{e} })},
	{Name: "found ones are adopted unasked", Serve: edged(func(e engine.Effects) engine.Effects { return adopts{e} })},
	{Name: "found ones are not taken", Serve: edged(func(e engine.Effects) engine.Effects { return denies{e} })},
	{Name: "the ledger keeps what has ended", Serve: edged(func(e engine.Effects) engine.Effects { return forgets{e} })},
	{Name: "the life is used before it is on the disk", Lazy: true},
	{Name: "a pause is not read", Club: func(t *tenancy.Tenant) {
		if t.State == tenancy.Paused {
			t.State = tenancy.Active
		}
	}},
	{Name: "a removed tenant is only paused", Club: func(t *tenancy.Tenant) {
		if t.State == tenancy.Removing {
			t.State = tenancy.Paused
		}
	}},
	{Name: "a removal lets what runs go on", Club: func(t *tenancy.Tenant) { t.Removal = tenancy.FinishRunning }},
	{Name: "the spread is not kept", Place: func(p *site.Config) { p.Cluster.JobClasses[1].MaxPerScope = 50 }},
}
