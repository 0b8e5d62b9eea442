package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// TestJournal has the journal service do what it does on bad days. In the end node b is known, once, and a is gone.
func TestJournal(t *testing.T) {
	gone, come := entryOf("a", "a", "gone"), entryOf("b", "b", "ready")
	for _, c := range []struct {
		name string
		do   func(r *rig)
		in   float64 // ms until the news must be there
	}{
		{"as it should", func(r *rig) { r.journal.happens(gone); r.journal.happens(come) }, 100},
		{"twice", func(r *rig) {
			r.journal.happens(come)
			r.journal.tell(r.journal.events[1] + "\n" + r.journal.events[0] + "\n")
			r.journal.happens(gone)
		}, 100},
		{"torn, and breaks off", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone, come))
			r.journal.tell(r.journal.events[1][:40])
			for _, x := range r.journal.conns {
				x.conn.Close(true, nil)
			}
		}, 300},
		{"noise", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone, come))
			r.journal.tell("{\"pos\":2,\"hosts\":{\"endpo\n")
		}, 300},
		{"one left out", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone))
			r.journal.happens(come)
		}, 300},
		{"silent but open", func(r *rig) {
			r.journal.mute = true
			r.journal.happens(gone, come)
			r.pass(1000)
			r.journal.mute = false
			r.journal.conns[0].over = true // nothing more comes on the old connection
		}, 3000},
		{"silent in the midst of a line", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone, come))
			r.journal.tell(r.journal.events[1][:60])
			r.journal.conns[0].over = true
		}, 3000},
		{"in a trickle", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone, come))
			x, line := r.journal.conns[0], r.journal.events[1]+"\n"
			x.over = true // no count comes between
			for i := range line {
				r.c.At(r.c.TrueTime()+8*float64(i), func() { x.say(line[i : i+1]) })
			}
		}, 8*400 + 200},
		{"in a trickle without end", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, false, gone, come))
			x := r.journal.conns[0]
			x.over = true
			for i := range 100 {
				r.c.At(r.c.TrueTime()+100*float64(i), func() { x.say("{") })
			}
		}, 5000},
		{"silent, at another address, where it is silent too, and at a third", func(r *rig) {
			old := r.journal
			old.mute = true
			for i := range 2 {
				r.journal = newJournal(r, fmt.Sprint("journal:", 2+i))
				r.journal.events = append([]string(nil), old.events...)
				r.journal.mute = i == 0
				r.pass(500)
				r.s.mu.Lock()
				r.s.move(fmt.Sprint("journal:", 2+i))
				r.s.mu.Unlock()
			}
			r.pass(50)
			r.journal.happens(gone, come)
		}, 100},
		{"moved and moved back before a connection is made", func(r *rig) {
			other := newJournal(r, "journal:2")
			other.mute = true
			r.s.mu.Lock()
			for range 5 {
				r.s.move("journal:2")
				r.s.move("journal:1")
			}
			r.s.mu.Unlock()
			r.pass(50)
			r.journal.happens(gone, come)
		}, 100},
		{"at another address", func(r *rig) {
			old := r.journal
			r.journal = newJournal(r, "journal:2")
			r.journal.events = append([]string(nil), old.events...)
			old.mute = true
			r.s.mu.Lock()
			r.s.move("journal:2")
			r.s.mu.Unlock()
			r.pass(50)
			r.journal.happens(gone, come)
		}, 100},
		{"a whole list", func(r *rig) {
			r.journal.events = append(r.journal.events, event(2, true, come))
			r.journal.tell(r.journal.events[1] + "\n")
		}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := begin(t, "a")
			newNode(r, "b", "b")
			c.do(r)
			r.pass(c.in)
			x := r.dial()
			x.ask(7, "single")
			r.pass(300)
			x.want("served by b", "7 served "+r.nodes["b"].describes(7))
			r.pass(2500)
			if r.s.names["a"] != nil || r.s.names["b"] == nil {
				t.Errorf("nodes known: %d", len(r.s.names))
			}
			if live := r.s.feed.watch.IsLive(r.sched.Now()); !live || len(r.journal.tails) > 3 {
				t.Errorf("live %v after %q", live, r.journal.tails)
			}
		})
	}
}

// TestReread follows a changed configuration, and stays with the old values where it can't be read.
func TestReread(t *testing.T) {
	r := begin(t, "a")
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"name":"n0","listen":"scheduler:1","seed":"1","limits":{"memory_mb":64,"sockets":256},"journal":"journal:2",` +
		`"known":{"pos":0,"entries":[]},"settings":` + settingsText + `}`)
	r.s.reread(file, "", "")
	if r.s.feed.address != "journal:2" {
		t.Errorf("the journal is at %s", r.s.feed.address)
	}
	write(`{"name":`)
	r.s.reread(file, "", "")
	r.s.reread(file+"x", "", "")
	x := r.dial()
	x.ask(7, "batch")
	r.pass(200)
	x.want("served all the same", "7 served "+r.nodes["a"].describes(7))
	if r.s.feed.address != "journal:2" {
		t.Errorf("after a bad file the journal is at %s", r.s.feed.address)
	}
}
