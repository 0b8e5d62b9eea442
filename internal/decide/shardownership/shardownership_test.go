package shardownership

import (
	"testing"

	"pgregory.net/rapid"

	"ravenpond/logic"
)

var jobs = []logic.JobClass{
	{Semantics: logic.Restartable},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone},
	{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeAll},
	{Semantics: logic.AtMostOnce},
}

func TestFate(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(l *Table, n ID)
		want [4]Disposition // by job type
	}{
		{"no try yet", func(*Table, ID) {}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"a try out", func(l *Table, n ID) { l.PermitAttempt(n, 1, 1, Attempt{}) }, [4]Disposition{Shed, Fail, Fail, Fail}},
		{"an earlier one provably never ran", func(l *Table, n ID) {
			l.PermitAttempt(n, 1, 1, Attempt{})
			l.CompleteAttempt(n, 1, 1, true)
		}, [4]Disposition{Reassign, Reassign, Reassign, Reassign}},
		{"an earlier one may have run", func(l *Table, n ID) {
			l.PermitAttempt(n, 1, 1, Attempt{})
			l.CompleteAttempt(n, 1, 1, false)
		}, [4]Disposition{Shed, Fail, Shed, Fail}},
		{"it runs", func(l *Table, n ID) {
			l.PermitAttempt(n, 1, 1, Attempt{})
			l.PermitAnswer(n, 1, 1, true)
		}, [4]Disposition{Continue, Continue, Continue, Continue}},
	} {
		for job, want := range c.want {
			l, n := NewTable(jobs, 1), ID{0, 7}
			l.Assign(n, 1, Request{JobClass: job, Deadline: 5000})
			c.do(l, n)
			all := l.Fence(1000, 1, 300)
			if len(all) != 1 || all[0].Disposition != want {
				t.Errorf("%s, job type %d: %+v, want fate %d", c.name, job, all, want)
			}
			if l.PermitAttempt(n, 1, 1, Attempt{}) || l.PermitAnswer(n, 1, 1, true) {
				t.Errorf("%s: the fenced shard got leave", c.name)
			}
		}
	}
	t.Run("too late to move", func(t *testing.T) {
		l, n := NewTable(jobs, 1), ID{0, 7}
		l.Assign(n, 1, Request{JobClass: 3, Deadline: 1200})
		if all := l.Fence(1000, 1, 300); all[0].Disposition != Shed {
			t.Errorf("%+v", all)
		}
	})
}

func TestHand(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(l *Table, n ID)
		ok   bool
	}{
		{"never tried", func(*Table, ID) {}, true},
		{"a try out", func(l *Table, n ID) { l.PermitAttempt(n, 1, 1, Attempt{Ticket: 5}) }, false},
		{"it provably never ran", func(l *Table, n ID) { l.PermitAttempt(n, 1, 1, Attempt{Ticket: 5}); l.CompleteAttempt(n, 1, 1, true) }, true},
		{"it may have run", func(l *Table, n ID) { l.PermitAttempt(n, 1, 1, Attempt{Ticket: 5}); l.CompleteAttempt(n, 1, 1, false) }, false},
		{"it runs", func(l *Table, n ID) { l.PermitAttempt(n, 1, 1, Attempt{Ticket: 5}); l.PermitAnswer(n, 1, 1, true) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, n := NewTable(jobs, 1), ID{0, 7}
			l.Assign(n, 1, Request{JobClass: 3, Deadline: 5000, Client: 4, Ref: 9})
			c.do(l, n)
			l.NextEpoch()
			epoch, ok := l.HandOver(n, 1, 1, 2)
			if ok != c.ok || ok && epoch != 2 {
				t.Fatalf("epoch %d, %v", epoch, ok)
			}
			if _, again := l.HandOver(n, 1, 1, 2); ok && again {
				t.Error("handed over twice")
			}
			l.SetClient(n, 1, 1, 5, 10)
			if en := l.entries[n]; ok && (en.Client != 4 || en.Shard != 2) || !ok && (en.Client != 5 || en.Shard != 1) {
				t.Errorf("%+v", en)
			}
			if at, held := l.Holder(n, 5, 0); held && at != l.entries[n].Shard || held != (l.entries[n].LastAttempt.Ticket == 5) {
				t.Errorf("held by %d, %v", at, held)
			}
		})
	}
}

