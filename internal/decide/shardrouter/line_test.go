package shardrouter

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/tenancy"
)

func hosting(shards, open int) *Router {
	d := New(0, Config{JobClasses: jobs, Shards: shards, MaxShards: shards, MaxOpen: open, AnswerMargin: 100, FirstEpoch: 1, MultiTenant: true})
	for i := range 3 {
		d.SetTenant(0, i, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 6}, AcceptsNew: true})
	}
	d.OnCapacity(Resources{10, 10}, Resources{10, 10}, true)
	return d
}

func TestLine(t *testing.T) {
	of := func(tenant int, key uint64) shardownership.ID {
		return shardownership.ID{Tenant: tenant, Token: key}
	}
	ask := func(ref uint64) shardownership.Request {
		return shardownership.Request{Client: 1, Ref: ref, Service: ref, Cores: 1, Memory: 1, Deadline: 5000}
	}
	full := func(d *Router) { // all ten cores are taken
		defer func() {
			if e := d.Submit(0, of(2, 90), ask(90), 0, calm); e.Reason != "" || e.Queued {
				t.Fatalf("%+v", e)
			}
		}()
		for i := range uint64(9) {
			if e := d.Submit(0, of(0, i), ask(i), 0, calm); e.Reason != "" || e.Queued {
				t.Fatalf("%+v", e)
			}
		}
	}
	t.Run("waits for room, and goes on as some ends", func(t *testing.T) {
		d := hosting(1, 100)
		full(d)
		e := d.Submit(0, of(1, 50), ask(50), 0, calm)
		if !e.Queued {
			t.Fatalf("%+v", e)
		}
		if all := d.Dequeue(1, calm); len(all) > 0 || !d.MayDequeue(1) {
			t.Fatalf("%+v", all)
		}
		d.Remove(of(0, 0), 0, 0, 1)
		if all := d.Dequeue(2, calm); len(all) != 1 || all[0].Epoch != 1 || all[0].Request.Ref != 50 {
			t.Fatalf("%+v", all)
		}
	})
	t.Run("room by the list", func(t *testing.T) {
		for _, c := range []struct {
			name         string
			all, unasked float64
			says, waits  bool
		}{
			{"others hold the rest and more", 30, -1, true, true},
			{"others hold all but one", 30, 1, true, false},
			{"nobody else holds any", 30, 20, true, false},
			{"most of what is held is at nodes that drain", 5, 4, true, false},
			{"it does not say, and all is held here", 10, 10, false, true},
			{"it does not say", 30, 30, false, false},
		} {
			d := hosting(1, 100)
			full(d)
			for range 60 { // half a minute of the list's word
				d.OnCapacity(Resources{c.all, c.all}, Resources{c.unasked, c.unasked}, c.says)
			}
			for i := range uint64(2) { // whatever is said, two may be open
				d.PermitAttempt(of(0, i), 0, 1, shardownership.Attempt{Node: 1})
			}
			if e := d.Submit(1, of(1, 50), ask(50), 0, calm); e.Queued != c.waits {
				t.Errorf("%s: %+v", c.name, e)
			}
		}
	})
	t.Run("the list is behind while the load grows", func(t *testing.T) {
		d := hosting(1, 100)
		d.OnCapacity(Resources{20, 20}, Resources{20, 20}, true)
		for i := range uint64(18) { // the list says what was so three words ago
			if e := d.Submit(0, of(int(i%3), i), ask(i), 0, calm); e.Reason != "" || e.Queued {
				t.Fatalf("%+v", e)
			}
			free := 20 - max(0, float64(i)-2)
			d.OnCapacity(Resources{20, 20}, Resources{free, free}, true)
		}
		if d.queue.others.Cores != 0 || d.queue.others.Memory != 0 {
			t.Errorf("others are believed to hold %+v", d.queue.others)
		}
	})
	t.Run("a shard that is behind", func(t *testing.T) {
		d := hosting(1, 100)
		d.OnRound(0, 10, 10)
		crowded := func(int) (float64, int) { return 0, 1000 }
		if e := d.Submit(0, of(1, 50), ask(50), 0, crowded); !e.Queued {
			t.Fatalf("%+v", e)
		}
		if all := d.Dequeue(1, calm); len(all) > 0 {
			t.Errorf("asked again at once: %+v", all)
		}
		if at := d.Due(1); at > retry {
			t.Errorf("due at %g", at)
		}
		if all := d.Dequeue(retry, calm); len(all) != 1 || all[0].Reason != "" {
			t.Errorf("%+v", all)
		}
	})
	t.Run("its time is up", func(t *testing.T) {
		d := hosting(1, 100)
		full(d)
		d.Submit(0, of(1, 50), ask(50), 0, calm)
		if at := d.Due(0); at != 4900 {
			t.Errorf("due at %g", at)
		}
		if all := d.Dequeue(4900, calm); len(all) != 1 || all[0].Reason != "too-late" {
			t.Errorf("%+v", all)
		}
	})
	t.Run("given up", func(t *testing.T) {
		d := hosting(1, 100)
		full(d)
		d.Submit(0, of(1, 50), ask(50), 0, calm)
		if !d.Withdraw(1, 50) || d.Withdraw(1, 50) {
			t.Error("not once")
		}
		d.Submit(0, of(1, 51), ask(51), 0, calm)
		d.WithdrawClient(1)
		if n := d.TenantCount(1); n != 0 {
			t.Errorf("%d are left", n)
		}
	})
	t.Run("a tenant that takes nothing any more", func(t *testing.T) {
		d := hosting(1, 100)
		full(d)
		d.Submit(0, of(1, 50), ask(50), 0, calm)
		all := d.SetTenant(1, 1, tenancy.Policy{Limits: fairqueue.Limits{Share: 1, Blocked: true}})
		if len(all) != 1 || all[0].Reason != "not-taken" {
			t.Errorf("%+v", all)
		}
		if e := d.Submit(2, of(1, 51), ask(51), 0, calm); e.Reason != "over-share" {
			t.Errorf("%+v", e)
		}
	})
	t.Run("a key that is known goes past the line", func(t *testing.T) {
		d := hosting(1, 100)
		full(d)
		if e := d.Submit(0, of(0, 3), ask(60), 0, calm); e.Queued || e.Reason != "" || e.Epoch != 0 {
			t.Errorf("%+v", e)
		}
	})
}

