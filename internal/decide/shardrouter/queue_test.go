package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/tenancy"
)

// newMultiTenant returns a router of three tenants over ten cores.
func newMultiTenant(shards, maxOpen int) *Router {
	r := New(0, Config{JobClasses: jobClasses, Shards: shards, MaxShards: shards, MaxOpen: maxOpen, AnswerMargin: 100, FirstEpoch: 1, MultiTenant: true})
	for slot := range 3 {
		r.SetTenant(0, slot, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 6}, AcceptsNew: true})
	}
	r.OnCapacity(Capacity{Total: Resources{10, 10}, Free: Resources{10, 10}, KnowsFree: true})
	return r
}

// tenantArrival is the arrival of a request of client 1 for a core.
func tenantArrival(tenant int, key, ref uint64) Arrival {
	return Arrival{
		ID:      shardownership.ID{Tenant: tenant, Token: key},
		Request: shardownership.Request{Client: 1, Ref: ref, Service: ref, Cores: 1, Memory: 1, Deadline: 5000},
	}
}

// newFullRouter returns a router of one shard whose ten cores are taken.
func newFullRouter(t *testing.T) *Router {
	t.Helper()
	r := newMultiTenant(1, 100)
	for key := range uint64(9) {
		r.mustSubmit(t, tenantArrival(0, key, key))
	}
	r.mustSubmit(t, tenantArrival(2, 90, 90))
	return r
}

func (r *Router) mustSubmit(t *testing.T, a Arrival) {
	t.Helper()
	if d := r.Submit(0, a, idle); d.IsRejected() || d.Queued {
		t.Fatalf("%+v", d)
	}
}

func TestQueuedUntilCapacity(t *testing.T) {
	r := newFullRouter(t)
	if d := r.Submit(0, tenantArrival(1, 50, 50), idle); !d.Queued {
		t.Fatalf("%+v", d)
	}
	if decisions := r.Dequeue(1, idle); len(decisions) > 0 || !r.MayDequeue(1) {
		t.Fatalf("%+v", decisions)
	}
	r.Remove(claimOf(0, 0, 1), 0)
	if decisions := r.Dequeue(2, idle); len(decisions) != 1 || decisions[0].Epoch != 1 || decisions[0].Request.Ref != 50 {
		t.Fatalf("%+v", decisions)
	}
}

func TestOnCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		total, free float64
		knowsFree   bool
		queued      bool
	}{
		{"others hold the rest and more", 30, -1, true, true},
		{"others hold all but one", 30, 1, true, false},
		{"nobody else holds any", 30, 20, true, false},
		{"most of what is held is at nodes that drain", 5, 4, true, false},
		{"it does not say, and all is held here", 10, 10, false, true},
		{"it does not say", 30, 30, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFullRouter(t)
			for range 60 { // half a minute of the node list's answers
				r.OnCapacity(Capacity{Total: Resources{c.total, c.total}, Free: Resources{c.free, c.free}, KnowsFree: c.knowsFree})
			}
			for key := range 2 { // minOpenPerShard may be open in any case
				r.PermitAttempt(claimOf(key, 0, 1), shardownership.Attempt{Node: 1})
			}
			if d := r.Submit(1, tenantArrival(1, 50, 50), idle); d.Queued != c.queued {
				t.Errorf("%+v", d)
			}
		})
	}
	t.Run("the list is behind while the load grows", func(t *testing.T) {
		r := newMultiTenant(1, 100)
		r.OnCapacity(Capacity{Total: Resources{20, 20}, Free: Resources{20, 20}, KnowsFree: true})
		for i := range uint64(18) { // the list is three answers behind
			r.mustSubmit(t, tenantArrival(int(i%3), i, i))
			free := 20 - max(0, float64(i)-2)
			r.OnCapacity(Capacity{Total: Resources{20, 20}, Free: Resources{free, free}, KnowsFree: true})
		}
		if r.queue.heldByOthers.Cores != 0 || r.queue.heldByOthers.Memory != 0 {
			t.Errorf("others are believed to hold %+v", r.queue.heldByOthers)
		}
	})
}

func TestShardBehind(t *testing.T) {
	r := newMultiTenant(1, 100)
	r.OnRound(0, 10, 10)
	busy := func(int) (float64, int) { return 0, 1000 }
	if d := r.Submit(0, tenantArrival(1, 50, 50), busy); !d.Queued {
		t.Fatalf("%+v", d)
	}
	if decisions := r.Dequeue(1, idle); len(decisions) > 0 {
		t.Errorf("routed again at once: %+v", decisions)
	}
	if due := r.Due(1); due > retryInterval {
		t.Errorf("due at %g", due)
	}
	if decisions := r.Dequeue(retryInterval, idle); len(decisions) != 1 || decisions[0].IsRejected() {
		t.Errorf("%+v", decisions)
	}
}

func TestExpireQueued(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	if due := r.Due(0); due != 4900 {
		t.Errorf("due at %g", due)
	}
	if decisions := r.Dequeue(4900, idle); len(decisions) != 1 || decisions[0].Reason != TooLate {
		t.Errorf("%+v", decisions)
	}
}

func TestWithdraw(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	if !r.Withdraw(1, 50) || r.Withdraw(1, 50) {
		t.Error("not withdrawn once")
	}
	r.Submit(0, tenantArrival(1, 51, 51), idle)
	r.WithdrawClient(1)
	if n := r.TenantCount(1); n != 0 {
		t.Errorf("%d are left", n)
	}
}

func TestBlockedTenant(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	decisions := r.SetTenant(1, 1, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, Blocked: true}})
	if len(decisions) != 1 || decisions[0].Reason != NotTaken {
		t.Errorf("%+v", decisions)
	}
	if d := r.Submit(2, tenantArrival(1, 51, 51), idle); d.Reason != OverShare {
		t.Errorf("%+v", d)
	}
}

// TestOwnedAllocationIsNotQueued submits a second request for an allocation that a shard acts for.
func TestOwnedAllocationIsNotQueued(t *testing.T) {
	r := newFullRouter(t)
	if d := r.Submit(0, tenantArrival(0, 3, 60), idle); d.Queued || d.IsRejected() || d.Epoch != 0 {
		t.Errorf("%+v", d)
	}
}

// TestRejectWaiting ends the process while requests wait: each is rejected once, in the order in which they came.
func TestRejectWaiting(t *testing.T) {
	r := newFullRouter(t)
	for ref := uint64(50); ref < 53; ref++ {
		if d := r.Submit(0, tenantArrival(1, ref, ref), idle); !d.Queued {
			t.Fatalf("%+v", d)
		}
	}
	rejected := r.RejectWaiting()
	if len(rejected) != 3 || rejected[0].Request.Ref != 50 || rejected[2].Request.Ref != 52 || rejected[0].Reason != NotTaken {
		t.Errorf("%+v", rejected)
	}
	if again := r.RejectWaiting(); len(again) > 0 || len(newRouter(1).RejectWaiting()) > 0 {
		t.Errorf("%+v", again)
	}
}
