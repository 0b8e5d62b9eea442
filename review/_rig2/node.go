package main

import (
	"cmp"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// setUp is a set-up that a node received.
type setUp struct {
	task uint64
	at   time.Time
	left int // ms, as the scheduler says
}

// node is a node of the platform. Its process may end and start again at the same address.
type node struct {
	name, zone string
	record     *record
	addr       string
	listed     string        // the address in the node list; empty: its own
	delay      time.Duration // from a set-up to its answer

	mu      sync.Mutex
	full    bool                 // it refuses every set-up for lack of cores
	loses   func(m message) bool // the answer to this set-up is lost: the task runs, and the connection is reset under the request
	life    time.Duration        // of a task; 0: until it is stopped
	process int                  // counts the starts
	l       net.Listener
	conns   map[net.Conn]int // the process that accepted it
	running map[uint64]int   // the process in which the task runs
	setUps  []setUp
	came    map[uint64]net.Conn // the connection of a running task's set-up
	again   []uint64            // tasks whose release is sent once more, on the next connection that is opened
	forgot  map[net.Conn]bool   // connections that it has forgotten: what arrives on them is answered with a reset
	fill    []net.Conn
	hole    int
}

func startNode(r *record, name, zone string) (*node, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, record: r, addr: l.Addr().String(), delay: 15 * time.Millisecond, l: l, conns: map[net.Conn]int{},
		running: map[uint64]int{}, came: map[uint64]net.Conn{},
		forgot: map[net.Conn]bool{}, hole: -1}
	go n.accept(l, 0)
	return n, nil
}

func (n *node) entry(status string, since int64) entry {
	return entry{Name: n.name, Address: cmp.Or(n.listed, n.addr), Zone: n.zone, Type: "std", Group: int(n.name[len(n.name)-1]), Status: status, Weight: 1, Since: since, Room: [2]float64{32, 64}}
}

