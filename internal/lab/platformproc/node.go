package platformproc

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	codec "ravenpond/internal/proto/platform"
)

// Figures of nodes.
const (
	nodeCores, nodeMemory = 32, 64
	startDelay            = 10 * time.Millisecond // from a set-up to its answer
	fillTimeout           = 40 * time.Millisecond // after which a connection to a machine that has vanished counts as not made
	maxFill               = 16                    // connections that fill the queue of a listener
)

// Answer is what a node does with a set-up.
type Answer uint8

// Answers of nodes.
const (
	Serve Answer = iota // the task runs
	Fail                // an error; the task may have run
	Ignore
)

// SetUp is a set-up that a node received.
type SetUp struct {
	Node string
	Zone string
	Task uint64
	At   time.Time
}

// History holds the set-ups that the nodes of a test received, in order.
type History struct {
	mu     sync.Mutex
	setUps []SetUp
}

// SetUps returns the set-ups of a task, in order.
func (h *History) SetUps(task uint64) (found []SetUp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.setUps {
		if s.Task == task {
			found = append(found, s)
		}
	}
	return found
}

// Len returns the number of set-ups so far.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.setUps)
}

func (h *History) add(s SetUp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setUps = append(h.setUps, s)
}

// Node is the process of a node.
type Node struct {
	Name, Zone string
	history    *History
	address    string
	handlers   sync.WaitGroup

	mu       sync.Mutex
	answer   Answer
	listener net.Listener
	conns    []net.Conn
	silent   bool // its machine has vanished
	running  map[uint64]bool
	stopped  []uint64 // tasks that a scheduler has stopped
	hole     blackHole
}

// StartNode starts a node at an address; an empty one stands for an address of its own.
func StartNode(history *History, name, zone, address string) (*Node, error) {
	if address == "" {
		address = newAddress()
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	n := &Node{
		Name: name, Zone: zone, history: history, address: listener.Addr().String(), listener: listener, running: map[uint64]bool{},
		hole: blackHole{descriptor: -1},
	}
	n.handlers.Go(n.accept)
	return n, nil
}

// Address returns the address of the node.
func (n *Node) Address() string { return n.address }

// Entry returns the node's entry in the node list. since is the time of its start, zero if that is long ago.
func (n *Node) Entry(status string, since time.Time) Entry {
	e := Entry{Name: n.Name, Address: n.address, Zone: n.Zone, Type: "std", Status: status, Room: [2]float64{nodeCores, nodeMemory}}
	if !since.IsZero() {
		e.Since = since.UnixMilli()
	}
	return e
}

// SetAnswer sets what the node does with set-ups from now on.
func (n *Node) SetAnswer(answer Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer = answer
}

// IsRunning reports whether a task runs at the node.
func (n *Node) IsRunning(task uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running[task]
}

// RunningTasks returns the tasks that run at the node.
func (n *Node) RunningTasks() (tasks []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for task := range n.running {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// WasStopped reports whether a scheduler has stopped a task at the node.
func (n *Node) WasStopped(task uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.stopped, task)
}

// Die ends the node's process: its connections are reset, its tasks are cut.
func (n *Node) Die() {
	n.mu.Lock()
	conns := n.conns
	n.conns, n.running = nil, map[uint64]bool{}
	_ = n.listener.Close()
	n.hole.close()
	n.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	n.handlers.Wait()
}

// Vanish ends the node together with its machine: its connections stay open and silent, new ones never come up until another node starts at the
// address, after Release.
func (n *Node) Vanish() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.running = true, map[uint64]bool{}
	_ = n.listener.Close()
	return n.hole.open(n.address)
}

// Release frees the address of a node that has vanished. Its connections stay silent.
func (n *Node) Release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hole.close()
}

func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.mu.Unlock()
		n.handlers.Go(func() { n.serve(c) })
	}
}

// serve reads the messages of a connection until it ends.
func (n *Node) serve(c net.Conn) {
	var received []byte
	buffer := make([]byte, codec.MaxMessage)
	for {
		k, err := c.Read(buffer)
		if err != nil {
			_ = c.Close()
			return
		}
		received = append(received, buffer[:k]...)
		for {
			msg, size, err := codec.Next(received)
			if err != nil || size == 0 {
				break
			}
			n.onMessage(c, msg)
			received = received[size:]
		}
	}
}

// onMessage handles a message of a scheduler.
func (n *Node) onMessage(c net.Conn, msg []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.silent {
		return
	}
	task := codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp:
		n.onSetUp(c, task)
	case codec.KindEnd:
		n.stopped = append(n.stopped, task)
		if n.running[task] {
			delete(n.running, task)
			n.send(c, codec.AppendEnd(nil, task, codec.CauseElsewhere))
		}
	case codec.KindHealthCheck:
		n.send(c, codec.AppendHealthCheckResult(nil, task, true))
	}
}

// onSetUp answers a set-up. The caller holds the lock.
func (n *Node) onSetUp(c net.Conn, task uint64) {
	n.history.add(SetUp{Node: n.Name, Zone: n.Zone, Task: task, At: time.Now()})
	switch n.answer {
	case Serve:
		n.handlers.Go(func() {
			time.Sleep(startDelay)
			n.mu.Lock()
			defer n.mu.Unlock()
			if !n.silent && !slices.Contains(n.stopped, task) {
				n.running[task] = true
				n.send(c, codec.AppendAnswer(nil, task, []byte("runs at "+n.Name)))
			}
		})
	case Fail:
		n.send(c, codec.AppendEnd(nil, task, codec.CauseErrored))
	case Ignore:
	}
}

// Finish ends a running task by itself and tells the scheduler on all connections.
func (n *Node) Finish(task uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running[task] {
		return
	}
	delete(n.running, task)
	for _, c := range n.conns {
		n.send(c, codec.AppendEnd(nil, task, codec.CauseNormal))
	}
}

// send sends a message. A connection that has ended is noticed by its reader.
func (n *Node) send(c net.Conn, b []byte) { _, _ = c.Write(b) }

// blackHole holds an address at which connections never come up: a listening socket whose queue is full.
type blackHole struct {
	descriptor int // -1: closed
	fill       []net.Conn
}

func (h *blackHole) open(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	h.descriptor = descriptor
	target := &syscall.SockaddrInet4{Port: resolved.Port}
	copy(target.Addr[:], resolved.IP.To4())
	err = errors.Join(syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(descriptor, target),
		syscall.Listen(descriptor, 0))
	for range maxFill {
		if err != nil {
			break
		}
		if !h.fillOne(address) {
			return nil
		}
	}
	return fmt.Errorf("connections to %s still come up: %w", address, err)
}

// fillOne makes a connection that stays in the queue, and reports whether it came up.
func (h *blackHole) fillOne(address string) bool {
	c, err := net.DialTimeout("tcp4", address, fillTimeout)
	if err == nil {
		h.fill = append(h.fill, c)
	}
	return err == nil
}

func (h *blackHole) close() {
	if h.descriptor >= 0 {
		_ = syscall.Close(h.descriptor)
		h.descriptor = -1
	}
	for _, c := range h.fill {
		_ = c.Close()
	}
	h.fill = nil
}
