package main

import (
	"fmt"
	"maps"
	"time"
)

const answerWait = 12 * time.Second

// handedOver: a task that must not run twice is handed, where it runs, to a scheduler whose node list is out of reach and lacks the node.
func handedOver(w *world) {
	full := newNode(w.rec, "s-0000000a", "127.0.0.1:0", "north-hall", "std-40", 1, 40, 70)
	late := newNode(w.rec, "s-0000000b", "127.0.0.1:0", "east-hall", "std-40", 2, 40, 70)
	for _, n := range []*node{full, late} {
		n.start()
	}
	a := &scheduler{rec: w.rec, name: "n0", journal: newJournal(w.rec, "n0"), index: 0, of: 2, site: w.site}
	b := &scheduler{rec: w.rec, name: "n1", journal: newJournal(w.rec, "n1"), index: 1, of: 2, site: w.site}
	for _, s := range []*scheduler{a, b} {
		s.journal.add(true, full.entry("ready", 0))
		s.start(w.folder)
	}
	c := newClient(w.rec)
	time.Sleep(time.Second)

	// The node list is out of reach for one scheduler, for 7 s. A node joins meanwhile, which the other one is told.
	if w.trouble {
		b.journal.setAway(true)
	}
	away := time.Now()
	time.Sleep(500 * time.Millisecond)
	joined := late.entry("ready", time.Now().UnixMilli())
	a.journal.add(false, joined)
	b.journal.add(false, joined)
	time.Sleep(500 * time.Millisecond)

	// The first scheduler places the task at the new node. The answer is lost by a reset, so the client is told that it failed.
	full.refuse, late.loseAnswers = 1000, true
	la := c.connect(a)
	q := request{class: "score-run", name: "7f3a9c21e0b4d655", figures: "cores:12;memory:20;service:00000000b4d65521", timeMs: 10000}
	q.id = c.ask(la, a, q)
	failed, ok := c.wait(q.id, 0, answerWait)
	if !ok || failed.kind != typeEnd || w.rec.runsNow(q.name) != 1 {
		cannotRun("the task was not placed at the node that joined: answered %t %+v, runs %d", ok, failed, w.rec.runsNow(q.name))
	}
	full.mu.Lock()
	full.refuse = 0 // what filled it has ended
	full.mu.Unlock()
	late.mu.Lock()
	late.loseAnswers = false
	late.mu.Unlock()

	// The client waits the settle time, sees that the task runs, and hands it to a scheduler, here the other one.
	time.Sleep(3 * time.Second)
	lb := c.connect(b)
	q.at = late.name
	handed := c.ask(lb, b, q)
	over, ok := c.wait(handed, 1, 1500*time.Millisecond)
	if ok && over.kind == typeEnd {
		w.rec.log("client: was told that task %016x, name %s, is over; it runs at %d node(s)", handed, q.name, w.rec.runsNow(q.name))
		// An owner whose task is lost asks again.
		time.Sleep(1500 * time.Millisecond)
		q.at, q.retry = "", true
		again := c.ask(lb, b, q)
		c.wait(again, 0, answerWait)
	}
	if w.trouble {
		time.Sleep(time.Until(away.Add(7 * time.Second)))
		b.journal.setAway(false)
	}
	time.Sleep(500 * time.Millisecond)
	most := w.rec.most[q.name]
	if ok {
		w.verdict(true, "a scheduler released the task %s with cause %d while it ran; the task then ran at %d nodes at once", q.name, over.cause, most)
	}
	w.verdict(most > 1, "the task %s ran at %d node(s) at once", q.name, most)
}

// placeTasks places tasks through a scheduler until each of the nodes runs at least two.
func placeTasks(w *world, c *client, l *link, s *scheduler, nodes ...*node) {
	for i := range 60 {
		enough := true
		for _, n := range nodes {
			enough = enough && len(n.running()) >= 2
		}
		if enough {
			return
		}
		id := c.ask(l, s, request{
			class: w.site.classes[0]["name"].(string), name: fmt.Sprintf("%016x", 0x5100+i), figures: "cores:8;memory:12;service:00000000000000a1", timeMs: 5000,
		})
		if got, ok := c.wait(id, 0, answerWait); !ok || got.kind != typeAnswer {
			w.rec.log("client: task %016x was not placed", id)
		}
	}
	cannotRun("no tasks at all nodes")
}

// checkReleases waits until a time after the end of tasks, and gives the verdict: each has to be released towards the client within 8 s, and
// 50 ms.
func checkReleases(w *world, c *client, ids []uint64, ended time.Time, until time.Duration) {
	ends := map[uint64]time.Time{}
	for _, id := range ids {
		ends[id] = ended
	}
	checkEach(w, c, ids, ends, until)
}