func TestOverdue(t *testing.T) {
	l := NewTable(jobs, 1)
	for i, expiry := range []float64{1100, 1100, 5000, 1100} {
		l.Assign(ID{0, uint64(i)}, i/3, Request{JobClass: 3, Deadline: expiry})
	}
	l.PermitAttempt(ID{0, 1}, 0, 1, Attempt{})
	all := l.ShedOverdue(1000, 0, 150)
	if len(all) != 2 || all[0].Disposition != Shed || all[1].Disposition != Fail {
		t.Errorf("%+v", all)
	}
	if l.PermitAnswer(ID{0, 0}, 0, 1, true) || l.PermitAttempt(ID{0, 0}, 0, 1, Attempt{}) {
		t.Error("leave after the answer was given")
	}
	if len(l.ShedOverdue(1000, 0, 150)) != 0 {
		t.Error("answered twice")
	}
}

func TestBarring(t *testing.T) {
	for job, want := range []State{Unassigned, Barred, Barred, Barred} {
		l, n := NewTable(jobs, 1), ID{0, 7}
		l.Assign(n, 1, Request{JobClass: job, Deadline: 5000})
		l.PermitAttempt(n, 1, 1, Attempt{})
		l.Fence(1000, 1, 300)
		if _, s := l.Lookup(2000, n); s != want {
			t.Errorf("job type %d: %d, want %d", job, s, want)
		}
		if _, s := l.Lookup(6000, n); s != Unassigned {
			t.Errorf("job type %d: still %d after its time", job, s)
		}
		if epoch := l.Assign(n, 2, Request{JobClass: job}); epoch != 2 {
			t.Errorf("epoch %d after a fence", epoch)
		}
	}
}

// TestOneOwner draws calls by three shards that believe whatever they were last told: no two tries of one
// allocation may have leave at once, and no answer may leave twice. The table that trusts any epoch must be found.
func TestOneOwner(t *testing.T) {
	found := false
	for _, trusts := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			l, n, job := NewTable(jobs, 1), ID{0, 1}, rapid.IntRange(0, 3).Draw(t, "job")
			l.FaultAnyEpoch = trusts
			type view struct {
				epoch uint32
				out   bool
			}
			var views [3]view
			answers, ran, now := 0, false, 0.0
			defer func() {
				open := 0
				for _, en := range l.entries {
					if !en.Answered {
						open++
					}
				}
				if open != l.Open() {
					t.Fatalf("%d open, counted %d", open, l.Open())
				}
			}()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now += 10
				at := rapid.IntRange(0, 2).Draw(t, "shard")
				v := &views[at]
				switch rapid.IntRange(0, 6).Draw(t, "call") {
				case 0:
					if _, s := l.Lookup(now, n); s == Unassigned {
						*v = view{epoch: l.Assign(n, at, Request{JobClass: job, Deadline: 1e6})}
						answers, ran = 0, false
					}
				case 1:
					if l.PermitAttempt(n, at, v.epoch, Attempt{}) {
						for other := range views {
							if views[other].out {
								found = true
								if !trusts {
									t.Fatal("two tries out")
								}
							}
						}
						if ran && job == 3 {
							found = true
							if !trusts {
								t.Fatal("run-once tried again")
							}
						}
						v.out = true
					}
				case 2, 3:
					if v.out {
						never := rapid.Bool().Draw(t, "never")
						v.out = false
						ran = ran || !never
						l.CompleteAttempt(n, at, v.epoch, never)
					}
				case 4:
					if l.PermitAnswer(n, at, v.epoch, true) {
						if answers++; answers > 1 {
							t.Fatal("answered twice")
						}
					}
				case 6: // handed over
					to := (at + 1) % 3
					l.NextEpoch()
					if epoch, ok := l.HandOver(n, at, v.epoch, to); ok {
						if v.out && answers == 0 {
							found = true
							if !trusts {
								t.Fatal("handed over with a try out")
							}
						}
						views[to] = view{epoch: epoch, out: v.out}
						v.out = false
						if l.PermitAttempt(n, at, v.epoch, Attempt{}) && !trusts || l.PermitAnswer(n, at, v.epoch, true) {
							t.Fatal("leave after it was handed over")
						}
					}
				case 5: // fenced: its tries are over for the owner, who hears of them by the node's epoch check
					for _, o := range l.Fence(now, at, 0) {
						if o.Disposition == Reassign && views[at].out {
							found = true
							if !trusts {
								t.Fatal("moved with a try out")
							}
						}
						now = max(now, o.Entry.Deadline+1)
						ran = false
					}
					for i := range views {
						views[i].out = false
					}
				}
			}
		})
	}
	if !found {
		t.Error("the table that trusts any epoch was not found")
	}
}
