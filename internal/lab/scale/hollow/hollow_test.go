package hollow

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startProcess runs a hollow process within the test process. It returns a function that sends it an order and one that ends it.
func startProcess(t *testing.T, run func(context.Context, io.Reader, io.Writer) error, plan any) (order func(Order) Reply, end func()) {
	t.Helper()
	in, orders := io.Pipe()
	replies, out := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- run(context.Background(), in, out) }()
	encoder, answers := json.NewEncoder(orders), bufio.NewScanner(replies)
	if err := encoder.Encode(plan); err != nil {
		t.Fatal(err)
	}
	return func(o Order) (reply Reply) {
			t.Helper()
			if err := encoder.Encode(o); err != nil {
				t.Fatal(err)
			}
			if !answers.Scan() || json.Unmarshal(answers.Bytes(), &reply) != nil {
				t.Fatalf("%s: got no reply", o.Do)
			}
			return reply
		}, func() {
			orders.Close()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
}

// TestNodes checks that nodes are crashed, restarted, hung and resumed by index and by zone, and that invalid orders get an error.
func TestNodes(t *testing.T) {
	order, end := startProcess(t, RunNodes, NodesPlan{Count: 30, Nodes: 30, Zones: 3, Teams: 1, Seed: 1, Cores: 4, ShortRuntime: 10})
	defer end()
	addresses := order(Order{Do: Addresses}).Addresses
	if len(addresses) != 30 || !strings.HasPrefix(addresses[29], "127.16.0.30:") {
		t.Errorf("got addresses %q, want 30 of which the last is 127.16.0.30", addresses)
	}
	for _, o := range []Order{{Do: StopNodes, First: 3, Last: 7}, {Do: ReturnNodes, First: 3, Last: 7}, {Do: HangNodes, First: 3, Last: 7}, {Do: ResumeNodes, First: 3, Last: 7}} {
		if reply := order(o); reply.Fault != "" || reply.Count != 4 || reply.At == 0 {
			t.Errorf("%s: got %+v, want 4 nodes, a time and no error", o.Do, reply)
		}
	}
	if reply := order(Order{Do: HangNodes, Name: ZoneName(2)}); reply.Count != 10 {
		t.Errorf("got %d nodes in a zone, want 10", reply.Count)
	}
	for _, o := range []Order{{Do: StopNodes, First: 29, Last: 31}, {Do: "unsupported"}, {Do: AwaitConnections, Last: 1, Count: 1, Within: 20}} {
		if reply := order(o); reply.Fault == "" {
			t.Errorf("%+v: got no error", o)
		}
	}
	if reply := order(Order{Do: Connections}); reply.Count != 0 || reply.Fault != "" {
		t.Errorf("got %+v, want 0 connections and no error", reply)
	}
}

// TestSchedulers checks that hollow schedulers find each other, that a zone is closed when they report it as lost and opened again, that a
// stopped scheduler is held as dead, and that all find each other again after a restart.
func TestSchedulers(t *testing.T) {
	order, end := startProcess(t, RunSchedulers, SchedulersPlan{Site: "s", Key: "a key of some length", Count: 5, Places: 5, Zones: 4, Regions: 2, Seed: 3, NodesPerZone: 10})
	defer end()
	awaitAlive := func(others int) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); order(Order{Do: CountAlive}).Count != others; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("got %d other members alive, want %d", order(Order{Do: CountAlive}).Count, others)
			}
		}
	}
	expect := func(o Order) {
		t.Helper()
		o.Within = 30_000
		if reply := order(o); reply.Fault != "" {
			t.Fatalf("%+v: %s", o, reply.Fault)
		}
	}
	if got := order(Order{Do: Addresses}).Addresses; len(got) != Seeds {
		t.Fatalf("got seeds %q, want 3 addresses", got)
	}
	awaitAlive(4)
	expect(Order{Do: LoseZone, Name: ZoneName(3)})
	expect(Order{Do: AwaitZone, Name: ZoneName(3), State: "closed"})
	expect(Order{Do: FindZone, Name: ZoneName(3)})
	expect(Order{Do: AwaitZone, Name: ZoneName(3), State: "open"})
	expect(Order{Do: StopMember})
	expect(Order{Do: AwaitMember, Name: SchedulerName(4), State: "dead"})
	awaitAlive(3)
	expect(Order{Do: Restart})
	awaitAlive(4)
}

// listener passes on what the list sends.
type listener struct{ received chan string }

func (h *listener) OnData(b []byte) { h.received <- string(b) }
func (h *listener) OnClose(error)   { close(h.received) }

