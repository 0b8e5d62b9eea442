package consensus

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// cluster is a set of replicas that exchange messages, with simulated time and disks.
type cluster struct {
	t           *testing.T
	now         float64 // ms
	nodes       map[string]*testNode
	partitioned map[string]bool // nodes whose messages are lost in both directions; "stopped NAME": node NAME gets no ticks
	inFlight    []message
}

// message is an encoded message from one node to another.
type message struct {
	from, to string
	body     []byte
}

// testNode is a node of a cluster: a replica and the effects that it uses.
type testNode struct {
	cluster    *cluster
	name       string
	replica    *Replica
	saved      PersistedState
	firstIndex uint64 // log index of the first saved entry
	writesFail bool
	logLines   []string
}

func (n *testNode) Send(to string, body []byte) {
	n.cluster.inFlight = append(n.cluster.inFlight, message{n.name, to, slices.Clone(body)})
}

func (n *testNode) Save(hardState []byte, firstIndex uint64, entries [][]byte, snapshot []byte, _ uint64) error {
	if n.writesFail {
		return errors.New("no space left on device")
	}
	if hardState != nil {
		n.saved.HardState = hardState
	}
	if snapshot != nil {
		n.saved.Snapshot = snapshot
	}
	if firstIndex > 0 {
		if n.firstIndex == 0 {
			n.firstIndex = firstIndex
		}
		n.saved.Entries = append(n.saved.Entries[:firstIndex-n.firstIndex], entries...)
	}
	return nil
}

func (n *testNode) Log(line string) { n.logLines = append(n.logLines, line) }

// newCluster starts a replica for each name. The nodes named a, b and c are voters.
func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, now: 1e6, nodes: map[string]*testNode{}, partitioned: map[string]bool{}}
	for i, name := range names {
		c.nodes[name] = &testNode{cluster: c, name: name}
		c.start(name, 1, uint64(i), Faults{})
	}
	return c
}

// start starts or restarts a node's replica from what the node has saved.
func (c *cluster) start(name string, incarnation, seed uint64, faults Faults) {
	c.t.Helper()
	replica, err := New(c.nodes[name], c.now, Config{Name: name, Zone: "z" + name, Incarnation: incarnation, Voters: []string{"a", "b", "c"}, Seed: seed, Faults: faults}, c.nodes[name].saved)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[name].replica = replica
}

