package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/standin"
)

// NodesPlan selects the hollow nodes of a process: Count nodes, the first at index First among all nodes of the run.
type NodesPlan struct {
	First, Count int
	Nodes        int // number of nodes of the run
	Zones        int // number of zones of the run; racks are assigned to zones in turn
	Teams        int // number of tenants
	Seed         uint64
	Cores        float64 // of a node; its memory in GiB is twice this number
	ShortRuntime float64 `json:"ShortLife"` // mean run time of tasks of the first job type, in ms; tasks of the second run until the end
}

// Parameters of the model of a node.
const (
	nodesPerTestbed = 250                   // number of nodes that share a testbed and its lock
	inspectMs       = 0.02                  // ms to inspect one offer
	startMs         = 0.5                   // ms to start a task whose program is cached
	foreverMs       = 1e12                  // run time of tasks that last until the end of the run, and an overload factor that is never reached
	waitingTasks    = 4000                  // limit of the queue of a node
	startsAtOnce    = 64                    // concurrent starts
	keptPrograms    = 4                     // programs that are cached after their last task
	restartAttempts = 50                    // attempts to listen at a node's address again
	restartPause    = 20 * time.Millisecond // between these attempts
)

// Layout of the addresses of nodes, 127.NET.SUBNET.HOST. Each node has a loopback address of its own, so that thousands of listeners and
// connections do not share the ports of one address.
const (
	firstNodeNet   = 16
	nodesPerSubnet = 200
	subnetsPerNet  = 200
)

// NodeAddress returns the listen address of the node at an index among all nodes of the run; the operating system selects the port.
func NodeAddress(index int) string {
	subnet := index / nodesPerSubnet
	return fmt.Sprintf("127.%d.%d.%d:0", firstNodeNet+subnet/subnetsPerNet, subnet%subnetsPerNet, index%nodesPerSubnet+1)
}

// ZoneName returns the name of a zone by its number.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// maxRackSize is the number of nodes in a rack, unless a zone would have no nodes then.
const maxRackSize = 40

// RackSize returns the number of nodes in a rack.
func RackSize(nodes, zones int) int { return min(maxRackSize, max(1, nodes/zones)) }

// NodeZone returns the zone number of the node at an index among all nodes of the run.
func NodeZone(index, nodes, zones int) int { return index / RackSize(nodes, zones) % zones }

// NodeID returns the id of the node at an index among all nodes of the run.
func NodeID(index int) uint32 { return uint32(index + 1) }

// nodeHost runs the hollow nodes of a process. Each group of nodesPerTestbed nodes shares a testbed.
type nodeHost struct {
	NodesPlan
	nodes    []*standin.Node
	testbeds []*standin.Testbed // testbed of each node, by its index
	random   *rand.Rand
}

// RunNodes runs the hollow nodes of a process until its input ends.
func RunNodes(ctx context.Context, in io.Reader, out io.Writer) error {
	orders := newInput(in)
	h := &nodeHost{}
	if err := orders.readPlan(&h.NodesPlan); err != nil {
		return err
	}
	h.random = rand.New(rand.NewPCG(h.Seed, 0x5ca1e))
	real := env.NewReal()
	defer real.Close(time.Second)
	if err := h.start(real); err != nil {
		return err
	}
	return orders.serve(ctx, out, h.handle)
}

func (h *nodeHost) start(real *env.Real) error {
	model := standin.MachineConfig{
		Cores: h.Cores, Memory: 2 * h.Cores, CoresLimit: 4, MemoryLimit: 4, InspectTime: inspectMs, QueueLimit: waitingTasks,
		ConcurrentStarts: startsAtOnce, ProgramMissFactor: 1, ProgramCacheSize: keptPrograms, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: foreverMs, OverloadWindow: 1, SlowStartLimit: 1 << 30,
		JobProfiles: []standin.JobProfile{{StartWork: startMs, MeanRuntime: h.ShortRuntime, MeanUse: 0.5}, {StartWork: startMs, MeanRuntime: foreverMs, MeanUse: 0.5}},
	}
	var testbed *standin.Testbed
	var group *standin.Group
	for i := range h.Count {
		if i%nodesPerTestbed == 0 {
			testbed, group = standin.NewTestbed(real), standin.NewGroup()
			testbed.Trace.OnRecord = func(*audit.Record) {} // records are not needed: no checker reads them
		}
		index := h.First + i
		zone := ZoneName(NodeZone(index, h.Nodes, h.Zones))
		n := &standin.Node{ID: NodeID(index), Zone: zone, Cell: zone, Kind: "plain", Jobs: len(model.JobProfiles), Tenants: h.Teams}
		if err := testbed.StartNode(n, standin.NodeStart{Machine: model, Group: group, Seed: h.random.Uint64(), Address: NodeAddress(index)}); err != nil {
			return err
		}
		h.nodes, h.testbeds = append(h.nodes, n), append(h.testbeds, testbed)
	}
	return nil
}

