package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/shardownership"
)

func TestFence(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobClass int
		setup    func(r *Router, c shardownership.Claim)
		want     shardownership.Disposition
	}{
		{"no attempt yet", restartable, func(*Router, shardownership.Claim) {}, shardownership.Reassign},
		{"no attempt yet, must be spread", spread, func(*Router, shardownership.Claim) {}, shardownership.Shed},
		{"open attempt", atMostOnce, func(r *Router, c shardownership.Claim) {
			r.PermitAttempt(c, shardownership.Attempt{Node: 3})
		}, shardownership.Fail},
		{"open attempt, restartable", restartable, func(r *Router, c shardownership.Claim) {
			r.PermitAttempt(c, shardownership.Attempt{Node: 3})
		}, shardownership.Shed},
		{"running", atMostOnce, func(r *Router, c shardownership.Claim) {
			r.markRunning(c, shardownership.Attempt{Node: 3, Ticket: 9})
		}, shardownership.Continue},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(3)
			claim := r.mustRoute(t, 0, 1, c.jobClass, 7)
			c.setup(r, claim)
			orphans := r.Fence(100, claim.Shard)
			if len(orphans) != 1 || orphans[0].Disposition != c.want {
				t.Fatalf("got orphans %+v, want one with the disposition of this case", orphans)
			}
			if r.PermitAttempt(claim, shardownership.Attempt{}) {
				t.Error("the fenced shard got a permit for an attempt")
			}
			if c.want == shardownership.Reassign {
				checkReassigned(t, r, claim.Shard, orphans[0])
			}
			if d := r.Route(200, arrival(2, c.jobClass, 7, 9000), idle); d.IsRejected() != (c.jobClass == spread) {
				t.Errorf("next request of the service: got reason %q, want it rejected only if the service must be spread", d.Reason)
			}
			if c.want == shardownership.Continue {
				checkRecovery(t, r, claim.Shard)
			}
		})
	}
	t.Run("only shard fenced", func(t *testing.T) {
		r := newRouter(1)
		r.mustRoute(t, 0, 1, restartable, 7)
		if orphans := r.Fence(100, 0); orphans[0].Disposition != shardownership.Shed {
			t.Errorf("got orphans %+v, want them shed", orphans)
		}
		if d := r.Route(200, arrival(2, restartable, 0, 9000), idle); d.Reason != NoShard {
			t.Error(d.Reason)
		}
	})
}

// checkReassigned checks that allocation 1 of a fenced shard was assigned to another shard, and that this shard gets a permit.
func checkReassigned(t *testing.T, r *Router, fenced int, decision OrphanDecision) {
	t.Helper()
	if decision.Shard == fenced || !r.PermitAttempt(claimOf(1, decision.Shard, decision.Epoch), shardownership.Attempt{}) {
		t.Errorf("reassigned to shard %d, want another shard than the fenced one, which gets a permit", decision.Shard)
	}
}

// checkRecovery checks that allocation 1, which ran at a fenced shard, is not started again before it is recovered, and that another shard
// recovers it with its client.
func checkRecovery(t *testing.T, r *Router, fenced int) {
	t.Helper()
	if d := r.Route(6000, arrival(1, atMostOnce, 7, 9000), idle); d.Epoch > 0 || d.Reason != ShardFenced {
		t.Errorf("request before the recovery: got epoch %d, reason %q, want epoch 0, reason shard-fenced", d.Epoch, d.Reason)
	}
	sender := (fenced + 2) % 3 // a shard that sent the attempt and has handed the allocation over
	if shard, knows := r.ShardOf(ReportedAttempt{ID: idOf(1), Ticket: 9, Service: 7, Shard: sender}); shard != sender || knows {
		t.Errorf("before the recovery: got shard %d, knows %t, want the sender of the attempt, knows false", shard, knows)
	}
	to := (fenced + 1) % 3
	attempt := shardownership.Attempt{Node: 3, Ticket: 9}
	recovery, ok := r.Recover(idOf(1), to, shardownership.Request{JobClass: atMostOnce, Service: 7}, attempt)
	if !ok || recovery.Client != 1 || recovery.Ref != 1 {
		t.Errorf("recovery: got client %d, ref %d, ok %t, want client 1, ref 1, ok true", recovery.Client, recovery.Ref, ok)
	}
	if shard, knows := r.ShardOf(ReportedAttempt{ID: idOf(1), Ticket: 9, Service: 7, Shard: -1}); shard != to || !knows {
		t.Error("after the recovery: want the shard that recovered the allocation, and that it knows of the attempt")
	}
}

func TestUnrecovered(t *testing.T) {
	heartbeats, delays := []float64{15000, 15000}, []float64{0, 0}
	t.Run("ended before recovery", func(t *testing.T) {
		r := newRouter(2)
		claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
		r.markRunning(claim, shardownership.Attempt{Node: 3, Ticket: 9, Number: 1})
		r.Fence(100, claim.Shard)
		if _, ok := r.OnUnrecoveredEnded(shardownership.Attempt{Node: 3, Ticket: 9}); ok {
			t.Error("the end of another attempt removed the allocation")
		}
		if request, ok := r.OnUnrecoveredEnded(shardownership.Attempt{Node: 3, Ticket: 9, Number: 1}); !ok || request.Ref != 1 {
			t.Errorf("got request %+v, %t, want ref 1, true", request, ok)
		}
		if lost := r.CheckHealth(101+recoveryTimeout, heartbeats, delays).Lost; len(lost) > 0 {
			t.Errorf("got %+v as lost after its end was reported, want none", lost)
		}
	})
	t.Run("never recovered", func(t *testing.T) {
		r := newRouter(2)
		claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
		r.markRunning(claim, shardownership.Attempt{})
		r.Fence(100, claim.Shard)
		if lost := r.CheckHealth(100+recoveryTimeout, heartbeats, delays).Lost; len(lost) > 0 {
			t.Error("reported as lost at the recovery timeout, want only after it")
		}
		if lost := r.CheckHealth(101+recoveryTimeout, heartbeats, delays).Lost; len(lost) != 1 || lost[0].Ref != 1 {
			t.Errorf("after the recovery timeout: got lost %+v, want one with ref 1", lost)
		}
	})
}
