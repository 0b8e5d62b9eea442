package shardrouter

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/logic"
)

var jobs = []logic.JobClass{
	{Semantics: logic.Restartable},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, Spread: logic.PerNode, MaxPerScope: 3},
	{Semantics: logic.AtMostOnce},
}

func calm(int) (float64, int) { return 0, 0 }

func begin(shards int) *Router {
	return New(0, Config{JobClasses: jobs, Shards: shards, MaxShards: 4, MaxOpen: 100, AnswerMargin: 200, RoundInterval: 1, FirstEpoch: 1})
}

func name(i int) shardownership.ID { return shardownership.ID{Token: uint64(i)} }

func (r *Router) ask(t interface{ Fatalf(string, ...any) }, now float64, i, job int, service uint64) (int, uint32) {
	at, epoch, why := r.Route(now, name(i), shardownership.Request{Client: 1, Ref: uint64(i), JobClass: job, Service: service, Deadline: now + 5000}, 0, calm)
	if why != "" || epoch == 0 {
		t.Fatalf("ask %d: epoch %d, %s", i, epoch, why)
	}
	return at, epoch
}

func TestFence(t *testing.T) {
	for _, c := range []struct {
		name string
		job  int
		do   func(d *Router, at int, epoch uint32)
		want shardownership.Disposition
	}{
		{"it waits", 0, func(*Router, int, uint32) {}, shardownership.Reassign},
		{"it waits and must be spread", 1, func(*Router, int, uint32) {}, shardownership.Shed},
		{"a try is out", 2, func(d *Router, at int, epoch uint32) {
			d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{Node: 3})
		}, shardownership.Fail},
		{"one that may be tried again is out", 0, func(d *Router, at int, epoch uint32) {
			d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{Node: 3})
		}, shardownership.Shed},
		{"it runs", 2, func(d *Router, at int, epoch uint32) {
			d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{Node: 3, Ticket: 9})
			d.PermitAnswer(0, name(1), at, epoch, true)
		}, shardownership.Continue},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := begin(3)
			at, epoch := d.ask(t, 0, 1, c.job, 7)
			c.do(d, at, epoch)
			all := d.Fence(100, at)
			if len(all) != 1 || all[0].Disposition != c.want {
				t.Fatalf("%+v", all)
			}
			if d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{}) {
				t.Error("the fenced shard got leave")
			}
			if f := all[0]; c.want == shardownership.Reassign && (f.Shard == at || !d.PermitAttempt(name(1), f.Shard, f.Epoch, shardownership.Attempt{})) {
				t.Errorf("moved to %d, which gets no leave", f.Shard)
			}
			if _, _, why := d.Route(200, name(2), shardownership.Request{JobClass: c.job, Service: 7, Deadline: 9000}, 0, calm); (why != "") != (c.job == 1) {
				t.Errorf("an ask of the same service: %q", why)
			}
			if c.want == shardownership.Continue {
				if _, epoch, why := d.Route(6000, name(1), shardownership.Request{JobClass: c.job, Service: 7, Deadline: 9000}, 0, calm); epoch > 0 || why != "shard-fenced" {
					t.Errorf("asked for again before it is found: epoch %d, %q", epoch, why)
				}
				if home, knows := d.ShardOf(name(1), 9, 0, 7, (at+2)%3); home != (at+2)%3 || knows { // where it was handed on from
					t.Errorf("its home is %d, which knows of it: %t", home, knows)
				}
				// Found again by another shard, its owner is known.
				to := (at + 1) % 3
				if _, owner, ref, ok := d.Recover(name(1), to, shardownership.Request{JobClass: c.job, Service: 7}, shardownership.Attempt{Node: 3, Ticket: 9}); !ok || owner != 1 || ref != 1 {
					t.Errorf("found: owner %d, ref %d, %v", owner, ref, ok)
				}
				if home, knows := d.ShardOf(name(1), 9, 0, 7, -1); home != to || !knows {
					t.Error("its home is not where it was found")
				}
			}
		})
	}
	t.Run("over before it is found", func(t *testing.T) {
		d := begin(2)
		at, epoch := d.ask(t, 0, 1, 2, 7)
		d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{Node: 3, Ticket: 9, Number: 1})
		d.PermitAnswer(0, name(1), at, epoch, true)
		d.Fence(100, at)
		if _, ok := d.OnLostEnded(shardownership.Attempt{Node: 3, Ticket: 9}); ok {
			t.Error("another try of it ended it")
		}
		if a, ok := d.OnLostEnded(shardownership.Attempt{Node: 3, Ticket: 9, Number: 1}); !ok || a.Ref != 1 {
			t.Errorf("%+v, %t", a, ok)
		}
		if _, _, _, _, lost := d.CheckHealth(101+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) > 0 {
			t.Errorf("told twice: %+v", lost)
		}
	})
	t.Run("never found", func(t *testing.T) {
		d := begin(2)
		at, epoch := d.ask(t, 0, 1, 2, 7)
		d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{})
		d.PermitAnswer(0, name(1), at, epoch, true)
		d.Fence(100, at)
		if _, _, _, _, lost := d.CheckHealth(100+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) > 0 {
			t.Error("given up too early")
		}
		if _, _, _, _, lost := d.CheckHealth(101+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) != 1 || lost[0].Ref != 1 {
			t.Errorf("%+v", lost)
		}
	})
	for title, back := range map[string]func(d *Router, giver int){
		"called back after it looked":      func(d *Router, _ int) { _, _, _ = d.Resize(30, 2) },
		"the other fenced after it looked": func(d *Router, giver int) { d.Fence(30, 1-giver) },
	} {
		t.Run(title, func(t *testing.T) { // what it gives is its own again, not lost
			d := begin(2)
			service := uint64(0)
			for d.placement.TargetOf(service, 0) != 1 {
				service++
			}
			at, epoch := d.ask(t, 0, 1, 2, service)
			d.PermitAttempt(name(1), at, epoch, shardownership.Attempt{Node: 3, Ticket: 9})
			d.PermitAnswer(0, name(1), at, epoch, true)
			_, _, _ = d.Resize(10, 1)
			if !d.BelongsElsewhere(at, service, 0) {
				t.Fatal("a leaving shard keeps what it has")
			}
			back(d, at)
			fates := d.HandOver(40, at, []HandoverItem{{ID: name(1), Request: shardownership.Request{JobClass: 2, Service: service}, Epoch: epoch, Running: true}})
			if len(fates) != 1 || fates[0].Disposition != shardownership.Reassign || fates[0].Shard != at || fates[0].Epoch <= epoch {
				t.Fatalf("%+v", fates)
			}
			if _, _, _, ok := d.Recover(name(1), at, shardownership.Request{JobClass: 2, Service: service}, shardownership.Attempt{Node: 3, Ticket: 9}); !ok {
				t.Error("it can't have it")
			}
			if _, ok := d.OnLostEnded(shardownership.Attempt{Node: 3, Ticket: 9}); ok {
				t.Error("it is held, yet counts as lost")
			}
		})
	}
	t.Run("no shard is left", func(t *testing.T) {
		d := begin(1)
		d.ask(t, 0, 1, 0, 7)
		if all := d.Fence(100, 0); all[0].Disposition != shardownership.Shed {
			t.Errorf("%+v", all)
		}
		if _, _, why := d.Route(200, name(2), shardownership.Request{Deadline: 9000}, 0, calm); why != "no-shard" {
			t.Error(why)
		}
	})
}