// advance simulates the next ms milliseconds. A message arrives one millisecond after it is sent.
func (c *cluster) advance(ms float64) {
	for end := c.now + ms; c.now < end; c.now++ {
		arriving := c.inFlight
		c.inFlight = nil
		for _, m := range arriving {
			if node := c.nodes[m.to]; node != nil && !c.partitioned[m.from] && !c.partitioned[m.to] {
				node.replica.OnMessage(c.now, m.from, m.body)
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			if node := c.nodes[name]; node != nil && !c.partitioned["stopped "+name] && c.now >= node.replica.Next() {
				node.replica.Tick(c.now)
			}
		}
	}
}

// leader returns the name of a leader that is not partitioned, empty if there is none.
func (c *cluster) leader() string {
	for name, node := range c.nodes {
		if node.replica.IsLeader() && !c.partitioned[name] {
			return name
		}
	}
	return ""
}

// TestLeaderFailover partitions the leader of three voters and a follower: the leader steps down and loses its lease, the others elect
// a new leader and keep theirs, and the old leader catches up after the partition.
func TestLeaderFailover(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.advance(6000)
	first := c.leader()
	if first == "" {
		t.Fatal("no leader elected within 6 s")
	}
	for name, node := range c.nodes {
		if p, ok := node.replica.State().Process("d"); !ok || p.Zone != "zd" || node.replica.LeaseExpiry() < c.now {
			t.Errorf("node %s: process d is %+v, want zone zd; lease valid for %g ms, want at least 0", name, p, node.replica.LeaseExpiry()-c.now)
		}
	}
	c.partitioned[first] = true
	c.advance(1.1 * LeaseDuration)
	if node := c.nodes[first]; node.replica.LeaseExpiry() > c.now || node.replica.IsLeader() {
		t.Errorf("partitioned leader %s: lease valid for %g ms, leader %v; want no valid lease and not leader",
			first, node.replica.LeaseExpiry()-c.now, node.replica.IsLeader())
	}
	c.advance(4000)
	if second := c.leader(); second == "" || second == first {
		t.Fatalf("got leader %q after %q was partitioned, want another one", second, first)
	}
	if replica := c.nodes["d"].replica; replica.LeaseExpiry() < c.now {
		t.Error("follower d has no valid lease, although two of three voters are reachable")
	}
	c.partitioned[first] = false
	c.advance(3000)
	if node := c.nodes[first]; node.replica.LeaseExpiry() < c.now || node.replica.State().Version() != c.nodes["d"].replica.State().Version() {
		t.Errorf("node %s is reachable again, but has no valid lease or not the version of d", first)
	}
}

// TestResults checks that a replica gets exactly one result for each command that it proposes, although commands are sent repeatedly.
func TestResults(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.advance(5000)
	var got []string
	replica := c.nodes["d"].replica
	replica.SetResultHandler(func(number uint64, r clusterstate.Refusal) { got = append(got, fmt.Sprint(number, " ", r)) })
	setZoneState := func(zone string, to clusterstate.ZoneState) {
		replica.Propose(func() (float64, clusterstate.Change) {
			return c.now, clusterstate.SetZoneState{Zone: zone, SeenVersion: replica.State().Zone(zone).Version, State: to}
		})
	}
	setZoneState("za", clusterstate.Suspect)
	setZoneState("zb", clusterstate.Closed)
	c.partitioned["d"] = true
	c.advance(2000)
	c.partitioned["d"] = false
	c.advance(3000)
	if want := []string{"2 taken", "3 no-way"}; !slices.Equal(got, want) {
		t.Errorf("got results %q, want %q", got, want)
	}
	for range 2 * maxProposals {
		setZoneState("za", clusterstate.Open)
	}
	if len(replica.queue.proposals) != maxProposals {
		t.Errorf("%d proposals are queued, want maxProposals", len(replica.queue.proposals))
	}
}

// TestDiskFailure checks that a voter that can't write stops voting until it restarts, and that a voter that lost its disk never votes.
// Both still follow the cluster state and hold leases.
func TestDiskFailure(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.advance(5000)
	leader := c.leader()
	c.nodes[leader].writesFail = true
	c.nodes[leader].replica.Propose(func() (float64, clusterstate.Change) {
		return c.now, clusterstate.SetZoneState{Zone: "za", State: clusterstate.Suspect}
	})
	c.advance(8000)
	if node := c.nodes[leader]; node.replica.HaltReason() == "" || node.replica.IsLeader() {
		t.Fatalf("node %s can't write and has not halted, or is still leader", leader)
	}
	if replica := c.nodes[leader].replica; replica.State().Zone("za").State != clusterstate.Suspect || replica.LeaseExpiry() < c.now {
		t.Errorf("the halted node does not follow: zone za is not suspect at version %d, or the lease, valid for %g ms, has expired",
			replica.State().Version(), replica.LeaseExpiry()-c.now)
	}
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
	c.nodes[leader].writesFail = false
	c.start(leader, 2, 9, Faults{})
	c.advance(3000)
	*c.nodes[other] = testNode{cluster: c, name: other}
	c.start(other, 2, 8, Faults{})
	c.advance(6000)
	if node := c.nodes[other]; !strings.Contains(node.replica.HaltReason(), "disk was empty") || node.replica.LeaseExpiry() < c.now {
		t.Errorf("a node that lost its disk: halt reason %q, want one with \"disk was empty\"; lease valid for %g ms, want at least 0",
			node.replica.HaltReason(), node.replica.LeaseExpiry()-c.now)
	}
	if c.nodes[leader].replica.HaltReason() != "" {
		t.Error("the node that could not write is still halted after a restart, want it to vote again")
	}
}

// TestChunks checks that a follower assembles chunks of one snapshot only, accepts them only from the replica that it asked, and never
// replaces its state by an older one.
func TestChunks(t *testing.T) {
	chunks := func(state *clusterstate.State) (all [][]byte) {
		data := state.Snapshot()
		for i := 0; i < len(data); i += 40 {
			all = append(all, codec.AppendMessage(nil, &codec.Message{
				Kind: codec.MessageChunk, Body: data[i:min(i+40, len(data))], Version: state.Version(), Offset: uint64(i), Total: uint64(len(data)),
			}))
		}
		return all
	}
	older, newer := clusterstate.New(), clusterstate.New()
	for v := uint64(1); v < 9; v++ {
		command := activation(fmt.Sprint("p", v), "z", 1)
		if v < 5 {
			_, _ = older.Apply(v, command)
		}
		_, _ = newer.Apply(v, command)
	}
	for _, faulty := range []bool{false, true} {
		c := newCluster(t)
		c.nodes["d"] = &testNode{cluster: c, name: "d"}
		c.start("d", 1, 1, Faults{StaleTransfer: faulty})
		replica := c.nodes["d"].replica
		replica.OnNewerVersion(c.now, "a", 8)
		for _, chunk := range append(chunks(older)[:1], chunks(newer)...) { // the sender has a newer snapshot after the first chunk
			replica.OnMessage(c.now, "b", chunks(older)[0]) // not requested from b
			replica.OnMessage(c.now, "a", chunk)
		}
		if replica.State().Version() != 8 {
			t.Fatalf("got version %d from the chunks of version 8", replica.State().Version())
		}
		replica.OnNewerVersion(c.now, "b", 99) // b reports a version that it does not hold
		for _, chunk := range chunks(older) {
			replica.OnMessage(c.now, "b", chunk)
		}
		if reverted := replica.State().Version() == 4; reverted != faulty {
			t.Errorf("after the chunks of version 4 with fault StaleTransfer %v: got version %d", faulty, replica.State().Version())
		}
	}
}

// TestLostDataDirectory checks that a process that lost its data directory, and with it its incarnation, raises the incarnation above the
// one in the cluster state.
func TestLostDataDirectory(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.start("d", 7, 3, Faults{})
	c.advance(6000)
	c.start("d", 1, 4, Faults{})
	c.advance(6000)
	if p, _ := c.nodes["a"].replica.State().Process("d"); p.Incarnation != 8 || c.nodes["d"].replica.Incarnation() != 8 {
		t.Errorf("got process d as %+v and the replica in incarnation %d, want incarnation 8 in both", p, c.nodes["d"].replica.Incarnation())
	}
}

// TestInvalidSavedState checks that a voter does not start from saved state that can't be decoded or is incomplete.
func TestInvalidSavedState(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.advance(5000)
	saved := c.nodes["a"].saved
	for message, invalid := range map[string]PersistedState{
		"got no error for a log entry that can't be decoded":    {HardState: saved.HardState, Entries: [][]byte{{0xff}}},
		"got no error for a hard state without its log entries": {HardState: saved.HardState},
	} {
		if _, err := New(c.nodes["a"], c.now, Config{Name: "a", Incarnation: 2, Voters: []string{"a", "b", "c"}}, invalid); err == nil {
			t.Error(message)
		}
	}
}

// TestOldProposal partitions a follower from all voters when it starts, for longer than voters accept the time of a command: it encodes its
// command again with a newer time and joins after the partition.
func TestOldProposal(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.advance(4000)
	c.nodes["d"] = &testNode{cluster: c, name: "d"}
	c.start("d", 1, 9, Faults{})
	c.partitioned["d"] = true
	c.advance(2 * maxCommandAge)
	delete(c.partitioned, "d")
	c.advance(5000)
	for _, name := range []string{"a", "b", "c", "d"} {
		if p, ok := c.nodes[name].replica.State().Process("d"); !ok || p.Incarnation != 1 {
			t.Errorf("state of %s: process d has incarnation %d, known %v; want incarnation 1", name, p.Incarnation, ok)
		}
	}
	if n := len(c.nodes["d"].replica.queue.proposals); n > 0 {
		t.Errorf("%d proposals of d are still queued, want 0", n)
	}
}

// TestRepeatedProposal sends the leader a command repeatedly whose result is already in the state: no new version is created.
func TestRepeatedProposal(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.advance(4000)
	c.nodes["d"] = &testNode{cluster: c, name: "d"}
	c.start("d", 1, 9, Faults{})
	c.advance(3000)
	leader := c.nodes[c.leader()].replica
	before := leader.State().Version()
	command := activation("d", "zd", c.now)
	for range 20 {
		leader.OnMessage(c.now, "d", codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageProposal, Body: command}))
		c.advance(100)
	}
	if after := leader.State().Version(); before == 0 || after != before {
		t.Errorf("repeated proposals changed the version from %d to %d, want no change of a version above 0", before, after)
	}
}

// activation returns the encoded first command of a process's first incarnation.
func activation(name, zone string, at float64) []byte {
	command := clusterstate.Command{Proposer: name, Incarnation: 1, Number: 1, ProposedAt: at, Change: clusterstate.Activate{Process: name, Zone: zone}}
	return command.Append(nil)
}
