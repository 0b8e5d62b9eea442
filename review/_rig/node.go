package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a stand-in for a node: it accepts every offer that it is not told to refuse, answers once the task runs, sends a note a second on each
// running task, and answers tests. Its process can be made to vanish, to die and to start again; a new process knows nothing of the old one's
// tasks.
type node struct {
	rec         *record
	name, addr  string
	zone, kind  string
	cell        int
	cores, mem  float64
	startTime   time.Duration // from an offer to its answer
	testTime    time.Duration // from a test to its answer
	loseAnswers bool          // an answer is lost with its connection: the task runs, the connection is reset
	refuse      int           // number of offers to refuse as full

	mu       sync.Mutex
	ln       net.Listener
	fd       int // the listening socket of a machine that has vanished, else -1
	fill     []net.Conn
	gen      int // number of the process
	vanished bool
	links    map[*link]bool
	tasks    map[uint64]*nodeTask
	unsent   []uint64 // releases for the next connection
	draining bool     // it refuses offers
	offers   []time.Time
	tested   *link                // the connection of the last test
	ended    map[uint64]time.Time // when tasks ended by themselves
}

type nodeTask struct {
	id     uint64
	name   string
	class  string
	link   *link
	runs   bool
	since  time.Time
	offers int
}

func newNode(rec *record, name, addr, zone, kind string, cell int, cores, mem float64) *node {
	n := &node{
		rec: rec, name: name, addr: addr, zone: zone, kind: kind, cell: cell, cores: cores, mem: mem, startTime: 30 * time.Millisecond, fd: -1,
		links: map[*link]bool{}, tasks: map[uint64]*nodeTask{}, ended: map[uint64]time.Time{},
	}
	return n
}

// start starts the node's process.
func (n *node) start() {
	ln, err := net.Listen("tcp4", n.addr)
	if err != nil {
		cannotRun("node %s: %v", n.name, err)
	}
	n.mu.Lock()
	n.ln, n.addr = ln, ln.Addr().String()
	n.gen++
	n.vanished = false
	gen := n.gen
	n.mu.Unlock()
	n.rec.log("node %s: process %d listens at %s", n.name, gen, n.addr)
	go n.accept(ln, gen)
	go n.notes(gen)
}

func (n *node) accept(ln net.Listener, gen int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l := newLink(c)
		n.mu.Lock()
		if n.gen != gen || n.vanished {
			n.mu.Unlock()
			l.close(true)
			continue
		}
		n.links[l] = true
		unsent := n.unsent
		n.unsent = nil
		n.mu.Unlock()
		n.rec.log("node %s: a connection is opened", n.name)
		for _, id := range unsent {
			n.rec.log("node %s: releases task %016x with cause 16 on the connection just opened", n.name, id)
			l.send(endMessage(id, 16))
		}
		go n.serve(l, gen)
	}
}

func (n *node) report() param {
	n.mu.Lock()
	defer n.mu.Unlock()
	return param{parReport, fmt.Sprintf("x0:%g;x1:%g;queue:0;util:0.1", n.cores, n.mem)}
}

func (n *node) serve(l *link, gen int) {
	for {
		m, err := readMessage(l.in)
		n.mu.Lock()
		if n.gen != gen || n.vanished {
			n.mu.Unlock()
			return
		}
		if err != nil { // the connection has closed: the set-ups open on it are given up
			delete(n.links, l)
			for id, t := range n.tasks {
				if t.link == l && !t.runs {
					delete(n.tasks, id)
				}
			}
			n.mu.Unlock()
			l.close(false)
			return
		}
		n.mu.Unlock()
		switch m.kind {
		case typeTest:
			p := []param{{parCause, "\x01"}}
			if m.cause() == 1 {
				p = append(p, n.report())
			}
			n.mu.Lock()
			n.tested = l
			n.mu.Unlock()
			time.AfterFunc(n.testTime, func() { l.send(message{typeTested, m.task, p}) })
		case typeSetUp:
			n.onSetUp(l, gen, m)
		case typeEnd:
			n.onEnd(l, m)
		}
	}
}

func (n *node) onSetUp(l *link, gen int, m message) {
	n.rec.log("node %s: offered task %016x, name %s, class %s", n.name, m.task, m.get(parName), m.get(parClass))
	n.mu.Lock()
	n.offers = append(n.offers, time.Now())
	if n.draining {
		n.mu.Unlock()
		l.send(endMessage(m.task, 34, param{parReason, "not_here"}))
		return
	}
	if n.refuse > 0 {
		n.refuse--
		n.mu.Unlock()
		n.rec.log("node %s: refuses task %016x: no cores free", n.name, m.task)
		l.send(endMessage(m.task, 34, param{parReason, "no_cores"}, param{parReport, "x0:1;x1:1"}))
		return
	}
	t := &nodeTask{id: m.task, name: m.get(parName), class: m.get(parClass), link: l}
	n.tasks[m.task] = t
	n.mu.Unlock()
	time.AfterFunc(n.startTime, func() {
		n.mu.Lock()
		if n.gen != gen || n.vanished || n.tasks[m.task] != t {
			n.mu.Unlock()
			return
		}
		t.runs, t.since = true, time.Now()
		lose := n.loseAnswers
		if lose {
			delete(n.links, l)
		}
		n.mu.Unlock()
		n.rec.started(n.name, t)
		if lose {
			n.rec.log("node %s: its answer for task %016x is lost, the connection is reset", n.name, t.id)
			l.close(true)
			return
		}
		l.send(message{typeAnswer, t.id, []param{{parDescribe, "runs at " + n.name}}})
	})
}