// TestList checks that a new subscriber gets all entries and then each change, and that one that reconnects gets what has changed since.
func TestList(t *testing.T) {
	w := env.NewReal()
	defer w.Close(time.Second)
	entries := []Entry{{ID: 1, Address: "127.0.0.1:1", Zone: "z00", Availability: Ready}, {ID: 2, Address: "127.0.0.1:2", Zone: "z01", Availability: Gone}}
	l, err := StartList(w, entries)
	if err != nil {
		t.Fatal(err)
	}
	watch := func(since uint64) *listener {
		h := &listener{make(chan string, 100)}
		w.Dial(l.Address(), 1000, func(conn env.Conn, err error) {
			if err != nil {
				t.Error(err)
				close(h.received)
				return
			}
			conn.Start(h, 1000)
			conn.Send(func(b []byte) []byte {
				return list.AppendWatch(line.AppendGreeting(b, list.GreetingLine, "Scheduler", "s0"), since)
			})
		})
		return h
	}
	// until reads up to the given number of END lines and returns the start of the LIST and NODE lines.
	until := func(h *listener, ends int) (lines []string) {
		text := ""
		for strings.Count(text, "END\n") < ends {
			select {
			case part := <-h.received:
				text += part
			case <-time.After(10 * time.Second):
				t.Fatalf("got only %q within 10 s, want further END lines", text)
			}
		}
		for _, line := range strings.Split(text, "\n") {
			if fields := strings.Fields(line); len(fields) > 1 && (fields[0] == "LIST" || fields[0] == "NODE") {
				lines = append(lines, strings.Join(fields[:min(3, len(fields))], " "))
			}
		}
		return lines
	}
	first := watch(0)
	if got := until(first, 1); !reflect.DeepEqual(got, []string{"LIST whole 1", "NODE 1 127.0.0.1:1"}) {
		t.Errorf("got whole list %q, want node 1 in version 1", got)
	}
	l.Change(1, 2, func(e *Entry) { e.Availability = Ready })
	if got := until(first, 1); !reflect.DeepEqual(got, []string{"LIST changes 2", "NODE 2 127.0.0.1:2"}) {
		t.Errorf("got change %q, want node 2 in version 2", got)
	}
	if got := until(watch(1), 1); !reflect.DeepEqual(got, []string{"LIST changes 2", "NODE 2 127.0.0.1:2"}) {
		t.Errorf("got %q after reconnecting from version 1, want node 2 in version 2", got)
	}
}

// TestDisk checks that a memoryDisk keeps what is saved, drops the entries that a snapshot covers and overwrites entries with a later save.
func TestDisk(t *testing.T) {
	d := &memoryDisk{}
	entry := func(text string) []byte { return []byte(text) }
	save := func(from uint64, snapshot []byte, snapshotIndex uint64, entries ...[]byte) {
		if err := d.Save([]byte("hard"), from, entries, snapshot, snapshotIndex); err != nil {
			t.Fatal(err)
		}
	}
	save(1, nil, 0, entry("a"), entry("b"), entry("c"))
	save(3, nil, 0, entry("d"), entry("e"))
	save(0, []byte("shot"), 2)
	saved, err := d.Load()
	if want := [][]byte{entry("d"), entry("e")}; err != nil || !reflect.DeepEqual(saved.Entries, want) || !bytes.Equal(saved.Snapshot, []byte("shot")) {
		t.Errorf("got saved entries %q, %v, want %q and the snapshot", saved.Entries, err, want)
	}
	save(4, nil, 2, entry("f"))
	if saved, _ = d.Load(); !reflect.DeepEqual(saved.Entries, [][]byte{entry("d"), entry("f")}) {
		t.Errorf("got saved entries %q, want d and f", saved.Entries)
	}
}

// TestNodeZones checks that racks are assigned to zones so that no zone is without nodes, and the layout of node addresses.
func TestNodeZones(t *testing.T) {
	for _, nodes := range []int{40, 500, 14_000} {
		zones := map[int]int{}
		for place := range nodes {
			zones[NodeZone(place, nodes, 14)]++
		}
		if len(zones) != 14 {
			t.Errorf("got %d nodes in %d zones, want 14 zones", nodes, len(zones))
		}
	}
	if zone := NodeZone(39, 14_000, 14); zone != 0 || NodeZone(40, 14_000, 14) != 1 {
		t.Error("got node 39 outside zone 0 or node 40 outside zone 1, want racks of 40 nodes")
	}
	if a := NodeAddress(40_000); a != "127.17.0.1:0" {
		t.Errorf("got address %s, want 127.17.0.1:0", a)
	}
}