// handle carries out one order.
func (h *nodeHost) handle(order Order) (Reply, error) {
	switch order.Do {
	case Addresses:
		var all []string
		for _, n := range h.nodes {
			all = append(all, n.Address())
		}
		return Reply{Addresses: all}, nil
	case Connections:
		return h.count(func(n *standin.Node) int { return n.Connections() }), nil
	case AwaitConnections:
		return h.await(order)
	case Tasks:
		return h.count(func(n *standin.Node) int { return n.Machine.TaskCount() }), nil
	case StopNodes:
		return h.forEach(order, func(n *standin.Node, now float64) error { n.Crash(now); return nil })
	case HangNodes:
		return h.forEach(order, func(n *standin.Node, _ float64) error { n.Machine.Hung = true; return nil })
	case ResumeNodes:
		return h.forEach(order, func(n *standin.Node, _ float64) error { n.Machine.Hung = false; return nil })
	case ReturnNodes:
		return h.restart(order)
	}
	return Reply{}, fmt.Errorf("%w %q", errUnknownAction, order.Do)
}

// count returns the sum of a value over all nodes.
func (h *nodeHost) count(value func(n *standin.Node) int) (reply Reply) {
	for i, n := range h.nodes {
		h.testbeds[i].WithLock(func(float64) { reply.Count += value(n) })
	}
	return reply
}

// selectNodes returns the indices of the nodes that an order is for: those of a zone, or the range of indices in the process.
func (h *nodeHost) selectNodes(order Order) (indices []int, err error) {
	for i, n := range h.nodes {
		if order.Name != "" && n.Zone == order.Name || order.Name == "" && i >= order.First && i < order.Last {
			indices = append(indices, i)
		}
	}
	if order.Name == "" && len(indices) != order.Last-order.First {
		return nil, fmt.Errorf("nodes %d to %d are out of range: the process has %d", order.First, order.Last, len(h.nodes))
	}
	return indices, nil
}

// forEach applies a function to the nodes that an order is for, and returns the time after the last.
func (h *nodeHost) forEach(order Order, apply func(n *standin.Node, now float64) error) (Reply, error) {
	indices, err := h.selectNodes(order)
	for _, i := range indices {
		h.testbeds[i].WithLock(func(now float64) { err = errors.Join(err, apply(h.nodes[i], now)) })
	}
	return Reply{At: unixMs(), Count: len(indices)}, err
}

// restart restarts stopped nodes. It tries again for a while, as an address may still be in use for a moment.
func (h *nodeHost) restart(order Order) (Reply, error) {
	indices, err := h.selectNodes(order)
	if err != nil {
		return Reply{}, err
	}
	for _, i := range indices {
		err := h.nodes[i].Restart()
		for attempt := 1; err != nil && attempt < restartAttempts; attempt++ {
			time.Sleep(restartPause)
			err = h.nodes[i].Restart()
		}
		if err != nil {
			return Reply{}, err
		}
	}
	return Reply{At: unixMs(), Count: len(indices)}, nil
}

// await waits until at least the ordered number of schedulers is connected to each node that an order is for.
func (h *nodeHost) await(order Order) (Reply, error) {
	indices, err := h.selectNodes(order)
	if err != nil {
		return Reply{}, err
	}
	return await(indices, order.Within, func(i int) (connected bool) {
		h.testbeds[i].WithLock(func(float64) { connected = h.nodes[i].Connections() >= order.Count })
		return connected
	})
}

// unixMs returns the time in ms since the Unix epoch.
func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }
