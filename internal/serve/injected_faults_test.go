package serve

import (
	"slices"
	"testing"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/site"
	"ravenpond/internal/state"
)

// faultyEffects wraps the effects of a shard and replaces the methods for which it has a function.
type faultyEffects struct {
	engine.Effects
	answer func(e engine.Effects, request engine.RequestID, answer engine.Answer)
	offer  func(e engine.Effects, node uint32, offer engine.Offer)
}

func (p faultyEffects) Answer(request engine.RequestID, answer engine.Answer) {
	if p.answer == nil {
		p.Effects.Answer(request, answer)
	} else {
		p.answer(p.Effects, request, answer)
	}
}

func (p faultyEffects) Offer(node uint32, offer engine.Offer) {
	if p.offer == nil {
		p.Effects.Offer(node, offer)
	} else {
		p.offer(p.Effects, node, offer)
	}
}

func withOffer(f func(e engine.Effects, node uint32, offer engine.Offer)) Faults {
	return Faults{WrapEffects: func(e engine.Effects) engine.Effects { return faultyEffects{Effects: e, offer: f} }}
}

func withAnswer(f func(e engine.Effects, request engine.RequestID, answer engine.Answer)) Faults {
	return Faults{WrapEffects: func(e engine.Effects) engine.Effects { return faultyEffects{Effects: e, answer: f} }}
}

// injectedFault is a fault and the audit rule that it violates.
type injectedFault struct {
	name       string
	rule       int                  // 0: no rule may be violated
	jobs       string               // the mix of job classes
	cold       bool                 // all nodes start cold and warm up first
	disturb    func(s *testCluster) // called under load; may be nil
	extraTime  float64              // by which the load lasts longer than in other cases, ms
	changeSite func(p *site.Config) // may be nil
	faults     Faults
}

// test runs a scheduler with the fault and checks which rules are violated.
func (f *injectedFault) test(t *testing.T) {
	t.Helper()
	s := newTestCluster(t, 1, 8, f.cold)
	siteConfig := *s.siteConfig
	siteConfig.Cluster.JobClasses = append(siteConfig.Cluster.JobClasses[:0:0], siteConfig.Cluster.JobClasses...)
	siteConfig.Deadlines = append(siteConfig.Deadlines[:0:0], siteConfig.Deadlines...)
	if f.changeSite != nil {
		f.changeSite(&siteConfig)
		s.siteConfig.Deadlines = siteConfig.Deadlines
	}
	s.start(0, siteConfig, f.faults)
	s.load(2200, 50, f.jobs) // a scheduler without a saved node list starts all nodes slowly
	if f.disturb != nil {
		f.disturb(s)
	}
	s.load(2000+f.extraTime, 50, f.jobs)
	violations, served := s.violations()
	found := hasViolation(violations, f.rule)
	for more := 0; more < maxMoreLoads && f.rule > 0 && !found; more++ { // a machine that is busy made too few offers for the fault to show
		if f.cold {
			s.restartNodesCold()
		}
		s.load(2000, 50, f.jobs)
		violations, served = s.violations()
		found = hasViolation(violations, f.rule)
	}
	if f.rule == 0 && (len(violations) > 0 || served == 0) || f.rule > 0 && !found {
		t.Errorf("%d requests served, got violations %v, want rule %d (0: none)", served, violations[:min(3, len(violations))], f.rule)
	}
}

// maxMoreLoads is how often a case of TestInjectedFaults repeats its load until the fault is found.
const maxMoreLoads = 4

// restartNodesCold crashes all nodes and starts them cold again.
func (s *testCluster) restartNodesCold() {
	s.t.Helper()
	for _, n := range s.nodes {
		s.testbed.WithLock(func(now float64) { n.Crash(now) })
		waitFor(s.t, "the node listens again", func() bool { return n.Restart() == nil })
	}
}

// hasViolation reports whether a rule is among the violated ones.
func hasViolation(violations []audit.Violation, rule int) bool {
	return slices.ContainsFunc(violations, func(v audit.Violation) bool { return int(v.Rule) == rule })
}

// TestInjectedFaults injects faults into schedulers, at least two for each audit rule. The auditor must report a violation of that rule, and none
// without a fault.
func TestInjectedFaults(t *testing.T) { //nolint:funlen // a single table of cases
	loseAnswers := func(s *testCluster) {
		s.testbed.WithLock(func(float64) {
			for _, n := range s.nodes {
				n.Machine.AnswerLoss = 0.8
			}
		})
	}
	var lastLateOffer time.Time // only one case uses it, and that case runs one scheduler
	drain := func(s *testCluster) {
		s.testbed.WithLock(func(now float64) {
			s.nodes[0].Draining = true
			s.nodes[0].Machine.Drain(now, false, false)
		})
	}
	for _, f := range []injectedFault{
		{name: "no fault", jobs: "0012"},
		{name: "no fault, answers lost", jobs: "0012", disturb: loseAnswers},
		{name: "no fault, a node drains", jobs: "0012", disturb: drain},
		{name: "no fault, all nodes cold", jobs: "0012", cold: true},
		{name: "answer sent twice", rule: 1, jobs: "0", faults: Faults{RepeatAnswers: true}},
		{name: "answer missing", rule: 1, jobs: "0", faults: withAnswer(
			func(e engine.Effects, request engine.RequestID, answer engine.Answer) {
				if request.Number%5 != 0 {
					e.Answer(request, engine.Answer{Kind: answer.Kind, Node: answer.Node})
				}
			})},
		{name: "second attempt while the first is unresolved", rule: 2, jobs: "0", faults: withOffer(
			func(e engine.Effects, node uint32, offer engine.Offer) {
				e.Offer(node, offer)
				offer.Attempt.Number++
				e.Offer(node%4+1, offer)
			})},
		{name: "at-most-once request declined that may have run", rule: 2, jobs: "2", disturb: loseAnswers, faults: withAnswer(
			func(e engine.Effects, request engine.RequestID, answer engine.Answer) {
				if answer.Kind == engine.Failed {
					answer.Kind = engine.Declined
				}
				e.Answer(request, engine.Answer{Kind: answer.Kind, Node: answer.Node})
			})},
		{name: "attempt after the idempotency window", rule: 2, jobs: "1", disturb: loseAnswers, changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].IdempotencyWindow, p.Deadlines[1] = 60000, 6000
		}},
		{name: "idempotent class treated as restartable", rule: 2, jobs: "1", disturb: loseAnswers, changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].Semantics = 0
		}},
		{name: "late offer to a draining node", rule: 3, jobs: "0", disturb: drain, extraTime: 2000, faults: withOffer(
			func(e engine.Effects, node uint32, offer engine.Offer) {
				if time.Since(lastLateOffer) > 300*time.Millisecond { // each such offer ends the connection, because the engine does not know of it
					node, lastLateOffer = 1, time.Now()
				}
				e.Offer(node, offer)
			})},
		// The node rejects every offer, so the policy module sends it none for up to 2 s at a time.
		{name: "draining state of a node lost", rule: 3, jobs: "0", disturb: drain, extraTime: 6500, faults: Faults{ListEntry: func(en *state.Entry) {
			if en.Availability == 2 {
				en.Availability = 1
			}
		}}},
		{name: "too many offers to a cold node", rule: 4, jobs: "0", cold: true, faults: withOffer(
			func(e engine.Effects, _ uint32, offer engine.Offer) { e.Offer(1, offer) })},
		{name: "slow-start limit of a cold node too high", rule: 4, jobs: "0", cold: true, changeSite: func(p *site.Config) {
			p.Cluster.SlowStartLimit, p.Cluster.KindCores = 500, []float64{320}
		}},
		{name: "all tasks of a service at one node", rule: 5, jobs: "1", faults: withOffer(
			func(e engine.Effects, _ uint32, offer engine.Offer) { e.Offer(2, offer) })},
		{name: "spread limit too high", rule: 5, jobs: "1", changeSite: func(p *site.Config) {
			p.Cluster.JobClasses[1].MaxPerScope = 50
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			f.test(t)
		})
	}
}
