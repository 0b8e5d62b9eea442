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
	return New(0, Terms{Jobs: jobs, Shards: shards, Most: 4, Open: 100, Margin: 200, Step: 1, Epoch: 1})
}

func name(i int) shardownership.Name { return shardownership.Name{Token: uint64(i)} }

func (r *Router) ask(t interface{ Fatalf(string, ...any) }, now float64, i, job int, service uint64) (int, uint32) {
	at, epoch, why := r.Ask(now, name(i), shardownership.Ask{Owner: 1, Ref: uint64(i), Job: job, Service: service, Expiry: now + 5000}, 0, calm)
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
		want shardownership.Fate
	}{
		{"it waits", 0, func(*Router, int, uint32) {}, shardownership.Moves},
		{"it waits and must be spread", 1, func(*Router, int, uint32) {}, shardownership.Declines},
		{"a try is out", 2, func(d *Router, at int, epoch uint32) { d.Send(name(1), at, epoch, shardownership.Try{Node: 3}) }, shardownership.Fails},
		{"one that may be tried again is out", 0, func(d *Router, at int, epoch uint32) { d.Send(name(1), at, epoch, shardownership.Try{Node: 3}) }, shardownership.Declines},
		{"it runs", 2, func(d *Router, at int, epoch uint32) {
			d.Send(name(1), at, epoch, shardownership.Try{Node: 3, Ticket: 9})
			d.Final(0, name(1), at, epoch, true)
		}, shardownership.Continues},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := begin(3)
			at, epoch := d.ask(t, 0, 1, c.job, 7)
			c.do(d, at, epoch)
			all := d.Fence(100, at)
			if len(all) != 1 || all[0].Fate != c.want {
				t.Fatalf("%+v", all)
			}
			if d.Send(name(1), at, epoch, shardownership.Try{}) {
				t.Error("the fenced shard got leave")
			}
			if f := all[0]; c.want == shardownership.Moves && (f.To == at || !d.Send(name(1), f.To, f.Epoch, shardownership.Try{})) {
				t.Errorf("moved to %d, which gets no leave", f.To)
			}
			if _, _, why := d.Ask(200, name(2), shardownership.Ask{Job: c.job, Service: 7, Expiry: 9000}, 0, calm); (why != "") != (c.job == 1) {
				t.Errorf("an ask of the same service: %q", why)
			}
			if c.want == shardownership.Continues {
				if _, epoch, why := d.Ask(6000, name(1), shardownership.Ask{Job: c.job, Service: 7, Expiry: 9000}, 0, calm); epoch > 0 || why != "shard-fenced" {
					t.Errorf("asked for again before it is found: epoch %d, %q", epoch, why)
				}
				if home, knows := d.Home(name(1), 9, 0, 7, (at+2)%3); home != (at+2)%3 || knows { // where it was handed on from
					t.Errorf("its home is %d, which knows of it: %t", home, knows)
				}
				// Found again by another shard, its owner is known.
				to := (at + 1) % 3
				if _, owner, ref, ok := d.Adopt(name(1), to, shardownership.Ask{Job: c.job, Service: 7}, shardownership.Try{Node: 3, Ticket: 9}); !ok || owner != 1 || ref != 1 {
					t.Errorf("found: owner %d, ref %d, %v", owner, ref, ok)
				}
				if home, knows := d.Home(name(1), 9, 0, 7, -1); home != to || !knows {
					t.Error("its home is not where it was found")
				}
			}
		})
	}
	t.Run("over before it is found", func(t *testing.T) {
		d := begin(2)
		at, epoch := d.ask(t, 0, 1, 2, 7)
		d.Send(name(1), at, epoch, shardownership.Try{Node: 3, Ticket: 9, No: 1})
		d.Final(0, name(1), at, epoch, true)
		d.Fence(100, at)
		if _, ok := d.Ended(shardownership.Try{Node: 3, Ticket: 9}); ok {
			t.Error("another try of it ended it")
		}
		if a, ok := d.Ended(shardownership.Try{Node: 3, Ticket: 9, No: 1}); !ok || a.Ref != 1 {
			t.Errorf("%+v, %t", a, ok)
		}
		if _, _, _, _, lost := d.Look(101+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) > 0 {
			t.Errorf("told twice: %+v", lost)
		}
	})
	t.Run("never found", func(t *testing.T) {
		d := begin(2)
		at, epoch := d.ask(t, 0, 1, 2, 7)
		d.Send(name(1), at, epoch, shardownership.Try{})
		d.Final(0, name(1), at, epoch, true)
		d.Fence(100, at)
		if _, _, _, _, lost := d.Look(100+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) > 0 {
			t.Error("given up too early")
		}
		if _, _, _, _, lost := d.Look(101+findFor, []float64{15000, 15000}, []float64{0, 0}); len(lost) != 1 || lost[0].Ref != 1 {
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
			for d.table.Due(service, 0) != 1 {
				service++
			}
			at, epoch := d.ask(t, 0, 1, 2, service)
			d.Send(name(1), at, epoch, shardownership.Try{Node: 3, Ticket: 9})
			d.Final(0, name(1), at, epoch, true)
			_, _, _ = d.Resize(10, 1)
			if !d.Goes(at, service, 0) {
				t.Fatal("a leaving shard keeps what it has")
			}
			back(d, at)
			fates := d.Hand(40, at, []Item{{Name: name(1), Ask: shardownership.Ask{Job: 2, Service: service}, Epoch: epoch, Runs: true}})
			if len(fates) != 1 || fates[0].Fate != shardownership.Moves || fates[0].To != at || fates[0].Epoch <= epoch {
				t.Fatalf("%+v", fates)
			}
			if _, _, _, ok := d.Adopt(name(1), at, shardownership.Ask{Job: 2, Service: service}, shardownership.Try{Node: 3, Ticket: 9}); !ok {
				t.Error("it can't have it")
			}
			if _, ok := d.Ended(shardownership.Try{Node: 3, Ticket: 9}); ok {
				t.Error("it is held, yet counts as lost")
			}
		})
	}
	t.Run("no shard is left", func(t *testing.T) {
		d := begin(1)
		d.ask(t, 0, 1, 0, 7)
		if all := d.Fence(100, 0); all[0].Fate != shardownership.Declines {
			t.Errorf("%+v", all)
		}
		if _, _, why := d.Ask(200, name(2), shardownership.Ask{Expiry: 9000}, 0, calm); why != "no-shard" {
			t.Error(why)
		}
	})
}