// checkEach does the same with a time for each task, and waits from now on.
func checkEach(w *world, c *client, ids []uint64, ends map[uint64]time.Time, until time.Duration) {
	const limit = 8050 * time.Millisecond
	time.Sleep(until)
	never, late, worst := 0, 0, time.Duration(0)
	for _, id := range ids {
		got, ok := c.wait(id, 1, 0)
		ended := ends[id]
		if !ok {
			never++
			w.rec.log("client: task %016x was never released, %.1f s after its end", id, time.Since(ended).Seconds())
			continue
		}
		took := got.at.Sub(ended)
		worst = max(worst, took)
		if took > limit {
			late++
			w.rec.log("client: task %016x was released %.1f s after its end", id, took.Seconds())
		}
	}
	w.verdict(never+late > 0, "of %d tasks that stood and have ended, %d were released within 8.05 s, %d later (the last after %.1f s) and %d not at all until %.0f s after",
		len(ids), len(ids)-never-late, late, worst.Seconds(), never, until.Seconds())
}

func threeNodes(w *world) []*node {
	var nodes []*node
	for i, zone := range w.site.zones {
		nodes = append(nodes, newNode(w.rec, fmt.Sprintf("s-0000000%c", 'a'+i), "127.0.0.1:0", zone, w.site.kinds[1], i+1, 64, 110))
	}
	for _, n := range nodes {
		n.start()
	}
	return nodes
}

func oneScheduler(w *world, nodes []*node) *scheduler {
	s := &scheduler{rec: w.rec, name: "n0", journal: newJournal(w.rec, "n0"), index: 0, of: 1, site: w.site}
	var entries []map[string]any
	for _, n := range nodes {
		entries = append(entries, n.entry("ready", 0))
	}
	s.journal.add(true, entries...)
	s.start(w.folder)
	return s
}

// finishAll ends all tasks of a node by themselves, as they do without a disruption.
func finishAll(n *node) (ids []uint64) {
	ids = n.running()
	for _, id := range ids {
		n.finish(id)
	}
	return ids
}

// zoneReturns: a zone is lost for 5 s and returns cold.
func zoneReturns(w *world) {
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	c := newClient(w.rec)
	l := c.connect(s)
	placeTasks(w, c, l, s, nodes...)
	time.Sleep(time.Second)
	lost := nodes[1]
	var cut []uint64
	ended := time.Now()
	if w.trouble {
		cut = lost.vanish()
		time.Sleep(5 * time.Second)
		lost.die()
		lost.start()
		returned := time.Now().UnixMilli()
		time.Sleep(time.Second)
		s.journal.add(false, lost.entry("ready", returned))
	} else {
		cut = finishAll(lost)
	}
	checkReleases(w, c, cut, ended, 30*time.Second)
}

// replaced: a node's process ends, and a new node starts at its address.
func replaced(w *world) {
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	c := newClient(w.rec)
	l := c.connect(s)
	placeTasks(w, c, l, s, nodes...)
	time.Sleep(time.Second)
	old := nodes[1]
	var cut []uint64
	ended := time.Now()
	if w.trouble {
		cut = old.die()
		time.Sleep(300 * time.Millisecond)
		fresh := newNode(w.rec, "s-0000000d", old.addr, old.zone, old.kind, old.cell, old.cores, old.mem)
		fresh.start()
		started := time.Now().UnixMilli()
		time.Sleep(time.Second)
		s.journal.add(false, old.entry("gone", 0), fresh.entry("ready", started))
	} else {
		cut = finishAll(old)
	}
	checkReleases(w, c, cut, ended, 30*time.Second)
}

// goneSilent: a node is taken from the list, and its machine vanishes.
func goneSilent(w *world) {
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	c := newClient(w.rec)
	l := c.connect(s)
	placeTasks(w, c, l, s, nodes...)
	old := nodes[1]
	var cut []uint64
	s.journal.add(false, old.entry("draining", 0))
	time.Sleep(3 * time.Second)
	s.journal.add(false, old.entry("gone", 0))
	time.Sleep(500 * time.Millisecond)
	ended := time.Now()
	if w.trouble {
		cut = old.vanish()
	} else {
		cut = old.die()
	}
	checkReleases(w, c, cut, ended, 30*time.Second)
}

