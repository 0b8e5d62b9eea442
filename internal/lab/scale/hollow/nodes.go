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

// NodesPlan says which nodes a process holds: Count of them, from the place First among all nodes of the run.
type NodesPlan struct {
	First, Count int
	Nodes        int // of the run
	Zones        int // of the run; racks of nodes are dealt out to them in turn
	Teams        int
	Seed         uint64
	Cores        float64 // of a node; it has twice as much memory in GiB
	ShortRuntime float64 `json:"ShortLife"` // mean ms that a task of the first job type runs; those of the second run until the end
}

// Sizes of a node's model.
const (
	nodesPerTestbed = 250  // nodes that share a lock
	inspectMs       = 0.02 // to look at one offer
	startMs         = 0.5  // to start a task where its program is held
	foreverMs       = 1e12
	waitingTasks    = 4000
	startsAtOnce    = 64
	keptPrograms    = 4
	restartAttempts = 50
	restartPause    = 20 * time.Millisecond
)

// Addresses of nodes: each has a loopback address of its own, so that thousands of listeners and connections do not share
// the ports of one.
const (
	firstNodeNet   = 16
	nodesPerSubnet = 200
	subnetsPerNet  = 200
)

// NodeAddress is where the node at a place among all is listening; the port is left to the machine.
func NodeAddress(place int) string {
	subnet := place / nodesPerSubnet
	return fmt.Sprintf("127.%d.%d.%d:0", firstNodeNet+subnet/subnetsPerNet, subnet%subnetsPerNet, place%nodesPerSubnet+1)
}

// ZoneName is the name of a zone by its number.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// maxRackSize is how many nodes stand in a rack; fewer where else a zone had none.
const maxRackSize = 40

// RackSize is how many nodes of a run stand in a rack.
func RackSize(nodes, zones int) int { return min(maxRackSize, max(1, nodes/zones)) }

// NodeZone is the number of the zone of the node at a place among all.
func NodeZone(place, nodes, zones int) int { return place / RackSize(nodes, zones) % zones }

// NodeID is the number of the node at a place among all.
func NodeID(place int) uint32 { return uint32(place + 1) }

// nodeHost is the nodes of a process, which share a world by groups.
type nodeHost struct {
	NodesPlan
	nodes    []*standin.Node
	testbeds []*standin.Testbed // of each node
	random   *rand.Rand
}

// RunNodes runs the nodes of a process until their orders end.
func RunNodes(ctx context.Context, in io.Reader, out io.Writer) error {
	orders := newInput(in)
	h := &nodeHost{}
	if err := orders.plan(&h.NodesPlan); err != nil {
		return err
	}
	h.random = rand.New(rand.NewPCG(h.Seed, 0x5ca1e))
	real := env.NewReal()
	defer real.Close(time.Second)
	if err := h.start(real); err != nil {
		return err
	}
	return orders.follow(ctx, out, h.do)
}

func (h *nodeHost) start(real *env.Real) error {
	model := standin.MachineConfig{
		Cores: h.Cores, Memory: 2 * h.Cores, CoresLimit: 4, MemoryLimit: 4, InspectTime: inspectMs, QueueLimit: waitingTasks,
		ConcurrentStarts: startsAtOnce, ProgramMissFactor: 1, ProgramCacheSize: keptPrograms, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: foreverMs, OverloadWindow: 1, SlowStartLimit: 1 << 30,
		JobProfiles: []standin.JobProfile{{StartWork: startMs, MeanRuntime: h.ShortRuntime, MeanUse: 0.5}, {StartWork: startMs, MeanRuntime: foreverMs, MeanUse: 0.5}},
	}
	var world *standin.Testbed
	var group *standin.Group
	for i := range h.Count {
		if i%nodesPerTestbed == 0 {
			world, group = standin.NewTestbed(real), standin.NewGroup()
			world.Trace.OnRecord = func(*audit.Record) {} // nothing audits it
		}
		place := h.First + i
		zone := ZoneName(NodeZone(place, h.Nodes, h.Zones))
		n := &standin.Node{ID: NodeID(place), Zone: zone, Cell: zone, Kind: "plain", Jobs: len(model.JobProfiles), Tenants: h.Teams}
		if err := world.StartNode(n, standin.NodeStart{Machine: model, Group: group, Seed: h.random.Uint64(), Address: NodeAddress(place)}); err != nil {
			return err
		}
		h.nodes, h.testbeds = append(h.nodes, n), append(h.testbeds, world)
	}
	return nil
}

func (h *nodeHost) do(order Order) (Reply, error) {
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
		return h.each(order, func(n *standin.Node, now float64) error { n.Crash(now); return nil })
	case HangNodes:
		return h.each(order, func(n *standin.Node, _ float64) error { n.Machine.Hung = true; return nil })
	case ResumeNodes:
		return h.each(order, func(n *standin.Node, _ float64) error { n.Machine.Hung = false; return nil })
	case ReturnNodes:
		return h.restart(order)
	}
	return Reply{}, fmt.Errorf("%w %q", errUnknownAction, order.Do)
}

func (h *nodeHost) count(of func(n *standin.Node) int) (reply Reply) {
	for i, n := range h.nodes {
		h.testbeds[i].WithLock(func(float64) { reply.Count += of(n) })
	}
	return reply
}

// chosen gives the ordered nodes: those of a zone, or of places of the process.
func (h *nodeHost) chosen(order Order) (places []int, err error) {
	for i, n := range h.nodes {
		if order.Name != "" && n.Zone == order.Name || order.Name == "" && i >= order.First && i < order.Last {
			places = append(places, i)
		}
	}
	if order.Name == "" && len(places) != order.Last-order.First {
		return nil, fmt.Errorf("nodes %d to %d of %d", order.First, order.Last, len(h.nodes))
	}
	return places, nil
}

// each does something to the ordered nodes, and tells when the last was done.
func (h *nodeHost) each(order Order, do func(n *standin.Node, now float64) error) (Reply, error) {
	places, err := h.chosen(order)
	for _, i := range places {
		h.testbeds[i].WithLock(func(now float64) { err = errors.Join(err, do(h.nodes[i], now)) })
	}
	return Reply{At: unixMs(), Count: len(places)}, err
}

// restart has nodes that were stopped listen again. An address may be taken for a moment yet.
func (h *nodeHost) restart(order Order) (Reply, error) {
	places, err := h.chosen(order)
	if err != nil {
		return Reply{}, err
	}
	for _, i := range places {
		err := h.nodes[i].Restart()
		for try := 1; err != nil && try < restartAttempts; try++ {
			time.Sleep(restartPause)
			err = h.nodes[i].Restart()
		}
		if err != nil {
			return Reply{}, err
		}
	}
	return Reply{At: unixMs(), Count: len(places)}, nil
}

// await waits until as many schedulers as ordered are connected to each of the ordered nodes.
func (h *nodeHost) await(order Order) (Reply, error) {
	places, err := h.chosen(order)
	if err != nil {
		return Reply{}, err
	}
	return await(places, order.Within, func(i int) (is bool) {
		h.testbeds[i].WithLock(func(float64) { is = h.nodes[i].Connections() >= order.Count })
		return is
	})
}

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }
