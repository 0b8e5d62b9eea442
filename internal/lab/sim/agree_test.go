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

// transcript is a scheduler's end of a connection to a node. It records the messages that it receives, without their times.
type transcript struct {
	mu       sync.Mutex
	in       line.Splitter
	messages []string
	greeted  bool
}

func (t *transcript) OnClose(error) {}

func (t *transcript) OnData(b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.greeted {
		head, after, err := t.in.Greeting(b, node.GreetingLine)
		if err != nil || head == nil {
			return
		}
		t.greeted, b = true, after
		t.messages = append(t.messages, "node "+head.Get("Node")+" life "+head.Get("Life"))
	}
	_ = t.in.Feed(b, func(fields [][]byte) error {
		keep := len(fields)
		if string(fields[0]) == "STARTED" { // the last field is a time
			keep--
		}
		var words []string
		for _, f := range fields[:keep] {
			words = append(words, string(f))
		}
		t.messages = append(t.messages, strings.Join(words, " "))
		return nil
	})
}

// exchangeMessages sends a node offers that fit and that do not, a recall, claims, a stop, a probe, an offer of an older epoch and one that
// was in transit for too long.
func exchangeMessages(environ env.Environment, address string) (*transcript, error) {
	testbed := standin.NewTestbed(environ)
	n := &standin.Node{ID: 7, Zone: "z", Cell: "c", Kind: "k", Jobs: 2, Tenants: 1}
	config := standin.MachineConfig{
		Cores: 8, Memory: 16, CoresLimit: 1, MemoryLimit: 1, InspectTime: 2, QueueLimit: 4, ConcurrentStarts: 2, ProgramMissFactor: 2, ProgramCacheSize: 3,
		WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e9, OverloadWindow: 1, SlowStartLimit: 1 << 20,
		JobProfiles: []standin.JobProfile{{StartWork: 5, MeanRuntime: 400, MeanUse: 0.5}, {StartWork: 150, MeanRuntime: 400, MeanUse: 0.5, Deduplicated: true}},
	}
	if err := testbed.StartNode(n, standin.NodeStart{Machine: config, Group: standin.NewGroup(), Seed: 3, Address: address}); err != nil {
		return nil, err
	}
	t := &transcript{}
	environ.Dial(n.Address(), 1000, func(c env.Conn, err error) {
		if err != nil {
			t.messages = append(t.messages, err.Error())
			return
		}
		c.Start(t, 1000)
		send := func(b []byte) { c.Send(func(q []byte) []byte { return append(q, b...) }) }
		send(line.AppendGreeting(nil, node.GreetingLine, "Scheduler", "s", "Life", "1", "Node", "7"))
		zero := environ.Now()
		offer := func(ticket uint64, epoch uint32, late, timeout float64, job int, token uint64, cores float64) {
			send(node.AppendOffer(nil, node.Offer{Attempt: node.AttemptID{Ticket: ticket}, Epoch: epoch, SentAt: environ.Now() - zero - late, Timeout: timeout, Task: node.Task{JobClass: job, Service: 9, Token: token, Cores: cores, Memory: 1}}))
		}
		for i, step := range []func(){
			func() { send(node.AppendPing(nil, environ.Now()-zero)) },
			func() { offer(1, 5, 0, 1000, 0, 11, 2) },
			func() { offer(2, 5, 0, 1000, 0, 12, 7) },                          // more cores than are free
			func() { offer(3, 5, 0, 1000, 1, 13, 1) },                          // takes long enough to start that the recall is in time
			func() { send(node.AppendRecall(nil, node.AttemptID{Ticket: 3})) }, // before the task has started
			func() { send(node.AppendClaim(nil, node.AttemptID{Ticket: 3})) },
			func() { send(node.AppendClaim(nil, node.AttemptID{Ticket: 4})) },
			func() { offer(4, 5, 0, 1000, 0, 14, 1) },   // attempt was barred by the claim
			func() { offer(5, 4, 0, 1000, 0, 11, 1) },   // older epoch
			func() { offer(6, 5, 700, 600, 0, 16, 1) },  // in transit for 700 ms, longer than its time-out
			func() { offer(7, 5, 300, 5000, 0, 17, 1) }, // in transit for less than its time-out
			func() { send(node.AppendStop(nil, node.AttemptID{Ticket: 7})) },
			func() { send(node.AppendProbe(nil, 1)) },
		} {
			environ.After(40+60*float64(i), step)
		}
	})
	return t, nil
}