// endedWhileDown: a scheduler is killed and starts again. Some of its tasks end in between.
func endedWhileDown(w *world) {
	w.site = chaguanas
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	c := newClient(w.rec)
	l := c.connect(s)
	placeTasks(w, c, l, s, nodes...)
	time.Sleep(time.Second)
	stand := map[uint64]string{}
	for _, n := range nodes {
		for _, id := range n.running() {
			stand[id] = n.name
		}
	}
	var ids []uint64
	if w.trouble {
		s.kill()
		l.close(false)
		time.Sleep(500 * time.Millisecond)
		ids = finishAll(nodes[1])
		time.Sleep(500 * time.Millisecond)
		s.start(w.folder)
		l = c.connect(s)
		for id, at := range stand { // none of them was released towards the client: it hands all of them to the scheduler
			q := c.asked[id]
			q.id, q.at = id, at
			c.ask(l, s, q)
		}
	} else {
		ids = finishAll(nodes[1])
	}
	checkReleases(w, c, ids, time.Now(), 30*time.Second)
}

// stallAndDrain: a scheduler stands still for a moment, again and again. Meanwhile a node begins to drain, and requests come.
func stallAndDrain(w *world) {
	const (
		rounds = 8
		stall  = 1950 * time.Millisecond
		limit  = 550 * time.Millisecond // the grace and 50 ms
	)
	w.site = chaguanas
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	c := newClient(w.rec)
	l := c.connect(s)
	time.Sleep(time.Second)
	broken, worst := 0, time.Duration(0)
	for round := range rounds {
		var ids []uint64
		ask := func(count int) {
			for i := range count {
				ids = append(ids, c.ask(l, s, request{
					class: w.site.classes[0]["name"].(string), name: fmt.Sprintf("%016x", 0x9000+round*100+len(ids)),
					figures: fmt.Sprintf("cores:1;memory:2;service:%016x", 0xb00+round*10+i%3), timeMs: 5000,
				}))
			}
		}
		ask(4)
		time.Sleep(700 * time.Millisecond)
		n := nodes[round%len(nodes)]
		if w.trouble {
			s.stand(true)
		}
		begin := time.Now()
		time.Sleep(300 * time.Millisecond)
		n.setDraining(true)
		s.journal.add(false, n.entry("draining", 0))
		told := time.Now()
		time.Sleep(1400 * time.Millisecond)
		ask(8)
		time.Sleep(time.Until(begin.Add(stall)))
		if w.trouble {
			s.stand(false)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, at := range n.offeredSince(told.Add(limit)) {
			broken++
			worst = max(worst, at.Sub(told))
			w.rec.log("node %s: was offered a task %.0f ms after the scheduler was told that it drains", n.name, float64(at.Sub(told))/1e6)
		}
		n.setDraining(false)
		s.journal.add(false, n.entry("ready", 0))
		for _, id := range ids {
			c.wait(id, 0, answerWait)
		}
		for _, n := range nodes {
			finishAll(n)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	w.verdict(broken > 0, "in %d rounds, %d offers to a draining node later than 550 ms after its drain was told, the last %.0f ms after", rounds, broken, float64(worst)/1e6)
}

// stallAndEnd: a scheduler stands still for a moment while a probe is out. A task ends meanwhile.
func stallAndEnd(w *world) {
	const (
		rounds = 5
		stall  = 1400 * time.Millisecond
	)
	w.site = chaguanas
	nodes := threeNodes(w)
	s := oneScheduler(w, nodes)
	for _, n := range nodes {
		n.testTime = 30 * time.Millisecond
	}
	c := newClient(w.rec)
	l := c.connect(s)
	time.Sleep(time.Second)
	q := func(i int) request {
		return request{
			class: w.site.classes[0]["name"].(string), name: fmt.Sprintf("%016x", 0x9000+i), figures: "cores:4;memory:6;service:0000000000000b00",
			timeMs: 5000,
		}
	}
	count := 0
	ask := func() { c.ask(l, s, q(count)); count++ }
	for range 15 { // a few at once, so that some connections to each node are made
		ask()
	}
	var ended []uint64
	for range rounds {
		time.Sleep(4*time.Second - stall)
		ask() // the reports are old by now: the scheduler probes two nodes before it offers the task
		time.Sleep(12 * time.Millisecond)
		if w.trouble {
			s.stand(true)
		}
		begin := time.Now()
		time.Sleep(400 * time.Millisecond)
		for _, n := range nodes {
			ended = append(ended, n.finishProbed()...)
		}
		time.Sleep(time.Until(begin.Add(stall)))
		if w.trouble {
			s.stand(false)
		}
	}
	if len(ended) == 0 {
		cannotRun("no task has ended while the scheduler stood still")
	}
	ends := map[uint64]time.Time{}
	for _, n := range nodes {
		maps.Copy(ends, n.ended)
	}
	checkEach(w, c, ended, ends, 12*time.Second)
}