// TestAnyLine draws any order of calls: each ask is placed, declined or given up exactly once, and what the queue counts as open
// and held is what the ownership table has.
func TestAnyLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now, ref := hosting(2, 12), 0.0, uint64(0)
		life := uint32(1)
		waits, open := map[uint64]shardownership.ID{}, map[shardownership.ID]Decision{}
		note := func(e Decision) {
			delete(waits, e.Request.Ref)
			if e.Reason == "" && e.Epoch > 0 {
				open[e.ID] = e
			}
		}
		queue := func(int) (float64, int) { return 0, 0 }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "time"))
			n := shardownership.ID{Tenant: rapid.IntRange(0, 2).Draw(t, "tenant"), Token: uint64(rapid.IntRange(0, 9).Draw(t, "key"))}
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0, 1, 2:
				ref++
				size := float64(rapid.IntRange(1, 3).Draw(t, "size"))
				e := d.Submit(now, n, shardownership.Request{Client: 1, Ref: ref, Service: n.Token % 3, Cores: size, Memory: 1, Deadline: now + 900}, 0, queue)
				if e.Queued {
					waits[ref] = n
				} else {
					note(e)
				}
			case 3:
				if e, ok := open[n]; ok {
					d.PermitAttempt(n, e.Shard, e.Epoch, shardownership.Attempt{Node: 1})
					d.PermitAnswer(now, n, e.Shard, e.Epoch, true)
				}
			case 4:
				if e, ok := open[n]; ok {
					d.Remove(n, e.Shard, e.Request.Service, e.Epoch)
					delete(open, n)
				}
			case 5:
				shard := rapid.IntRange(0, 1).Draw(t, "shard")
				for _, f := range d.Fence(now, shard) {
					e := open[f.ID]
					if delete(open, f.ID); f.Disposition == shardownership.Reassign {
						e.Shard, e.Epoch = f.Shard, f.Epoch
						open[f.ID] = e
					}
				}
				life++
				d.OnShardStarted(shard, life)
			case 6:
				if len(waits) > 0 {
					least := uint64(1 << 62)
					for r := range waits {
						least = min(least, r)
					}
					if !d.Withdraw(1, least) {
						t.Fatalf("ask %d does not wait", least)
					}
					delete(waits, least)
				}
			}
			for _, e := range d.Dequeue(now, queue) {
				if _, ok := waits[e.Request.Ref]; !ok {
					t.Fatalf("ask %d has a second outcome", e.Request.Ref)
				}
				note(e)
			}
			if n := len(d.queue.waiting); n != len(waits) || n != d.queue.queue.TotalWaiting() {
				t.Fatalf("%d wait, the router has %d, the queue %d", len(waits), n, d.queue.queue.TotalWaiting())
			}
			if d.queue.queue.TotalOpen() != d.Open() || d.Open() > 12 {
				t.Fatalf("the queue has %d open, the ownership table %d", d.queue.queue.TotalOpen(), d.Open())
			}
			held := 0.0
			for _, e := range open {
				held += e.Request.Cores
			}
			if held != d.queue.held.Cores {
				t.Fatalf("%g cores are held, the router counts %g", held, d.queue.held.Cores)
			}
		}
	})
}
