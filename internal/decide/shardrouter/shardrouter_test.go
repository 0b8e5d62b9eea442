package shardrouter

import (
	"slices"
	"testing"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/logic"
)

// Job classes of the tests.
const (
	restartable = iota
	spread      // idempotent, and its tasks must be spread
	atMostOnce
)

var jobClasses = []logic.JobClass{
	restartable: {Semantics: logic.Restartable},
	spread:      {Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, Spread: logic.PerNode, MaxPerScope: 3},
	atMostOnce:  {Semantics: logic.AtMostOnce},
}

// idle is the load of shards that wait for nothing.
func idle(int) (float64, int) { return 0, 0 }

func newRouter(shards int) *Router {
	return New(0, Config{JobClasses: jobClasses, Shards: shards, MaxShards: 4, MaxOpen: 100, AnswerMargin: 200, RoundInterval: 1, FirstEpoch: 1})
}

func idOf(key int) shardownership.ID { return shardownership.ID{Token: uint64(key)} }

func claimOf(key, shard int, epoch uint32) shardownership.Claim {
	return shardownership.Claim{ID: idOf(key), Shard: shard, Epoch: epoch}
}

// arrival is the arrival of a request without a client.
func arrival(key, jobClass int, service uint64, deadline float64) Arrival {
	return Arrival{ID: idOf(key), Request: shardownership.Request{JobClass: jobClass, Service: service, Deadline: deadline}}
}

// mustRoute routes a new request of client 1 and returns the shard's claim.
func (r *Router) mustRoute(t *testing.T, now float64, key, jobClass int, service uint64) shardownership.Claim {
	t.Helper()
	a := arrival(key, jobClass, service, now+5000)
	a.Request.Client, a.Request.Ref = 1, uint64(key)
	d := r.Route(now, a, idle)
	if d.Reason != NoReason || d.Epoch == 0 {
		t.Fatalf("request %d: epoch %d, %s", key, d.Epoch, d.Reason)
	}
	return shardownership.Claim{ID: d.ID, Shard: d.Shard, Epoch: d.Epoch}
}

// markRunning permits an attempt and the answer that it runs.
func (r *Router) markRunning(c shardownership.Claim, attempt shardownership.Attempt) {
	r.PermitAttempt(c, attempt)
	r.PermitAnswer(0, c, true)
}

func TestRoute(t *testing.T) {
	r := New(0, Config{JobClasses: jobClasses, Shards: 1, MaxShards: 1, MaxOpen: 2, AnswerMargin: 200, FirstEpoch: 1})
	r.mustRoute(t, 0, 1, restartable, 7)
	if d := r.Route(0, arrival(1, restartable, 0, 5000), idle); d.Shard != 0 || d.Epoch != 0 || d.Reason != NoReason {
		t.Errorf("a known key: %d, %d, %s", d.Shard, d.Epoch, d.Reason)
	}
	r.OnRound(0, 10, 10)
	busy := func(int) (float64, int) { return 0, 1000 }
	if d := r.Route(0, arrival(2, restartable, 0, 5000), busy); d.Reason != Behind {
		t.Error(d.Reason)
	}
	r.mustRoute(t, 300, 3, restartable, 7)
	if d := r.Route(300, arrival(4, restartable, 0, 5000), idle); d.Reason != Full {
		t.Error(d.Reason)
	}
}

func TestReasonString(t *testing.T) {
	for reason, want := range map[Reason]string{
		NoReason: "", AttemptOpen: "earlier-try-out", Full: "full", ShardFenced: "shard-fenced", NoShard: "no-shard",
		Behind: "behind", OverShare: "over-share", TooLate: "too-late", NotTaken: "not-taken",
	} {
		if got := reason.String(); got != want { // clients and logs get these texts
			t.Errorf("%d: %q, want %q", reason, got, want)
		}
	}
}

// TestAllocationEndsBeforeItsRequestIsHandled has a node report an attempt that ran and ended while a request for the same key is on its way to its
// shard: the shard does not act for the request any more.
func TestAllocationEndsBeforeItsRequestIsHandled(t *testing.T) {
	r := newRouter(2)
	claim := r.mustRoute(t, 0, 1, restartable, 7)
	if !r.IsOwner(claim) || r.IsOwner(claimOf(1, 1-claim.Shard, claim.Epoch)) || r.IsOwner(claimOf(2, claim.Shard, claim.Epoch)) {
		t.Fatal("the shard acts for the request alone")
	}
	recovery, ok := r.Recover(idOf(1), claim.Shard, shardownership.Request{Service: 7}, shardownership.Attempt{Node: 3, Ticket: 9})
	if !ok {
		t.Fatal("what runs is not recovered")
	}
	r.Remove(claimOf(1, claim.Shard, recovery.Epoch), 7)
	if r.IsOwner(claim) {
		t.Error("the shard acts for a request that an ended attempt took the place of")
	}
}

