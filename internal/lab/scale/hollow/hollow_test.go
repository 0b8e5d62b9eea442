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

// talk runs a hollow process in this one and gives a way to order it about, and one to end it.
func talk(t *testing.T, run func(context.Context, io.Reader, io.Writer) error, plan any) (order func(Order) Reply, end func()) {
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
				t.Fatalf("%s: no answer", o.Do)
			}
			return reply
		}, func() {
			orders.Close()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
}

// TestNodes takes nodes away and brings them back, by places and by zone.
func TestNodes(t *testing.T) {
	order, end := talk(t, RunNodes, NodesPlan{Count: 30, Nodes: 30, Zones: 3, Teams: 1, Seed: 1, Cores: 4, ShortRuntime: 10})
	defer end()
	addresses := order(Order{Do: Addresses}).Addresses
	if len(addresses) != 30 || !strings.HasPrefix(addresses[29], "127.16.0.30:") {
		t.Errorf("addresses %q", addresses)
	}
	for _, o := range []Order{{Do: StopNodes, First: 3, Last: 7}, {Do: ReturnNodes, First: 3, Last: 7}, {Do: HangNodes, First: 3, Last: 7}, {Do: ResumeNodes, First: 3, Last: 7}} {
		if reply := order(o); reply.Fault != "" || reply.Count != 4 || reply.At == 0 {
			t.Errorf("%s: %+v", o.Do, reply)
		}
	}
	if reply := order(Order{Do: HangNodes, Name: ZoneName(2)}); reply.Count != 10 {
		t.Errorf("a zone of %d nodes", reply.Count)
	}
	for _, o := range []Order{{Do: StopNodes, First: 29, Last: 31}, {Do: "dance"}, {Do: AwaitConnections, Last: 1, Count: 1, Within: 20}} {
		if reply := order(o); reply.Fault == "" {
			t.Errorf("%+v was done", o)
		}
	}
	if reply := order(Order{Do: Connections}); reply.Count != 0 || reply.Fault != "" {
		t.Errorf("connections: %+v", reply)
	}
}

// TestSchedulers has hollow schedulers meet, close a zone and open it, miss one that is gone, and meet again after a restart.
func TestSchedulers(t *testing.T) {
	order, end := talk(t, RunSchedulers, SchedulersPlan{Site: "s", Key: "a key of some length", Count: 5, Places: 5, Zones: 4, Regions: 2, Seed: 3, NodesPerZone: 10})
	defer end()
	meet := func(others int) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); order(Order{Do: Known}).Count != others; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d others are alive, not %d", order(Order{Do: Known}).Count, others)
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
		t.Fatalf("seeds %q", got)
	}
	meet(4)
	expect(Order{Do: LoseZone, Name: ZoneName(3)})
	expect(Order{Do: AwaitZone, Name: ZoneName(3), State: "closed"})
	expect(Order{Do: FindZone, Name: ZoneName(3)})
	expect(Order{Do: AwaitZone, Name: ZoneName(3), State: "open"})
	expect(Order{Do: StopMember})
	expect(Order{Do: AwaitMember, Name: SchedulerName(4), State: "dead"})
	meet(3)
	expect(Order{Do: Restart})
	meet(4)
}

// hearer gathers what the list says.
type hearer struct{ came chan string }

func (h *hearer) OnData(b []byte) { h.came <- string(b) }
func (h *hearer) OnClose(error)   { close(h.came) }

// TestList tells a watcher all, each change, and who comes back what has changed since.
func TestList(t *testing.T) {
	w := env.NewReal()
	defer w.Close(time.Second)
	entries := []Entry{{ID: 1, Address: "127.0.0.1:1", Zone: "z00", Availability: Ready}, {ID: 2, Address: "127.0.0.1:2", Zone: "z01", Availability: Gone}}
	l, err := StartList(w, entries)
	if err != nil {
		t.Fatal(err)
	}
	watch := func(since uint64) *hearer {
		h := &hearer{make(chan string, 100)}
		w.Dial(l.Address(), 1000, func(conn env.Conn, err error) {
			if err != nil {
				t.Error(err)
				close(h.came)
				return
			}
			conn.Start(h, 1000)
			conn.Send(func(b []byte) []byte {
				return list.AppendWatch(line.AppendGreeting(b, list.GreetingLine, "Scheduler", "s0"), since)
			})
		})
		return h
	}
	// until gives the lines up to so many ends.
	until := func(h *hearer, ends int) (lines []string) {
		text := ""
		for strings.Count(text, "END\n") < ends {
			select {
			case part := <-h.came:
				text += part
			case <-time.After(10 * time.Second):
				t.Fatalf("only %q came", text)
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
		t.Errorf("the whole list is %q", got)
	}
	l.Change(1, 2, func(e *Entry) { e.Availability = Ready })
	if got := until(first, 1); !reflect.DeepEqual(got, []string{"LIST changes 2", "NODE 2 127.0.0.1:2"}) {
		t.Errorf("the change is %q", got)
	}
	if got := until(watch(1), 1); !reflect.DeepEqual(got, []string{"LIST changes 2", "NODE 2 127.0.0.1:2"}) {
		t.Errorf("who comes back is told %q", got)
	}
}

// TestDisk keeps what is saved, drops what a snapshot holds and overwrites what was saved later.
func TestDisk(t *testing.T) {
	d := &memoryDisk{}
	entry := func(text string) []byte { return []byte(text) }
	save := func(from uint64, snapshot []byte, held uint64, entries ...[]byte) {
		if err := d.Save([]byte("hard"), from, entries, snapshot, held); err != nil {
			t.Fatal(err)
		}
	}
	save(1, nil, 0, entry("a"), entry("b"), entry("c"))
	save(3, nil, 0, entry("d"), entry("e"))
	save(0, []byte("shot"), 2)
	saved, err := d.Load()
	if want := [][]byte{entry("d"), entry("e")}; err != nil || !reflect.DeepEqual(saved.Entries, want) || !bytes.Equal(saved.Snapshot, []byte("shot")) {
		t.Errorf("saved %q, %v, want %q", saved.Entries, err, want)
	}
	save(4, nil, 2, entry("f"))
	if saved, _ = d.Load(); !reflect.DeepEqual(saved.Entries, [][]byte{entry("d"), entry("f")}) {
		t.Errorf("saved %q", saved.Entries)
	}
}

// TestPlaces deals racks of nodes out to zones, and leaves none without.
func TestPlaces(t *testing.T) {
	for _, nodes := range []int{40, 500, 14_000} {
		zones := map[int]int{}
		for place := range nodes {
			zones[NodeZone(place, nodes, 14)]++
		}
		if len(zones) != 14 {
			t.Errorf("%d nodes in %d zones", nodes, len(zones))
		}
	}
	if zone := NodeZone(39, 14_000, 14); zone != 0 || NodeZone(40, 14_000, 14) != 1 {
		t.Error("a rack is of 40 nodes")
	}
	if a := NodeAddress(40_000); a != "127.17.0.1:0" {
		t.Errorf("address %s", a)
	}
}
