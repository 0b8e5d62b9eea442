package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/shardownership"
)

func TestFence(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobClass int
		do       func(r *Router, c shardownership.Claim)
		want     shardownership.Disposition
	}{
		{"it waits", restartable, func(*Router, shardownership.Claim) {}, shardownership.Reassign},
		{"it waits and must be spread", spread, func(*Router, shardownership.Claim) {}, shardownership.Shed},
		{"an attempt is open", atMostOnce, func(r *Router, c shardownership.Claim) {
			r.PermitAttempt(c, shardownership.Attempt{Node: 3})
		}, shardownership.Fail},
		{"a restartable attempt is open", restartable, func(r *Router, c shardownership.Claim) {
			r.PermitAttempt(c, shardownership.Attempt{Node: 3})
		}, shardownership.Shed},
		{"it runs", atMostOnce, func(r *Router, c shardownership.Claim) {
			r.markRunning(c, shardownership.Attempt{Node: 3, Ticket: 9})
		}, shardownership.Continue},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(3)
			claim := r.mustRoute(t, 0, 1, c.jobClass, 7)
			c.do(r, claim)
			orphans := r.Fence(100, claim.Shard)
			if len(orphans) != 1 || orphans[0].Disposition != c.want {
				t.Fatalf("%+v", orphans)
			}
			if r.PermitAttempt(claim, shardownership.Attempt{}) {
				t.Error("the fenced shard got a permit")
			}
			if c.want == shardownership.Reassign {
				checkReassigned(t, r, claim.Shard, orphans[0])
			}
			if d := r.Route(200, arrival(2, c.jobClass, 7, 9000), idle); d.IsRejected() != (c.jobClass == spread) {
				t.Errorf("a request of the same service: %q", d.Reason)
			}
			if c.want == shardownership.Continue {
				checkRecovery(t, r, claim.Shard)
			}
		})
	}
	t.Run("no shard is left", func(t *testing.T) {
		r := newRouter(1)
		r.mustRoute(t, 0, 1, restartable, 7)
		if orphans := r.Fence(100, 0); orphans[0].Disposition != shardownership.Shed {
			t.Errorf("%+v", orphans)
		}
		if d := r.Route(200, arrival(2, restartable, 0, 9000), idle); d.Reason != NoShard {
			t.Error(d.Reason)
		}
	})
}

// checkReassigned checks that allocation 1 of a fenced shard is at another shard, which gets a permit.
func checkReassigned(t *testing.T, r *Router, fenced int, decision OrphanDecision) {
	t.Helper()
	if decision.Shard == fenced || !r.PermitAttempt(claimOf(1, decision.Shard, decision.Epoch), shardownership.Attempt{}) {
		t.Errorf("reassigned to %d, which gets no permit", decision.Shard)
	}
}

// checkRecovery checks that allocation 1, which ran at a fenced shard, is not started again, and that another shard recovers it and knows
// its client.
func checkRecovery(t *testing.T, r *Router, fenced int) {
	t.Helper()
	if d := r.Route(6000, arrival(1, atMostOnce, 7, 9000), idle); d.Epoch > 0 || d.Reason != ShardFenced {
		t.Errorf("requested again before it is recovered: epoch %d, %q", d.Epoch, d.Reason)
	}
	sender := (fenced + 2) % 3 // a shard that gave it away
	if shard, knows := r.ShardOf(Placed{ID: idOf(1), Ticket: 9, Service: 7, Shard: sender}); shard != sender || knows {
		t.Errorf("it belongs to %d, which knows of it: %t", shard, knows)
	}
	to := (fenced + 1) % 3
	attempt := shardownership.Attempt{Node: 3, Ticket: 9}
	recovery, ok := r.Recover(idOf(1), to, shardownership.Request{JobClass: atMostOnce, Service: 7}, attempt)
	if !ok || recovery.Client != 1 || recovery.Ref != 1 {
		t.Errorf("recovered: client %d, ref %d, %v", recovery.Client, recovery.Ref, ok)
	}
	if shard, knows := r.ShardOf(Placed{ID: idOf(1), Ticket: 9, Service: 7, Shard: -1}); shard != to || !knows {
		t.Error("it does not belong to the shard that recovered it")
	}
}

func TestUnrecovered(t *testing.T) {
	heartbeats, delays := []float64{15000, 15000}, []float64{0, 0}
	t.Run("ended before it is recovered", func(t *testing.T) {
		r := newRouter(2)
		claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
		r.markRunning(claim, shardownership.Attempt{Node: 3, Ticket: 9, Number: 1})
		r.Fence(100, claim.Shard)
		if _, ok := r.OnLostEnded(shardownership.Attempt{Node: 3, Ticket: 9}); ok {
			t.Error("another attempt ended it")
		}
		if request, ok := r.OnLostEnded(shardownership.Attempt{Node: 3, Ticket: 9, Number: 1}); !ok || request.Ref != 1 {
			t.Errorf("%+v, %t", request, ok)
		}
		if lost := r.CheckHealth(101+recoveryTimeout, heartbeats, delays).Lost; len(lost) > 0 {
			t.Errorf("returned twice: %+v", lost)
		}
	})
	t.Run("never recovered", func(t *testing.T) {
		r := newRouter(2)
		claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
		r.markRunning(claim, shardownership.Attempt{})
		r.Fence(100, claim.Shard)
		if lost := r.CheckHealth(100+recoveryTimeout, heartbeats, delays).Lost; len(lost) > 0 {
			t.Error("given up too early")
		}
		if lost := r.CheckHealth(101+recoveryTimeout, heartbeats, delays).Lost; len(lost) != 1 || lost[0].Ref != 1 {
			t.Errorf("%+v", lost)
		}
	})
}
