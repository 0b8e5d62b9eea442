package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Node list entries of TestJournalFaults.
var (
	goneA  = entryJSON("a", "a", "gone")
	readyB = entryJSON("b", "b", "ready")
)

// journalFaults are the cases of TestJournalFaults: ways in which the journal service sends that node a is gone and node b is ready.
var journalFaults = []struct {
	name   string
	inject func(r *simRig)
	within float64 // ms after which the scheduler has to have applied both
}{
	{"without faults", func(r *simRig) { r.journal.publish(goneA); r.journal.publish(readyB) }, 100},
	{"repeated events", func(r *simRig) {
		r.journal.publish(readyB)
		r.journal.broadcast(r.journal.events[1] + "\n" + r.journal.events[0] + "\n")
		r.journal.publish(goneA)
	}, 100},
	{"incomplete line, then the connection closes", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA, readyB))
		r.journal.broadcast(r.journal.events[1][:40])
		for _, x := range r.journal.conns {
			x.conn.Close(true, nil)
		}
	}, 300},
	{"malformed line", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA, readyB))
		r.journal.broadcast("{\"pos\":2,\"hosts\":{\"endpo\n")
	}, 300},
	{"an event left out", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA))
		r.journal.publish(readyB)
	}, 300},
	{"silent on an open connection", func(r *simRig) {
		r.journal.silent = true
		r.journal.publish(goneA, readyB)
		r.advance(1000)
		r.journal.silent = false
		r.journal.conns[0].closed = true // broadcast no longer sends on the old connection
	}, 3000},
	{"silent within a line", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA, readyB))
		r.journal.broadcast(r.journal.events[1][:60])
		r.journal.conns[0].closed = true
	}, 3000},
	{"one byte every 8 ms", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA, readyB))
		x, line := r.journal.conns[0], r.journal.events[1]+"\n"
		x.closed = true // no heartbeat is sent within the line
		for i := range line {
			r.clock.At(r.clock.TrueTime()+8*float64(i), func() { x.send(line[i : i+1]) })
		}
	}, 8*400 + 200},
	{"a line that does not end, one byte every 100 ms", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, false, goneA, readyB))
		x := r.journal.conns[0]
		x.closed = true
		for i := range 100 {
			r.clock.At(r.clock.TrueTime()+100*float64(i), func() { x.send("{") })
		}
	}, 5000},
	{"silent at two addresses in turn, then at a third", func(r *simRig) {
		old := r.journal
		old.silent = true
		for i := range 2 {
			r.journal = newFakeJournal(r, fmt.Sprint("journal:", 2+i))
			r.journal.events = append([]string(nil), old.events...)
			r.journal.silent = i == 0
			r.advance(500)
			r.server.mu.Lock()
			r.server.endpoints.setAddress(fmt.Sprint("journal:", 2+i))
			r.server.mu.Unlock()
		}
		r.advance(50)
		r.journal.publish(goneA, readyB)
	}, 100},
	{"address changed and changed back before a connection is made", func(r *simRig) {
		other := newFakeJournal(r, "journal:2")
		other.silent = true
		r.server.mu.Lock()
		for range 5 {
			r.server.endpoints.setAddress("journal:2")
			r.server.endpoints.setAddress("journal:1")
		}
		r.server.mu.Unlock()
		r.advance(50)
		r.journal.publish(goneA, readyB)
	}, 100},
	{"at another address", func(r *simRig) {
		old := r.journal
		r.journal = newFakeJournal(r, "journal:2")
		r.journal.events = append([]string(nil), old.events...)
		old.silent = true
		r.server.mu.Lock()
		r.server.endpoints.setAddress("journal:2")
		r.server.mu.Unlock()
		r.advance(50)
		r.journal.publish(goneA, readyB)
	}, 100},
	{"a snapshot", func(r *simRig) {
		r.journal.events = append(r.journal.events, eventJSON(2, true, readyB))
		r.journal.broadcast(r.journal.events[1] + "\n")
	}, 100},
}

// TestJournalFaults checks that the scheduler follows the node list through faults of the journal service: in the end it knows node b and not
// node a, the watch is live, and it has sent few requests for events.
func TestJournalFaults(t *testing.T) {
	for _, c := range journalFaults {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, "a")
			newFakeNode(r, "b", "b")
			c.inject(r)
			r.advance(c.within)
			x := r.dial()
			x.request(7, "single")
			r.advance(300)
			x.want("served by b", "7 served "+r.nodes["b"].description(7))
			r.advance(2500)
			if r.server.nodes.byName["a"] != nil || r.server.nodes.byName["b"] == nil {
				t.Errorf("%d nodes are known, want node b alone", len(r.server.nodes.byName))
			}
			if live := r.server.endpoints.retrier.IsLive(r.process.Now()); !live || len(r.journal.requests) > 3 {
				t.Errorf("watch is live: %v, want true; requests to the journal service: %q, want at most 3", live, r.journal.requests)
			}
		})
	}
}

// TestReload checks that a changed address of the journal service is applied, and that a configuration that can't be read changes nothing.
func TestReload(t *testing.T) {
	r := startRig(t, "a")
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"name":"n0","listen":"scheduler:1","seed":"1","limits":{"memory_mb":64,"sockets":256},"journal":"journal:2",` +
		`"known":{"pos":0,"entries":[]},"settings":` + settingsText + `}`)
	r.server.reload(configurationSource{File: file})
	if r.server.endpoints.address != "journal:2" {
		t.Errorf("address of the journal service: %s, want journal:2", r.server.endpoints.address)
	}
	write(`{"name":`)
	r.server.reload(configurationSource{File: file})
	r.server.reload(configurationSource{File: file + "x"})
	x := r.dial()
	x.request(7, "batch")
	r.advance(200)
	x.want("after configurations that can't be read", "7 served "+r.nodes["a"].description(7))
	if r.server.endpoints.address != "journal:2" {
		t.Errorf("address of the journal service after configurations that can't be read: %s, want journal:2", r.server.endpoints.address)
	}
}
