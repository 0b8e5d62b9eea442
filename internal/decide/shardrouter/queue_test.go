package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/tenancy"
)

// newMultiTenant returns a router with three tenants and a capacity of ten cores.
func newMultiTenant(shards, maxOpen int) *Router {
	r := New(0, Config{JobClasses: jobClasses, Shards: shards, MaxShards: shards, MaxOpen: maxOpen, AnswerMargin: 100, FirstEpoch: 1, MultiTenant: true})
	for slot := range 3 {
		r.SetTenant(0, slot, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 6}, AcceptsNew: true})
	}
	r.OnCapacity(Capacity{Total: Resources{10, 10}, Free: Resources{10, 10}, ReportsFree: true})
	return r
}

// tenantArrival returns a request of client 1 for one core.
func tenantArrival(tenant int, key, ref uint64) Arrival {
	return Arrival{
		ID:      shardownership.ID{Tenant: tenant, Token: key},
		Request: shardownership.Request{Client: 1, Ref: ref, Service: ref, Cores: 1, Memory: 1, Deadline: 5000},
	}
}

// newFullRouter returns a router with one shard, all of whose ten cores are held.
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
		t.Fatalf("got decision %+v, want routed", d)
	}
}

func TestQueuedUntilCapacity(t *testing.T) {
	r := newFullRouter(t)
	if d := r.Submit(0, tenantArrival(1, 50, 50), idle); !d.Queued {
		t.Fatalf("got decision %+v, want queued", d)
	}
	if decisions := r.Dequeue(1, idle); len(decisions) > 0 || !r.MayDequeue(1) {
		t.Fatalf("before a removal: got decisions %+v, want none, and that Dequeue may be called", decisions)
	}
	r.Remove(claimOf(0, 0, 1), 0)
	if decisions := r.Dequeue(2, idle); len(decisions) != 1 || decisions[0].Epoch != 1 || decisions[0].Request.Ref != 50 {
		t.Fatalf("after a removal: got decisions %+v, want request 50 routed under epoch 1", decisions)
	}
}

func TestOnCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		total, free float64
		reportsFree bool
		queued      bool
	}{
		{"other processes hold more than the rest", 30, -1, true, true},
		{"other processes leave one core", 30, 1, true, false},
		{"other processes hold nothing", 30, 20, true, false},
		{"most held cores are at draining nodes", 5, 4, true, false},
		{"free unknown, all cores held here", 10, 10, false, true},
		{"free unknown, cores left", 30, 30, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFullRouter(t)
			for range 60 { // half a minute of the node list's answers
				r.OnCapacity(Capacity{Total: Resources{c.total, c.total}, Free: Resources{c.free, c.free}, ReportsFree: c.reportsFree})
			}
			for key := range 2 { // minOpenPerShard may be open in any case
				r.PermitAttempt(claimOf(key, 0, 1), shardownership.Attempt{Node: 1})
			}
			if d := r.Submit(1, tenantArrival(1, 50, 50), idle); d.Queued != c.queued {
				t.Errorf("got decision %+v, want it queued only if the case says so", d)
			}
		})
	}
	t.Run("node list lags while the load grows", func(t *testing.T) {
		r := newMultiTenant(1, 100)
		r.OnCapacity(Capacity{Total: Resources{20, 20}, Free: Resources{20, 20}, ReportsFree: true})
		for i := range uint64(18) { // the node list lags by three answers
			r.mustSubmit(t, tenantArrival(int(i%3), i, i))
			free := 20 - max(0, float64(i)-2)
			r.OnCapacity(Capacity{Total: Resources{20, 20}, Free: Resources{free, free}, ReportsFree: true})
		}
		if r.queue.heldByOthers.Cores != 0 || r.queue.heldByOthers.Memory != 0 {
			t.Errorf("got %+v held by other processes, want none", r.queue.heldByOthers)
		}
	})
}

func TestShardBehind(t *testing.T) {
	r := newMultiTenant(1, 100)
	r.OnRound(0, 10, 10)
	busy := func(int) (float64, int) { return 0, 1000 }
	if d := r.Submit(0, tenantArrival(1, 50, 50), busy); !d.Queued {
		t.Fatalf("got decision %+v, want queued", d)
	}
	if decisions := r.Dequeue(1, idle); len(decisions) > 0 {
		t.Errorf("before the retry interval: got decisions %+v, want none", decisions)
	}
	if due := r.Due(1); due > retryInterval {
		t.Errorf("got due at %g ms, want at most retryInterval", due)
	}
	if decisions := r.Dequeue(retryInterval, idle); len(decisions) != 1 || decisions[0].IsRejected() {
		t.Errorf("after the retry interval: got decisions %+v, want one that is routed", decisions)
	}
}

func TestExpireQueued(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	if due := r.Due(0); due != 4900 {
		t.Errorf("got due at %g ms, want 4900", due)
	}
	if decisions := r.Dequeue(4900, idle); len(decisions) != 1 || decisions[0].Reason != TooLate {
		t.Errorf("got decisions %+v, want one with reason too-late", decisions)
	}
}

func TestWithdraw(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	if !r.Withdraw(1, 50) || r.Withdraw(1, 50) {
		t.Error("a waiting request was not withdrawn exactly once")
	}
	r.Submit(0, tenantArrival(1, 51, 51), idle)
	r.WithdrawClient(1)
	if n := r.TenantCount(1); n != 0 {
		t.Errorf("got %d requests of the tenant after its client withdrew, want 0", n)
	}
}

func TestBlockedTenant(t *testing.T) {
	r := newFullRouter(t)
	r.Submit(0, tenantArrival(1, 50, 50), idle)
	decisions := r.SetTenant(1, 1, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, Blocked: true}})
	if len(decisions) != 1 || decisions[0].Reason != NotAccepted {
		t.Errorf("got decisions %+v, want one with reason not-taken", decisions)
	}
	if d := r.Submit(2, tenantArrival(1, 51, 51), idle); d.Reason != OverShare {
		t.Errorf("request of a blocked tenant: got decision %+v, want reason over-share", d)
	}
}

// TestOwnedAllocationIsNotQueued submits a second request for an allocation that a shard owns: it goes to that shard at once.
func TestOwnedAllocationIsNotQueued(t *testing.T) {
	r := newFullRouter(t)
	if d := r.Submit(0, tenantArrival(0, 3, 60), idle); d.Queued || d.IsRejected() || d.Epoch != 0 {
		t.Errorf("got decision %+v, want routed to the owner with epoch 0", d)
	}
}

// TestRejectWaiting shuts down while requests wait: each must be rejected once, in order of arrival.
func TestRejectWaiting(t *testing.T) {
	r := newFullRouter(t)
	for ref := uint64(50); ref < 53; ref++ {
		if d := r.Submit(0, tenantArrival(1, ref, ref), idle); !d.Queued {
			t.Fatalf("got decision %+v, want queued", d)
		}
	}
	rejected := r.RejectWaiting()
	if len(rejected) != 3 || rejected[0].Request.Ref != 50 || rejected[2].Request.Ref != 52 || rejected[0].Reason != NotAccepted {
		t.Errorf("got decisions %+v, want requests 50 to 52 with reason not-taken", rejected)
	}
	if again := r.RejectWaiting(); len(again) > 0 || len(newRouter(1).RejectWaiting()) > 0 {
		t.Errorf("second call or empty queue: got decisions %+v, want none", again)
	}
}