func TestAsk(t *testing.T) {
	d := New(0, Config{JobClasses: jobs, Shards: 1, MaxShards: 1, MaxOpen: 2, AnswerMargin: 200, FirstEpoch: 1})
	d.ask(t, 0, 1, 0, 7)
	if at, epoch, why := d.Route(0, name(1), shardownership.Request{Deadline: 5000}, 0, calm); at != 0 || epoch != 0 || why != "" {
		t.Errorf("a known key: %d, %d, %s", at, epoch, why)
	}
	d.OnRound(0, 10, 10)
	if _, _, why := d.Route(0, name(2), shardownership.Request{Deadline: 5000}, 0, func(int) (float64, int) { return 0, 1000 }); why != "behind" {
		t.Error(why)
	}
	d.ask(t, 300, 3, 0, 7)
	if _, _, why := d.Route(300, name(4), shardownership.Request{Deadline: 5000}, 0, calm); why != "full" {
		t.Error(why)
	}
}

func TestQuiet(t *testing.T) {
	d := begin(2)
	at, _ := d.ask(t, 0, 1, 2, 7)
	beats := []float64{4900, 4900}
	beats[at] = 4000
	_, _, quiet, answer, _ := d.CheckHealth(4900, beats, []float64{0, 0})
	if !slices.Equal(quiet, []int{at}) || len(answer) != 1 || answer[0].Disposition != shardownership.Shed {
		t.Errorf("quiet %v, %+v", quiet, answer)
	}
	if d.PermitAnswer(0, name(1), at, 1, true) {
		t.Error("answered again")
	}
}

func TestResize(t *testing.T) {
	d := begin(1)
	for _, n := range []int{0, 5} {
		if _, _, err := d.Resize(0, n); err == nil {
			t.Errorf("%d shards were taken", n)
		}
	}
	for i := range 40 {
		d.ask(t, 0, i, 0, uint64(i))
	}
	begin, leave, err := d.Resize(0, 3)
	if err != nil || !slices.Equal(begin, []int{1, 2}) || len(leave) > 0 || d.IsStopped(1) || !d.IsStopped(3) {
		t.Fatalf("%v begin, %v leave, %v", begin, leave, err)
	}
	d.OnShardStarted(1, 5)
	d.OnShardStarted(2, 6)
	goes := 0
	for i := range 40 {
		if d.BelongsElsewhere(0, uint64(i), 0) {
			goes++
		}
	}
	if goes < 15 || goes > 38 || !d.HasHandover(100, 0) || d.HasHandover(9000, 0) {
		t.Errorf("%d of 40 services go to shards that were added", goes)
	}
	_, leave, _ = d.Resize(9000, 2)
	if !slices.Equal(leave, []int{2}) || !d.IsDraining(2) {
		t.Errorf("%v leave", leave)
	}
	if back, _, _ := d.Resize(9000, 3); len(back) > 0 || d.IsDraining(2) {
		t.Error("not called back")
	}
	d.Resize(9000, 2)
	if left, ok := d.OnDrained(9100, 2); !ok || len(left) > 0 || !d.IsStopped(2) {
		t.Errorf("%v, %v", left, ok)
	}
	if _, ok := d.OnDrained(9100, 2); ok {
		t.Error("left twice")
	}
	if begin, _, _ := d.Resize(9200, 3); !slices.Equal(begin, []int{2}) {
		t.Errorf("%v begin again", begin)
	}
}