// TestLateFirstOffer sends the first offer of a connection 4 s late. The node can only refuse it if the greeting, which arrived at once, has
// told it the scheduler's time.
func TestLateFirstOffer(t *testing.T) {
	for _, sendsTime := range []bool{true, false} {
		c := NewClock(1)
		process := env.Environment(c.NewProcess("n"))
		n := &standin.Node{ID: 7, Zone: "z", Cell: "c", Kind: "k", Jobs: 1, Tenants: 1}
		config := standin.MachineConfig{
			Cores: 8, Memory: 16, CoresLimit: 1, MemoryLimit: 1, InspectTime: 2, QueueLimit: 4, ConcurrentStarts: 2, OverloadFactor: 1e9, OverloadWindow: 1, SlowStartLimit: 1 << 20,
			JobProfiles: []standin.JobProfile{{StartWork: 5, MeanRuntime: 400, MeanUse: 0.5}},
		}
		if err := standin.NewTestbed(process).StartNode(n, standin.NodeStart{Machine: config, Group: standin.NewGroup(), Seed: 3, Address: "n:1"}); err != nil {
			t.Fatal(err)
		}
		received := &transcript{}
		process.Dial("n:1", 1000, func(conn env.Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			conn.Start(received, 1000)
			send := func(b []byte) { conn.Send(func(q []byte) []byte { return append(q, b...) }) }
			head := []string{"Scheduler", "s", "Life", "1", "Node", "7"}
			if sendsTime {
				head = append(head, "Sent", fmt.Sprintf("%.3f", 5000+process.Now()))
			}
			send(line.AppendGreeting(nil, node.GreetingLine, head...))
			sent := 5000 + process.Now() + 30
			process.After(4000, func() {
				send(node.AppendOffer(nil, node.Offer{Attempt: node.AttemptID{Ticket: 1}, Epoch: 5, SentAt: sent, Timeout: 1500, Task: node.Task{Service: 9, Token: 11, Cores: 1, Memory: 1}}))
			})
		})
		for c.step(6000) {
		}
		if all := strings.Join(received.messages, "\n"); strings.Contains(all, "SETTLED 1 0 refused") != sendsTime || strings.Contains(all, "STARTED 1 0") == sendsTime {
			t.Errorf("greeting with time of sending: %t; want the late offer refused only then, messages:\n%s", sendsTime, all)
		}
	}
}

// TestVirtualNetworkMatchesSockets has the same exchange of messages on sockets and on the virtual network. The node has to send the same
// messages.
func TestVirtualNetworkMatchesSockets(t *testing.T) {
	realEnv := env.NewReal()
	defer realEnv.Close(time.Second)
	sockets, err := exchangeMessages(realEnv, "")
	if err != nil {
		t.Fatal(err)
	}
	c := NewClock(1)
	virtual, err := exchangeMessages(c.NewProcess("n"), "n:1")
	if err != nil {
		t.Fatal(err)
	}
	for c.step(2000) {
	}
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		sockets.mu.Lock()
		n := len(sockets.messages)
		sockets.mu.Unlock()
		if n >= len(virtual.messages) {
			break
		}
	}
	time.Sleep(100 * time.Millisecond)
	sockets.mu.Lock()
	defer sockets.mu.Unlock()
	a, b := slices.Clone(sockets.messages), virtual.messages
	if fmt.Sprint(a) != fmt.Sprint(b) || len(b) < 12 {
		t.Errorf("messages differ or are fewer than 12, on sockets\n%s\non the virtual network\n%s", strings.Join(a, "\n"), strings.Join(b, "\n"))
	}
	if all := strings.Join(b, "\n"); !strings.Contains(all, "SETTLED 6 0 refused") || !strings.Contains(all, "STARTED 7 0") ||
		!strings.Contains(all, "SETTLED 5 0 refused") || !strings.Contains(all, "SETTLED 4 0 refused") {
		t.Errorf("want attempts 4, 5 and 6 (barred, older epoch, late) refused and 7 started, messages:\n%s", all)
	}
}
