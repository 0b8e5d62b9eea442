package platform

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/internal/settings"
	"ravenpond/logic"
)

// TestCustomers plays a small day of each customer in deploy/sites, by settings as the bench hands them over: names, deadlines, tenants
// and zones are theirs. Nodes drain, go, come cold and crash, the journal service is silent for a while, clients leave, and the scheduler
// is told to end. Each client that stays hears once, in time; nothing has effect twice; drains are kept.
func TestCustomers(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*/settings.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d customers, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			customerDay(t, string(text))
		})
	}
}

func customerDay(t *testing.T, text string) {
	known, err := settings.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	cold := map[string]float64{}
	entry := func(name, address, status string) string {
		i := int(name[1] - '0')
		return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,"since_ms":%.0f,"room":[24,48]}`, name, address,
			known.Zones[i%len(known.Zones)], known.Kinds[i%len(known.Kinds)], i, status, cold[name])
	}
	r := startRigWith(t, text, entry, "s0", "s1", "s2", "s3", "s4", "s5")
	type request struct {
		x           *testClient
		job         int
		until       float64
		left, heard bool
		starts      int
		barred      bool // one may have run: no other may follow
	}
	all := map[uint64]*request{}
	began := r.clock.TrueTime()
	drains := map[string]float64{}
	serve := func(n *fakeNode) {
		n.onSetUp = func(e *testConn, task uint64) {
			a := all[task]
			a.starts++
			if at, ok := drains[n.name]; ok && r.clock.TrueTime() > at+500+50 {
				t.Errorf("%s was sent %d %g ms after it was told to drain", n.name, task, r.clock.TrueTime()-at)
			}
			if known.Cluster.JobClasses[a.job].Semantics == logic.AtMostOnce && a.barred {
				t.Errorf("%d, which may have run, is tried again", task)
			}
			if rng.IntN(8) == 0 {
				e.send(codec.AppendEnd(nil, task, codec.CauseFull))
				return
			}
			a.barred = true
			n.process.After(20+40*rng.Float64(), func() {
				n.answer(e, task)
				n.process.After(1500, func() {
					if n.running[task] {
						delete(n.running, task)
						e.send(codec.AppendEnd(nil, task, codec.CauseNormal))
					}
				})
			})
		}
	}
	for _, n := range r.nodes {
		serve(n)
	}
	var task uint64
	x := r.dial()
	ask := func() {
		task++
		job := rng.IntN(len(known.JobClasses))
		more := []any{codec.ParamTimeLeft, fmt.Sprint(int(known.Deadlines[job]))}
		if len(known.Tenants) > 0 {
			more = append(more, codec.ParamTenant, known.Tenants[rng.IntN(len(known.Tenants))])
		}
		b := setUp(task, known.JobClasses[job], more...)
		if len(known.Tenants) == 0 { // a customer without tenants names none
			b = message(codec.KindSetUp, task, codec.ParamJobClass, known.JobClasses[job], codec.ParamTimeLeft, fmt.Sprint(int(known.Deadlines[job])), codec.ParamName,
				fmt.Sprintf("%016x", task), codec.ParamKey, strings.Repeat("5c", 16), codec.ParamDemand, demandText, codec.ParamDescription, "owner's")
		}
		a := &request{x: x, job: job, until: r.clock.TrueTime() + known.Deadlines[job]}
		all[task] = a
		x.send(b)
		if rng.IntN(15) == 0 { // it leaves with all that is open
			y := x
			r.clock.At(r.clock.TrueTime()+60*rng.Float64(), func() {
				for _, o := range all {
					o.left = o.left || o.x == y && !o.heard
				}
				y.conn.Close(true, nil)
			})
			x = r.dial()
		}
	}
	tell := func(name, status string) { r.journal.publish(entry(name, name, status)) }
	at := func(ms float64, f func()) { r.clock.At(began+ms, f) }
	at(4000, func() { tell("s0", "draining"); drains["s0"] = r.clock.TrueTime() })
	at(6000, func() { tell("s0", "gone") })
	at(5000, func() {
		cold["s6"] = r.process.Now() + unixBase
		serve(newFakeNode(r, "s6", "s6"))
		tell("s6", "ready")
	})
	at(8000, func() { r.nodes["s1"].process.Kill(false); tell("s1", "gone") })
	at(9000, func() { r.journal.silent = true })
	at(12000, func() { r.journal.silent = false })
	hears := func() { // what the clients got
		for _, a := range all {
			for i, got := range a.x.received {
				var id uint64
				var word string
				fmt.Sscanf(got, "%d %s", &id, &word)
				o := all[id]
				if o == nil || o.x != a.x || o.heard {
					continue
				}
				if o.heard = true; a.x.receivedAt[i] > o.until+50 {
					t.Errorf("%d heard %g ms late", id, a.x.receivedAt[i]-o.until)
				}
			}
		}
	}
	for r.clock.TrueTime() < began+15000 {
		ask()
		r.pass(40)
	}
	told := r.clock.TrueTime()
	r.server.Stop()
	for range 10 { // requests come for a while yet
		ask()
		r.pass(50)
	}
	longest := 0.0
	for _, e := range known.Deadlines {
		longest = max(longest, e)
	}
	for ended := false; !ended; r.pass(10) {
		select {
		case <-r.server.Done():
			ended = true
		default:
			if r.clock.TrueTime() > told+min(longest, 3000)+700 {
				t.Fatal("it would have been killed")
			}
		}
	}
	r.pass(100)
	hears()
	served, count := 0, 0
	for id, a := range all {
		words := 0
		for _, got := range a.x.received {
			var g uint64
			var word string
			fmt.Sscanf(got, "%d %s", &g, &word)
			if g != id {
				continue
			}
			if words++; words == 1 {
				count++
				if word == "served" {
					served++
				}
			}
			if words > 2 || words == 2 && word != "end" && word != "move" {
				t.Errorf("%d heard %q", id, a.x.received)
			}
		}
		if words == 0 && !a.left {
			t.Errorf("%d (%s) of a client that stayed was never answered", id, known.JobClasses[a.job])
		}
	}
	if float64(served) < 0.85*float64(count) || count < 200 {
		t.Errorf("%d of %d served", served, count)
	}
}