func TestSilentShard(t *testing.T) {
	r := newRouter(2)
	claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
	heartbeats := []float64{4900, 4900}
	heartbeats[claim.Shard] = 4000
	health := r.CheckHealth(4900, heartbeats, []float64{0, 0})
	if !slices.Equal(health.Silent, []int{claim.Shard}) || len(health.Overdue) != 1 || health.Overdue[0].Disposition != shardownership.Shed {
		t.Errorf("silent %v, %+v", health.Silent, health.Overdue)
	}
	if r.PermitAnswer(0, claimOf(1, claim.Shard, 1), true) {
		t.Error("answered again")
	}
}

// TestOverdueIsAnsweredInTime has a shard stop at each moment around that in which it would have answered a request: the router answers in its
// place before the deadline, however the checks fall.
//
// Callers got no answer at all (rule 1): a shard counted as silent after 250 ms alone, but answers leave only 200 ms before the deadline. A
// request that was due in the first 100 ms after its shard had stopped was noticed when its deadline had passed, and then nothing may be sent.
func TestOverdueIsAnsweredInTime(t *testing.T) {
	const deadline, checkInterval, answerMargin = 5000.0, 50.0, 200.0 // serve checks four times in an answer margin
	for stoppedAt := deadline - 2*answerMargin; stoppedAt < deadline-answerMargin; stoppedAt += 10 {
		for phase := 0.0; phase < checkInterval; phase += 10 {
			r := newRouter(2)
			claim := r.mustRoute(t, 0, 1, atMostOnce, 7)
			r.PermitAttempt(claim, shardownership.Attempt{Node: 3, Ticket: 9})
			answeredAt := 0.0
			for now := 4000 + phase; now < deadline && answeredAt == 0; now += checkInterval {
				heartbeats := []float64{now, now}
				heartbeats[claim.Shard] = min(now, stoppedAt)
				if overdue := r.CheckHealth(now, heartbeats, []float64{0, 0}).Overdue; len(overdue) > 0 {
					answeredAt = now
				}
			}
			if answeredAt == 0 {
				t.Errorf("stopped %.0f ms before the deadline, checks at %.0f ms: no answer", deadline-stoppedAt, phase)
			}
		}
	}
}

// TestOverdueWhileChecksComeLate has a shard stand still and the checks come 300 ms apart, as on a busy machine: each request is answered before
// its deadline all the same.
//
// Callers got no answer, or a late one (rule 1), beside load: 9 requests in 48 runs of TestFencedShard. The logs say that their shard had been
// silent for 1.6 to 2.0 s and that checks came 110 to 350 ms apart instead of 50, while the router took over 150 ms before a deadline.
func TestOverdueWhileChecksComeLate(t *testing.T) {
	const checkInterval, stoppedAt = 300.0, 2500.0
	for deadline := 4000.0; deadline < 4000+checkInterval; deadline += 10 {
		r := newRouter(2)
		a := arrival(1, atMostOnce, 7, deadline)
		claim := claimOf(1, r.Route(2400, a, idle).Shard, 1)
		answeredAt := 0.0
		for now := 2400.0; now < deadline && answeredAt == 0; now += checkInterval {
			r.SetLateness(checkInterval)
			heartbeats := []float64{now, now}
			heartbeats[claim.Shard] = min(now, stoppedAt)
			if overdue := r.CheckHealth(now, heartbeats, []float64{0, 0}).Overdue; len(overdue) > 0 {
				answeredAt = now
			}
		}
		if answeredAt == 0 || deadline-answeredAt < 100 {
			t.Errorf("deadline %.0f: answered at %.0f", deadline, answeredAt)
		}
	}
}

// TestOverdueBeforeALateCheck has a shard stand still for 1.5 s, and then one check come 400 ms late: each request is answered before its
// deadline all the same.
//
// Callers got no answer (rule 1) in 1 of 48 runs of TestFencedShard beside load, with checks that had come on time until then.
func TestOverdueBeforeALateCheck(t *testing.T) {
	const checkInterval, stoppedAt, lateAt, late = 50.0, 2500.0, 4000.0, 400.0
	for deadline := lateAt; deadline < lateAt+late+200; deadline += 10 {
		r := newRouter(2)
		claim := claimOf(1, r.Route(2400, arrival(1, atMostOnce, 7, deadline), idle).Shard, 1)
		answeredAt := 0.0
		for now := 2400.0; now < deadline && answeredAt == 0; now += checkInterval {
			if now == lateAt+checkInterval {
				now += late
			}
			heartbeats := []float64{now, now}
			heartbeats[claim.Shard] = min(now, stoppedAt)
			if overdue := r.CheckHealth(now, heartbeats, []float64{0, 0}).Overdue; len(overdue) > 0 {
				answeredAt = now
			}
		}
		if answeredAt == 0 || answeredAt >= deadline {
			t.Errorf("deadline %.0f: looked at at %.0f", deadline, answeredAt)
		}
	}
}
