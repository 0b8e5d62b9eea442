package sim

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
)

// talk is a scheduler's side of a connection that writes down the words it hears, without their times.
type talk struct {
	mu    sync.Mutex
	in    line.Splitter
	heard []string
	head  bool
}

func (t *talk) OnClose(error) {}

func (t *talk) OnData(b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.head {
		head, after, err := t.in.Greeting(b, node.GreetingLine)
		if err != nil || head == nil {
			return
		}
		t.head, b = true, after
		t.heard = append(t.heard, "node "+head.Get("Node")+" life "+head.Get("Life"))
	}
	_ = t.in.Feed(b, func(fields [][]byte) error {
		keep := len(fields)
		if string(fields[0]) == "STARTED" { // the last is a time
			keep--
		}
		var words []string
		for _, f := range fields[:keep] {
			words = append(words, string(f))
		}
		t.heard = append(t.heard, strings.Join(words, " "))
		return nil
	})
}

// converse plays one script to a stand-in node: offers that fit and do not, a recall, a claim, a stop, a probe, an offer of
// an older epoch and one that lay on its way for too long.
func converse(w env.Environment, address string) (*talk, error) {
	sw := standin.NewTestbed(w)
	n := &standin.Node{ID: 7, Zone: "z", Cell: "c", Kind: "k", Jobs: 2, Tenants: 1}
	mk := standin.MachineConfig{
		Cores: 8, Memory: 16, CoresLimit: 1, MemoryLimit: 1, InspectTime: 2, QueueLimit: 4, ConcurrentStarts: 2, ProgramMissFactor: 2, ProgramCacheSize: 3,
		WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e9, OverloadWindow: 1, SlowStartLimit: 1 << 20,
		JobProfiles: []standin.JobProfile{{StartWork: 5, MeanRuntime: 400, MeanUse: 0.5}, {StartWork: 150, MeanRuntime: 400, MeanUse: 0.5, Deduplicated: true}},
	}
	if err := sw.StartNode(n, standin.NodeStart{Machine: mk, Group: standin.NewGroup(), Seed: 3, Address: address}); err != nil {
		return nil, err
	}
	t := &talk{}
	w.Dial(n.Address(), 1000, func(c env.Conn, err error) {
		if err != nil {
			t.heard = append(t.heard, err.Error())
			return
		}
		c.Start(t, 1000)
		say := func(b []byte) { c.Send(func(q []byte) []byte { return append(q, b...) }) }
		say(line.AppendGreeting(nil, node.GreetingLine, "Scheduler", "s", "Life", "1", "Node", "7"))
		zero := w.Now()
		offer := func(ticket uint64, epoch uint32, late, timeout float64, job int, token uint64, cores float64) {
			say(node.AppendOffer(nil, node.Offer{Attempt: node.AttemptID{Ticket: ticket}, Epoch: epoch, SentAt: w.Now() - zero - late, Timeout: timeout, Task: node.Task{JobClass: job, Service: 9, Token: token, Cores: cores, Memory: 1}}))
		}
		for i, step := range []func(){
			func() { say(node.AppendPing(nil, w.Now()-zero)) },
			func() { offer(1, 5, 0, 1000, 0, 11, 2) },
			func() { offer(2, 5, 0, 1000, 0, 12, 7) },                         // no room
			func() { offer(3, 5, 0, 1000, 1, 13, 1) },                         // starts slowly
			func() { say(node.AppendRecall(nil, node.AttemptID{Ticket: 3})) }, // in time
			func() { say(node.AppendClaim(nil, node.AttemptID{Ticket: 3})) },
			func() { say(node.AppendClaim(nil, node.AttemptID{Ticket: 4})) },
			func() { offer(4, 5, 0, 1000, 0, 14, 1) },   // barred by now
			func() { offer(5, 4, 0, 1000, 0, 11, 1) },   // of an older epoch
			func() { offer(6, 5, 700, 600, 0, 16, 1) },  // it lay on the way for 700 ms
			func() { offer(7, 5, 300, 5000, 0, 17, 1) }, // this one less than its time
			func() { say(node.AppendStop(nil, node.AttemptID{Ticket: 7})) },
			func() { say(node.AppendProbe(nil, 1)) },
		} {
			w.After(40+60*float64(i), step)
		}
	})
	return t, nil
}

// TestFirstIsLate has the first offer of a connection lie on the way for long: the node knows by the greeting, which was answered at once.
func TestFirstIsLate(t *testing.T) {
	for _, says := range []bool{true, false} {
		c := NewClock(1)
		w := env.Environment(c.NewProcess("n"))
		n := &standin.Node{ID: 7, Zone: "z", Cell: "c", Kind: "k", Jobs: 1, Tenants: 1}
		mk := standin.MachineConfig{
			Cores: 8, Memory: 16, CoresLimit: 1, MemoryLimit: 1, InspectTime: 2, QueueLimit: 4, ConcurrentStarts: 2, OverloadFactor: 1e9, OverloadWindow: 1, SlowStartLimit: 1 << 20,
			JobProfiles: []standin.JobProfile{{StartWork: 5, MeanRuntime: 400, MeanUse: 0.5}},
		}
		if err := standin.NewTestbed(w).StartNode(n, standin.NodeStart{Machine: mk, Group: standin.NewGroup(), Seed: 3, Address: "n:1"}); err != nil {
			t.Fatal(err)
		}
		x := &talk{}
		w.Dial("n:1", 1000, func(conn env.Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			conn.Start(x, 1000)
			say := func(b []byte) { conn.Send(func(q []byte) []byte { return append(q, b...) }) }
			head := []string{"Scheduler", "s", "Life", "1", "Node", "7"}
			if says {
				head = append(head, "Sent", fmt.Sprintf("%.3f", 5000+w.Now()))
			}
			say(line.AppendGreeting(nil, node.GreetingLine, head...))
			sent := 5000 + w.Now() + 30
			w.After(4000, func() {
				say(node.AppendOffer(nil, node.Offer{Attempt: node.AttemptID{Ticket: 1}, Epoch: 5, SentAt: sent, Timeout: 1500, Task: node.Task{Service: 9, Token: 11, Cores: 1, Memory: 1}}))
			})
		})
		for c.step(6000) {
		}
		if all := strings.Join(x.heard, "\n"); strings.Contains(all, "SETTLED 1 0 refused") != says || strings.Contains(all, "STARTED 1 0") == says {
			t.Errorf("greeting says when it was sent: %t\n%s", says, all)
		}
	}
}

// TestAgree plays the same script on sockets and on the virtual network: the node's words are the same.
func TestAgree(t *testing.T) {
	real := env.NewReal()
	defer real.Close(time.Second)
	sockets, err := converse(real, "")
	if err != nil {
		t.Fatal(err)
	}
	c := NewClock(1)
	virtual, err := converse(c.NewProcess("n"), "n:1")
	if err != nil {
		t.Fatal(err)
	}
	for c.step(2000) {
	}
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		sockets.mu.Lock()
		n := len(sockets.heard)
		sockets.mu.Unlock()
		if n >= len(virtual.heard) {
			break
		}
	}
	time.Sleep(100 * time.Millisecond)
	sockets.mu.Lock()
	defer sockets.mu.Unlock()
	a, b := slices.Clone(sockets.heard), virtual.heard
	if fmt.Sprint(a) != fmt.Sprint(b) || len(b) < 12 {
		t.Errorf("on sockets\n%s\nvirtual\n%s", strings.Join(a, "\n"), strings.Join(b, "\n"))
	}
	if all := strings.Join(b, "\n"); !strings.Contains(all, "SETTLED 6 0 refused") || !strings.Contains(all, "STARTED 7 0") ||
		!strings.Contains(all, "SETTLED 5 0 refused") || !strings.Contains(all, "SETTLED 4 0 refused") {
		t.Errorf("late, barred or older ones were not turned away:\n%s", all)
	}
}