// TestOneActs draws asks, tries, answers, fences, handovers and changes of number: the router's books agree at each step, and
// one shard at a time has leave.
func TestOneActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := begin(rapid.IntRange(1, 4).Draw(t, "shards"))
		type held struct {
			shard int
			epoch uint32
			item  HandoverItem
		}
		all := map[int]held{}
		now, life := 0.0, uint32(1)
		check := func() {
			if err := d.CheckInvariants(func(f func(int, shardownership.ID, uint32)) {
				for i, h := range all {
					f(h.shard, name(i), h.epoch)
				}
			}); err != nil {
				t.Fatal(err)
			}
		}
		moved := func(fates []OrphanDecision) {
			for _, f := range fates {
				i := int(f.ID.Token)
				if h := all[i]; f.Disposition == shardownership.Reassign {
					h.shard, h.epoch = f.Shard, f.Epoch
					h.item.Epoch = f.Epoch
					all[i] = h
				} else if f.Disposition != shardownership.Continue {
					delete(all, i)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 20
			i := rapid.IntRange(0, 9).Draw(t, "key")
			h, ok := all[i]
			shard := rapid.IntRange(0, 3).Draw(t, "shard")
			switch rapid.IntRange(0, 7).Draw(t, "call") {
			case 0, 1:
				job, service := rapid.IntRange(0, 2).Draw(t, "job"), uint64(i%3)
				if at, epoch, why := d.Route(now, name(i), shardownership.Request{JobClass: job, Service: service, Deadline: now + 900}, 0, calm); why == "" && epoch > 0 {
					all[i] = held{at, epoch, HandoverItem{ID: name(i), Epoch: epoch, Request: shardownership.Request{JobClass: job, Service: service, Deadline: now + 900}}}
				} else if why == "" && ok != (at == h.shard) {
					t.Fatalf("key %d is at %d, known at %d", i, h.shard, at)
				}
			case 2:
				got := d.PermitAttempt(name(i), shard, h.epoch, shardownership.Attempt{Node: 1})
				if got && (!ok || shard != h.shard) {
					t.Fatal("leave for a shard that does not act for it")
				}
			case 3:
				if ok {
					d.CompleteAttempt(name(i), h.shard, h.epoch, rapid.Bool().Draw(t, "never"))
				}
			case 4:
				if ok {
					d.Remove(name(i), h.shard, h.item.Request.Service, h.epoch)
					delete(all, i)
				}
			case 5:
				if !d.IsStopped(shard) {
					fates := d.Fence(now, shard)
					moved(fates)
					for _, f := range fates {
						if f.Disposition == shardownership.Continue {
							delete(all, int(f.ID.Token))
						}
					}
					life++
					d.OnShardStarted(shard, life)
				}
			case 6:
				var items []HandoverItem
				for j := range 10 {
					if x, ok := all[j]; ok && x.shard == shard && x.item.Request.Service == uint64(i%3) {
						items = append(items, x.item)
					}
				}
				if len(items) > 0 { // whether they go or not: the number of shards may have changed since that was asked
					fates := d.HandOver(now, shard, items)
					for _, f := range fates {
						if f.Disposition == shardownership.Continue { // a try was out: dropped, as the engine gives no such
							if en := d.ownership.Entry(f.ID); en == nil {
								delete(all, int(f.ID.Token))
							}
						}
					}
					moved(fates)
				}
			case 7:
				begin, _, err := d.Resize(now, 1+shard)
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range begin {
					life++
					d.OnShardStarted(b, life)
				}
			}
			check()
		}
	})
}

// TestEndsBeforeItsRequestArrives has a node tell of an attempt that ran and ended while a request for the same key is on
// its way to its shard: the shard does not act for the request any more.
func TestEndsBeforeItsRequestArrives(t *testing.T) {
	r := begin(2)
	at, epoch := r.ask(t, 0, 1, 0, 7)
	if !r.IsOwner(name(1), at, epoch) || r.IsOwner(name(1), 1-at, epoch) || r.IsOwner(name(2), at, epoch) {
		t.Fatal("the shard acts for the request alone")
	}
	found, _, _, ok := r.Recover(name(1), at, shardownership.Request{Service: 7}, shardownership.Attempt{Node: 3, Ticket: 9})
	if !ok {
		t.Fatal("what runs is not adopted")
	}
	r.Remove(name(1), at, 7, found)
	if r.IsOwner(name(1), at, epoch) {
		t.Error("the shard acts for a request that an ended attempt took the place of")
	}
}