func (n *node) accept(l net.Listener, process int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = process
		for _, task := range n.again {
			n.write(c, encode(kindEnd, task, cause(causeNormal)))
		}
		if len(n.again) > 0 {
			n.record.add("node %s: releases of tasks %v sent on a new connection", n.name, n.again)
		}
		n.again = nil
		n.mu.Unlock()
		go func() {
			_ = readMessages(c, func(m message) { n.on(c, process, m) })
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// on handles a message of a scheduler on a connection to a process of the node.
func (n *node) on(c net.Conn, process int, m message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if process != n.process {
		if n.l != nil { // the machine is back: the kernel knows no such connection and resets it
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return // else the machine is silent
	}
	if n.forgot[c] {
		n.record.add("node %s: kind %d, task %d on a connection that it has forgotten: reset", n.name, m.kind, m.task)
		delete(n.conns, c)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	switch m.kind {
	case kindTest:
		n.write(c, encode(kindTested, m.task, cause(1), param{paramReport, n.report()}))
	case kindEnd:
		if _, ok := n.running[m.task]; ok {
			delete(n.running, m.task)
			n.record.add("node %s: task %d stopped by the scheduler, cause %d", n.name, m.task, m.cause())
			n.write(c, encode(kindEnd, m.task, cause(causeStopped)))
		}
	case kindSetUp:
		n.setUps = append(n.setUps, setUp{m.task, time.Now(), m.timeLeft()})
		n.record.add("node %s: set-up of task %d, time left %d", n.name, m.task, m.timeLeft())
		switch {
		case n.full:
			n.write(c, encode(kindEnd, m.task, cause(causeFull), param{paramReason, "no_cores"}, param{paramReport, "x0:0;x1:0"}))
		case n.loses != nil && n.loses(m):
			n.running[m.task] = process
			n.record.add("node %s: task %d runs; its answer is lost, as the connection is reset under the request", n.name, m.task)
			delete(n.conns, c)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		default:
			time.AfterFunc(n.delay, func() { n.run(c, process, m.task) })
		}
	}
}

func (n *node) report() string {
	if n.full {
		return "x0:0;x1:0"
	}
	return fmt.Sprintf("x0:%d;x1:%d", 32-len(n.running), 64-2*len(n.running))
}

// run starts a task and answers its set-up.
func (n *node) run(c net.Conn, process int, task uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, open := n.conns[c]; !open || process != n.process {
		return
	}
	n.running[task], n.came[task] = process, c
	n.record.add("node %s: task %d runs", n.name, task)
	n.write(c, encode(kindAnswer, task, param{paramDescription, "made by " + n.name}, param{paramReport, n.report()}))
	if n.life > 0 {
		time.AfterFunc(n.life, func() { n.finish(task, process) })
	}
}

// finish ends a task by itself. Its release is sent on the connection of its set-up, or failing that on any open one, and also on the next connection that
// is opened.
func (n *node) finish(task uint64, process int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.running[task]; !ok || p != process || process != n.process {
		return
	}
	delete(n.running, task)
	n.record.add("node %s: task %d has come to its end", n.name, task)
	n.again = append(n.again, task)
	if c := n.openConn(n.came[task]); c != nil {
		n.write(c, encode(kindEnd, task, cause(causeNormal), param{paramReport, n.report()}))
	}
}

// openConn returns a connection if it is open, else any open one, nil if there is none. The caller holds the lock.
func (n *node) openConn(wanted net.Conn) (found net.Conn) {
	for c, process := range n.conns {
		if process == n.process && !n.forgot[c] && (found == nil || c == wanted) {
			found = c
		}
	}
	return found
}

// forget makes the node forget all its connections.
func (n *node) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.add("node %s: forgets its %d idle connections", n.name, len(n.conns))
	for c := range n.conns {
		n.forgot[c] = true
	}
}

// tell sends a note on a running task on an open connection at intervals.
func (n *node) tell(every time.Duration) {
	for range time.Tick(every) {
		n.mu.Lock()
		for task := range n.running {
			if c := n.openConn(n.came[task]); c != nil {
				n.write(c, encode(kindNote, task, param{paramReason, "cores"}, param{paramFigure, "0.5"}))
			}
			break
		}
		n.mu.Unlock()
	}
}

func (n *node) write(c net.Conn, b []byte) { _, _ = c.Write(b) }

// tasks returns the tasks that run.
func (n *node) tasks() (list []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for task := range n.running {
		list = append(list, task)
	}
	return list
}

// vanish cuts the tasks: the machine says nothing, its open connections stay open and silent, and new ones never come up.
func (n *node) vanish() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.add("node %s: the machine vanishes with %d tasks", n.name, len(n.running))
	n.process++
	n.running = map[uint64]int{}
	_ = n.l.Close()
	n.l = nil
	address, err := net.ResolveTCPAddr("tcp4", n.addr)
	if err != nil {
		return err
	}
	to := &syscall.SockaddrInet4{Port: address.Port}
	copy(to.Addr[:], address.IP.To4())
	if n.hole, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return err
	}
	_ = syscall.SetsockoptInt(n.hole, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = syscall.Bind(n.hole, to); err == nil {
		err = syscall.Listen(n.hole, 0)
	}
	if err != nil {
		return err
	}
	for range 16 { // a full queue: further connections never come up
		c, err := net.DialTimeout("tcp4", n.addr, 50*time.Millisecond)
		if err != nil {
			return nil
		}
		n.fill = append(n.fill, c)
	}
	return fmt.Errorf("connections to %s still come up", n.addr)
}

// comeBack starts a new process at the address. Old connections are reset when something arrives on them.
func (n *node) comeBack() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hole >= 0 {
		_ = syscall.Close(n.hole)
		n.hole = -1
	}
	for _, c := range n.fill {
		_ = c.Close()
	}
	n.fill = nil
	var err error
	for range 100 {
		if n.l, err = net.Listen("tcp4", n.addr); err == nil {
			n.record.add("node %s: the machine is back, cold", n.name)
			go n.accept(n.l, n.process)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// die ends the process: its connections are reset, its tasks are cut, and new connections are refused.
func (n *node) die() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.add("node %s: the process dies with %d tasks", n.name, len(n.running))
	n.process++
	n.running = map[uint64]int{}
	_ = n.l.Close()
	n.l = nil
	for c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
