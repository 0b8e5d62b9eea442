package sim

import (
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/engine"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// ProgramFault is a fault that is injected into the program to show that the checks detect it. The zero value injects none.
type ProgramFault struct {
	Name        string                // value of lab run --plant
	Site        func(*site.Config)    // changes the site configuration that the scheduler reads
	Server      serve.Faults          // faults in the scheduler itself
	DelayedSync bool                  // fault of the scheduler's disk, see Disk
	Tenant      func(*tenancy.Tenant) // changes each tenant that the scheduler reads
}

// withEffects returns faults that wrap the effects of a shard.
func withEffects(f func(e engine.Effects) engine.Effects) serve.Faults {
	return serve.Faults{WrapEffects: f}
}

// adoptsUnknown makes a shard keep recovered tasks that the router does not know.
type adoptsUnknown struct{ engine.Effects }

func (e adoptsUnknown) RecoverTask(running engine.RunningTask) (engine.RecoveredTask, bool) {
	recovered, ok := e.Effects.RecoverTask(running)
	if !ok {
		return engine.RecoveredTask{Epoch: 1}, true
	}
	return recovered, ok
}

// rejectsRecovered makes a shard reject every running task that a node reports.
type rejectsRecovered struct{ engine.Effects }

func (e rejectsRecovered) RecoverTask(engine.RunningTask) (engine.RecoveredTask, bool) {
	return engine.RecoveredTask{}, false
}

// reportsNeverRan makes a shard report with each outcome that the attempt never ran.
type reportsNeverRan struct{ engine.Effects }

func (e reportsNeverRan) RecordOutcome(task engine.OwnedTask, _ bool) {
	e.Effects.RecordOutcome(task, true)
}

// leaksOwnership makes a shard release only 15 of 16 tasks.
type leaksOwnership struct{ engine.Effects }

func (e leaksOwnership) ReleaseTask(task engine.OwnedTask, service uint64) {
	if task.Token%16 > 0 {
		e.Effects.ReleaseTask(task, service)
	}
}

// declinesFailed makes a shard answer "declined" in place of "failed".
type declinesFailed struct{ engine.Effects }

func (e declinesFailed) Answer(request engine.RequestID, answer engine.Answer) {
	if answer.Kind == engine.Failed {
		answer.Kind = engine.Declined
	}
	e.Effects.Answer(request, answer)
}

// dropsFailures makes a shard drop every answer "failed".
type dropsFailures struct{ engine.Effects }

func (e dropsFailures) Answer(request engine.RequestID, answer engine.Answer) {
	if answer.Kind != engine.Failed {
		e.Effects.Answer(request, answer)
	}
}

// MissedFaults are faults that random scripts of 600 seeds did not detect. The first one shows only when a shard continues to run just after
// it was fenced, a case that lab/shards and lab/modelcheck produce. The second one hardly ever shows, as the scheduling module answers at
// once for attempts that may have run.
var MissedFaults = []ProgramFault{
	{Name: "no epoch is checked", Server: serve.Faults{PermitAnyEpoch: true}},
	{Name: "every outcome counts as never ran", Server: withEffects(func(e engine.Effects) engine.Effects { return reportsNeverRan{e} })},
}

// ProgramFaults are faults that scripts detect. Their names are the values of lab run --plant.
var ProgramFaults = []ProgramFault{
	{Name: "run-once ones are tried again", Site: func(p *site.Config) { p.Cluster.JobClasses[2].Semantics = logic.Restartable }},
	{Name: "tokens are taken for harmless", Site: func(p *site.Config) { p.Cluster.JobClasses[1].Semantics = logic.Restartable }},
	{Name: "the window of tokened tries is too long", Site: func(p *site.Config) {
		p.Cluster.JobClasses[1].IdempotencyWindow, p.Cluster.JobClasses[3].IdempotencyWindow = 60000, 60000
		p.Deadlines[1], p.Deadlines[3] = 60000, 60000
	}},
	{Name: "cold nodes are taken to bear more", Site: func(p *site.Config) {
		p.Cluster.SlowStartLimit, p.Cluster.KindCores = 500, []float64{160}
	}},
	{Name: "word of drains is lost", Server: serve.Faults{ListEntry: func(en *state.Entry) {
		if en.Availability == 2 {
			en.Availability = 1
		}
	}}},
	{Name: "answers come at the expiry", Site: func(p *site.Config) { p.AnswerMargin = 0.4 }},
	{Name: "answers are given twice", Server: serve.Faults{RepeatAnswers: true}},
	{Name: "failed ones get no answer", Server: withEffects(func(e engine.Effects) engine.Effects { return dropsFailures{e} })},
	{Name: "what may have run is declined", Server: withEffects(func(e engine.Effects) engine.Effects { return declinesFailed{e} })},
	{Name: "found ones are adopted unasked", Server: withEffects(func(e engine.Effects) engine.Effects { return adoptsUnknown{e} })},
	{Name: "found ones are not taken", Server: withEffects(func(e engine.Effects) engine.Effects { return rejectsRecovered{e} })},
	{Name: "the ledger keeps what has ended", Server: withEffects(func(e engine.Effects) engine.Effects { return leaksOwnership{e} })},
	{Name: "the life is used before it is on the disk", DelayedSync: true},
	{Name: "a pause is not read", Tenant: func(t *tenancy.Tenant) {
		if t.State == tenancy.Paused {
			t.State = tenancy.Active
		}
	}},
	{Name: "a removed tenant is only paused", Tenant: func(t *tenancy.Tenant) {
		if t.State == tenancy.Removing {
			t.State = tenancy.Paused
		}
	}},
	{Name: "a removal lets what runs go on", Tenant: func(t *tenancy.Tenant) { t.Removal = tenancy.FinishRunning }},
	{Name: "the spread is not kept", Site: func(p *site.Config) { p.Cluster.JobClasses[1].MaxPerScope = 50 }},
}