func (n *node) onEnd(l *link, m message) {
	n.mu.Lock()
	t := n.tasks[m.task]
	delete(n.tasks, m.task)
	n.mu.Unlock()
	if t == nil {
		return
	}
	n.rec.log("node %s: told to end task %016x, cause %d, running %t", n.name, m.task, m.cause(), t.runs)
	if t.runs {
		n.rec.stopped(n.name, t)
		l.send(endMessage(m.task, 31))
	}
}

// finish ends a running task by itself. The release goes out on the set-up's connection, else on any open one, and on the next connection.
func (n *node) finish(id uint64) {
	n.mu.Lock()
	t := n.tasks[id]
	if t == nil {
		n.mu.Unlock()
		return
	}
	delete(n.tasks, id)
	l := t.link
	if !n.links[l] {
		l = nil
		for open := range n.links {
			l = open
		}
	}
	n.unsent = append(n.unsent, id)
	n.ended[id] = time.Now()
	n.mu.Unlock()
	n.rec.stopped(n.name, t)
	n.rec.log("node %s: task %016x has ended by itself", n.name, id)
	if l != nil {
		n.rec.log("node %s: releases task %016x with cause 16", n.name, id)
		l.send(endMessage(id, 16))
	}
}

func (n *node) setDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = draining
}

// offeredSince returns when the node was offered tasks after a time.
func (n *node) offeredSince(from time.Time) (at []time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.offers {
		if t.After(from) {
			at = append(at, t)
		}
	}
	return at
}

// finishProbed ends one of the running tasks whose set-up came on the connection of the last test, if there is one and another task goes on.
func (n *node) finishProbed() (ids []uint64) {
	n.mu.Lock()
	for id, t := range n.tasks {
		if t.runs && t.link == n.tested && len(ids) == 0 && len(n.tasks) > 1 {
			ids = append(ids, id)
		}
	}
	n.mu.Unlock()
	for _, id := range ids {
		n.finish(id)
	}
	return ids
}

func (n *node) notes(gen int) {
	for range time.Tick(time.Second) {
		n.mu.Lock()
		if n.gen != gen {
			n.mu.Unlock()
			return
		}
		var any *link
		for l := range n.links {
			any = l
		}
		type out struct {
			l  *link
			id uint64
		}
		var notes []out
		for id, t := range n.tasks {
			l := t.link
			if !n.links[l] {
				l = any
			}
			if t.runs && l != nil && !n.vanished {
				notes = append(notes, out{l, id})
			}
		}
		n.mu.Unlock()
		for _, o := range notes {
			o.l.send(message{typeNote, o.id, []param{{parReason, "cores"}, {parFigure, "0.3"}}})
		}
	}
}

// running returns the ids of the running tasks.
func (n *node) running() (ids []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, t := range n.tasks {
		if t.runs {
			ids = append(ids, id)
		}
	}
	return ids
}

// vanish makes the machine vanish: open connections stay open and silent, new ones never come up. Its tasks are cut.
func (n *node) vanish() (cut []uint64) {
	n.mu.Lock()
	n.vanished = true
	ln, addr := n.ln, n.addr
	n.mu.Unlock()
	_ = ln.Close()
	n.blackHole(addr)
	return n.cutAll("its machine has vanished")
}

// blackHole listens at an address with a queue that is full, so that connections to it never come up.
func (n *node) blackHole(addr string) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		cannotRun("node %s: %v", n.name, err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		cannotRun("node %s: %v", n.name, err)
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	sa := &syscall.SockaddrInet4{Port: a.Port}
	copy(sa.Addr[:], a.IP.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		cannotRun("node %s: %v", n.name, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		cannotRun("node %s: %v", n.name, err)
	}
	n.fd = fd
	for range 8 {
		c, err := net.DialTimeout("tcp4", addr, 40*time.Millisecond)
		if err != nil {
			return
		}
		n.fill = append(n.fill, c)
	}
	cannotRun("node %s: connections still come up", n.name)
}

// cutAll ends all tasks without a word.
func (n *node) cutAll(why string) (cut []uint64) {
	n.mu.Lock()
	tasks := n.tasks
	n.tasks, n.unsent = map[uint64]*nodeTask{}, nil
	n.mu.Unlock()
	for id, t := range tasks {
		if t.runs {
			n.rec.stopped(n.name, t)
			n.rec.log("node %s: %s: task %016x, name %s, is cut", n.name, why, id, t.name)
			cut = append(cut, id)
		}
	}
	return cut
}

// die ends the process: its connections are reset, its tasks are cut.
func (n *node) die() (cut []uint64) {
	n.mu.Lock()
	n.gen++
	links := n.links
	n.links = map[*link]bool{}
	ln, fd, fill := n.ln, n.fd, n.fill
	n.fd, n.fill = -1, nil
	n.mu.Unlock()
	cut = n.cutAll("its process has died")
	if ln != nil {
		_ = ln.Close()
	}
	if fd >= 0 {
		_ = syscall.Close(fd)
	}
	for _, c := range fill {
		_ = c.Close()
	}
	for l := range links {
		l.close(true)
	}
	n.rec.log("node %s: its process is gone, its connections are reset", n.name)
	return cut
}

// entry returns the node's entry in an event of the node list.
func (n *node) entry(status string, since int64) map[string]any {
	return map[string]any{
		"name": n.name, "address": n.addr, "zone": n.zone, "type": n.kind, "group": n.cell, "status": strings.ToLower(status), "weight": 1,
		"since_ms": since, "room": []float64{n.cores, n.mem},
	}
}