func TestAsk(t *testing.T) {
	d := New(0, Terms{Jobs: jobs, Shards: 1, Most: 1, Open: 2, Margin: 200, Epoch: 1})
	d.ask(t, 0, 1, 0, 7)
	if at, epoch, why := d.Ask(0, name(1), shardownership.Ask{Expiry: 5000}, 0, calm); at != 0 || epoch != 0 || why != "" {
		t.Errorf("a known key: %d, %d, %s", at, epoch, why)
	}
	d.Worked(0, 10, 10)
	if _, _, why := d.Ask(0, name(2), shardownership.Ask{Expiry: 5000}, 0, func(int) (float64, int) { return 0, 1000 }); why != "behind" {
		t.Error(why)
	}
	d.ask(t, 300, 3, 0, 7)
	if _, _, why := d.Ask(300, name(4), shardownership.Ask{Expiry: 5000}, 0, calm); why != "full" {
		t.Error(why)
	}
}

func TestQuiet(t *testing.T) {
	d := begin(2)
	at, _ := d.ask(t, 0, 1, 2, 7)
	beats := []float64{4900, 4900}
	beats[at] = 4000
	_, _, quiet, answer, _ := d.Look(4900, beats, []float64{0, 0})
	if !slices.Equal(quiet, []int{at}) || len(answer) != 1 || answer[0].Fate != shardownership.Declines {
		t.Errorf("quiet %v, %+v", quiet, answer)
	}
	if d.Final(0, name(1), at, 1, true) {
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
	if err != nil || !slices.Equal(begin, []int{1, 2}) || len(leave) > 0 || d.Gone(1) || !d.Gone(3) {
		t.Fatalf("%v begin, %v leave, %v", begin, leave, err)
	}
	d.Started(1, 5)
	d.Started(2, 6)
	goes := 0
	for i := range 40 {
		if d.Goes(0, uint64(i), 0) {
			goes++
		}
	}
	if goes < 15 || goes > 38 || !d.Gives(100, 0) || d.Gives(9000, 0) {
		t.Errorf("%d of 40 services go to shards that were added", goes)
	}
	_, leave, _ = d.Resize(9000, 2)
	if !slices.Equal(leave, []int{2}) || !d.Leaving(2) {
		t.Errorf("%v leave", leave)
	}
	if back, _, _ := d.Resize(9000, 3); len(back) > 0 || d.Leaving(2) {
		t.Error("not called back")
	}
	d.Resize(9000, 2)
	if left, ok := d.Left(9100, 2); !ok || len(left) > 0 || !d.Gone(2) {
		t.Errorf("%v, %v", left, ok)
	}
	if _, ok := d.Left(9100, 2); ok {
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
			item  Item
		}
		all := map[int]held{}
		now, life := 0.0, uint32(1)
		check := func() {
			if err := d.Check(func(f func(int, shardownership.Name, uint32)) {
				for i, h := range all {
					f(h.shard, name(i), h.epoch)
				}
			}); err != nil {
				t.Fatal(err)
			}
		}
		moved := func(fates []Fate) {
			for _, f := range fates {
				i := int(f.Name.Token)
				if h := all[i]; f.Fate == shardownership.Moves {
					h.shard, h.epoch = f.To, f.Epoch
					h.item.Epoch = f.Epoch
					all[i] = h
				} else if f.Fate != shardownership.Continues {
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
				if at, epoch, why := d.Ask(now, name(i), shardownership.Ask{Job: job, Service: service, Expiry: now + 900}, 0, calm); why == "" && epoch > 0 {
					all[i] = held{at, epoch, Item{Name: name(i), Epoch: epoch, Ask: shardownership.Ask{Job: job, Service: service, Expiry: now + 900}}}
				} else if why == "" && ok != (at == h.shard) {
					t.Fatalf("key %d is at %d, known at %d", i, h.shard, at)
				}
			case 2:
				got := d.Send(name(i), shard, h.epoch, shardownership.Try{Node: 1})
				if got && (!ok || shard != h.shard) {
					t.Fatal("leave for a shard that does not act for it")
				}
			case 3:
				if ok {
					d.Settle(name(i), h.shard, h.epoch, rapid.Bool().Draw(t, "never"))
				}
			case 4:
				if ok {
					d.Drop(name(i), h.shard, h.item.Ask.Service, h.epoch)
					delete(all, i)
				}
			case 5:
				if !d.Gone(shard) {
					fates := d.Fence(now, shard)
					moved(fates)
					for _, f := range fates {
						if f.Fate == shardownership.Continues {
							delete(all, int(f.Name.Token))
						}
					}
					life++
					d.Started(shard, life)
				}
			case 6:
				var items []Item
				for j := range 10 {
					if x, ok := all[j]; ok && x.shard == shard && x.item.Ask.Service == uint64(i%3) {
						items = append(items, x.item)
					}
				}
				if len(items) > 0 { // whether they go or not: the number of shards may have changed since that was asked
					fates := d.Hand(now, shard, items)
					for _, f := range fates {
						if f.Fate == shardownership.Continues { // a try was out: dropped, as the engine gives no such
							if en := d.ownership.Entry(f.Name); en == nil {
								delete(all, int(f.Name.Token))
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
					d.Started(b, life)
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
	if !r.ActsFor(name(1), at, epoch) || r.ActsFor(name(1), 1-at, epoch) || r.ActsFor(name(2), at, epoch) {
		t.Fatal("the shard acts for the request alone")
	}
	found, _, _, ok := r.Adopt(name(1), at, shardownership.Ask{Service: 7}, shardownership.Try{Node: 3, Ticket: 9})
	if !ok {
		t.Fatal("what runs is not adopted")
	}
	r.Drop(name(1), at, 7, found)
	if r.ActsFor(name(1), at, epoch) {
		t.Error("the shard acts for a request that an ended attempt took the place of")
	}
}
