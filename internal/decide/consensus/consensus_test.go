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

// cluster is replicas that exchange messages, with their disks.
type cluster struct {
	t           *testing.T
	now         float64
	nodes       map[string]*testNode
	partitioned map[string]bool // whose messages are lost, both ways
	inFlight    []message
}

type message struct {
	from, to string
	body     []byte
}

// testNode is a replica of a cluster, and its effects.
type testNode struct {
	cluster *cluster
	name    string
	replica *Replica
	saved   PersistedState
	from    uint64
	fails   bool
	lines   []string
}

func (s *testNode) Send(to string, body []byte) {
	s.cluster.inFlight = append(s.cluster.inFlight, message{s.name, to, slices.Clone(body)})
}

func (s *testNode) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, _ uint64) error {
	if s.fails {
		return errors.New("no space")
	}
	if hard != nil {
		s.saved.Hard = hard
	}
	if snapshot != nil {
		s.saved.Snapshot = snapshot
	}
	if from > 0 {
		if s.from == 0 {
			s.from = from
		}
		s.saved.Entries = append(s.saved.Entries[:from-s.from], entries...)
	}
	return nil
}

func (s *testNode) Log(line string) { s.lines = append(s.lines, line) }

// newCluster starts a replica for each name. Those named a, b and c are voters.
func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	x := &cluster{t: t, now: 1e6, nodes: map[string]*testNode{}, partitioned: map[string]bool{}}
	for i, n := range names {
		x.nodes[n] = &testNode{cluster: x, name: n}
		x.start(n, 1, uint64(i), Faults{})
	}
	return x
}

func (x *cluster) start(name string, incarnation, seed uint64, p Faults) {
	x.t.Helper()
	c, err := New(x.nodes[name], x.now, Config{Name: name, Zone: "z" + name, Incarnation: incarnation, Voters: []string{"a", "b", "c"}, Seed: seed, Faults: p}, x.nodes[name].saved)
	if err != nil {
		x.t.Fatal(err)
	}
	x.nodes[name].replica = c
}

// advance lets time pass. Messages arrive after a millisecond.
func (x *cluster) advance(ms float64) {
	for end := x.now + ms; x.now < end; x.now++ {
		way := x.inFlight
		x.inFlight = nil
		for _, l := range way {
			if s := x.nodes[l.to]; s != nil && !x.partitioned[l.from] && !x.partitioned[l.to] {
				s.replica.OnMessage(x.now, l.from, l.body)
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			if s := x.nodes[name]; s != nil && !x.partitioned["stopped "+name] && x.now >= s.replica.Next() {
				s.replica.Tick(x.now)
			}
		}
	}
}

func (x *cluster) leader() string {
	for name, s := range x.nodes {
		if s.replica.IsLeader() && !x.partitioned[name] {
			return name
		}
	}
	return ""
}

// TestAgree has three voters and a follower agree, lose their leader, and hold leases as the partition allows.
func TestAgree(t *testing.T) {
	x := newCluster(t, "a", "b", "c", "d")
	x.advance(6000)
	first := x.leader()
	if first == "" {
		t.Fatal("no leader")
	}
	for name, s := range x.nodes {
		if p, ok := s.replica.State().Process("d"); !ok || p.Zone != "zd" || s.replica.LeaseExpiry() < x.now {
			t.Errorf("%s: %+v, lease valid for %g ms", name, p, s.replica.LeaseExpiry()-x.now)
		}
	}
	x.partitioned[first] = true
	x.advance(1.1 * Lease)
	if s := x.nodes[first]; s.replica.LeaseExpiry() > x.now || s.replica.IsLeader() {
		t.Errorf("partitioned, the lease of %s is valid for %g ms, leader %v", first, s.replica.LeaseExpiry()-x.now, s.replica.IsLeader())
	}
	x.advance(4000)
	if second := x.leader(); second == "" || second == first {
		t.Fatalf("%q leads after %q", second, first)
	}
	if s := x.nodes["d"].replica; s.LeaseExpiry() < x.now {
		t.Error("two of three voters do not renew leases")
	}
	x.partitioned[first] = false
	x.advance(3000)
	if s := x.nodes[first]; s.replica.LeaseExpiry() < x.now || s.replica.State().Version() != x.nodes["d"].replica.State().Version() {
		t.Errorf("%s, reachable again, has no lease", first)
	}
}

// TestResults checks that each own command has one result, though it is sent repeatedly.
func TestResults(t *testing.T) {
	x := newCluster(t, "a", "b", "c", "d")
	x.advance(5000)
	var got []string
	c := x.nodes["d"].replica
	c.SetResultHandler(func(number uint64, r clusterstate.Refusal) { got = append(got, fmt.Sprint(number, " ", r)) })
	verdict := func(zone string, to clusterstate.ZoneState) {
		c.Propose(func() (float64, clusterstate.Change) {
			return x.now, clusterstate.SetZoneState{Zone: zone, SeenVersion: c.State().Zone(zone).Version, State: to}
		})
	}
	verdict("za", clusterstate.Suspect)
	verdict("zb", clusterstate.Closed)
	x.partitioned["d"] = true
	x.advance(2000)
	x.partitioned["d"] = false
	x.advance(3000)
	if want := []string{"2 taken", "3 no-way"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	for range 2 * maxProposals {
		verdict("za", clusterstate.Open)
	}
	if len(c.queue.proposals) != maxProposals {
		t.Errorf("%d proposals wait", len(c.queue.proposals))
	}
}

// TestDisk checks that a voter that can't write takes no part, and that one that lost its disk never votes, while both follow.
func TestDisk(t *testing.T) {
	x := newCluster(t, "a", "b", "c")
	x.advance(5000)
	l := x.leader()
	x.nodes[l].fails = true
	x.nodes[l].replica.Propose(func() (float64, clusterstate.Change) {
		return x.now, clusterstate.SetZoneState{Zone: "za", State: clusterstate.Suspect}
	})
	x.advance(8000)
	if s := x.nodes[l]; s.replica.HaltReason() == "" || s.replica.IsLeader() {
		t.Fatalf("the disk of %s is full, and it remains leader", l)
	}
	if s := x.nodes[l].replica; s.State().Zone("za").State != clusterstate.Suspect || s.LeaseExpiry() < x.now {
		t.Errorf("it does not follow: version %d, lease valid for %g ms", s.State().Version(), s.LeaseExpiry()-x.now)
	}
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[l]
	x.nodes[l].fails = false
	x.start(l, 2, 9, Faults{})
	x.advance(3000)
	*x.nodes[other] = testNode{cluster: x, name: other}
	x.start(other, 2, 8, Faults{})
	x.advance(6000)
	if s := x.nodes[other]; !strings.Contains(s.replica.HaltReason(), "disk was empty") || s.replica.LeaseExpiry() < x.now {
		t.Errorf("lost its disk: halted %q, lease valid for %g ms", s.replica.HaltReason(), s.replica.LeaseExpiry()-x.now)
	}
	if x.nodes[l].replica.HaltReason() != "" {
		t.Error("still halted in its next incarnation")
	}
}

// TestChunks checks that a follower takes chunks of one snapshot only, and none that is older than its state.
func TestChunks(t *testing.T) {
	chunks := func(b *clusterstate.State) (all [][]byte) {
		text := b.Snapshot()
		for i := 0; i < len(text); i += 40 {
			all = append(all, codec.AppendMessage(nil, &codec.Message{
				Kind: codec.MessageChunk, Body: text[i:min(i+40, len(text))], Version: b.Version(), Offset: uint64(i), Total: uint64(len(text)),
			}))
		}
		return all
	}
	older, newer := clusterstate.New(), clusterstate.New()
	for v := uint64(1); v < 9; v++ {
		c := activation(fmt.Sprint("p", v), "z", 1)
		if v < 5 {
			_, _ = older.Apply(v, c)
		}
		_, _ = newer.Apply(v, c)
	}
	for _, faulty := range []bool{false, true} {
		x := newCluster(t)
		x.nodes["d"] = &testNode{cluster: x, name: "d"}
		x.start("d", 1, 1, Faults{StaleTransfer: faulty})
		c := x.nodes["d"].replica
		c.OnNewerVersion(x.now, "a", 8)
		for _, p := range append(chunks(older)[:1], chunks(newer)...) { // the source has a newer snapshot after the first chunk
			c.OnMessage(x.now, "b", chunks(older)[0]) // not requested from b
			c.OnMessage(x.now, "a", p)
		}
		if c.State().Version() != 8 {
			t.Fatalf("version %d of chunks of 8", c.State().Version())
		}
		c.OnNewerVersion(x.now, "b", 99) // b claims a version that it does not hold
		for _, p := range chunks(older) {
			c.OnMessage(x.now, "b", p)
		}
		if back := c.State().Version() == 4; back != faulty {
			t.Errorf("an older snapshot, fault %v: version %d", faulty, c.State().Version())
		}
	}
}

// TestLostFolder checks that a process that lost its folder raises its incarnation above the one in the state.
func TestLostFolder(t *testing.T) {
	x := newCluster(t, "a", "b", "c", "d")
	x.start("d", 7, 3, Faults{})
	x.advance(6000)
	x.start("d", 1, 4, Faults{})
	x.advance(6000)
	if p, _ := x.nodes["a"].replica.State().Process("d"); p.Incarnation != 8 || x.nodes["d"].replica.Incarnation() != 8 {
		t.Errorf("%+v, the replica has incarnation %d", p, x.nodes["d"].replica.Incarnation())
	}
}

// TestFolder checks that a folder of other voters is refused, and one whose parts do not fit together.
func TestFolder(t *testing.T) {
	x := newCluster(t, "a", "b", "c")
	x.advance(5000)
	saved := x.nodes["a"].saved
	for what, s := range map[string]PersistedState{
		"an entry that can't be read": {Hard: saved.Hard, Entries: [][]byte{{0xff}}},
		"a state without its entries": {Hard: saved.Hard},
	} {
		if _, err := New(x.nodes["a"], x.now, Config{Name: "a", Incarnation: 2, Voters: []string{"a", "b", "c"}}, s); err == nil {
			t.Error(what)
		}
	}
}

// TestOldProposal has a follower start where it reaches no voter, for longer than voters accept a command's time: it still joins once
// it reaches them.
func TestOldProposal(t *testing.T) {
	x := newCluster(t, "a", "b", "c")
	x.advance(4000)
	x.nodes["d"] = &testNode{cluster: x, name: "d"}
	x.start("d", 1, 9, Faults{})
	x.partitioned["d"] = true
	x.advance(2 * maxCommandAge)
	delete(x.partitioned, "d")
	x.advance(5000)
	for _, name := range []string{"a", "b", "c", "d"} {
		if p, ok := x.nodes[name].replica.State().Process("d"); !ok || p.Incarnation != 1 {
			t.Errorf("in %s's state d acts in incarnation %d, %v", name, p.Incarnation, ok)
		}
	}
	if n := len(x.nodes["d"].replica.queue.proposals); n > 0 {
		t.Errorf("%d proposals of d still wait", n)
	}
}

// TestRepeatedProposal repeats a command whose result is in the state: it makes no version.
func TestRepeatedProposal(t *testing.T) {
	x := newCluster(t, "a", "b", "c")
	x.advance(4000)
	x.nodes["d"] = &testNode{cluster: x, name: "d"}
	x.start("d", 1, 9, Faults{})
	x.advance(3000)
	leader := x.nodes[x.leader()].replica
	before := leader.State().Version()
	command := activation("d", "zd", x.now)
	for range 20 {
		leader.OnMessage(x.now, "d", codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageProposal, Body: command}))
		x.advance(100)
	}
	if after := leader.State().Version(); before == 0 || after != before {
		t.Errorf("from version %d to %d", before, after)
	}
}

// activation returns the encoded first command of a process's first incarnation.
func activation(name, zone string, at float64) []byte {
	c := clusterstate.Command{Proposer: name, Incarnation: 1, Number: 1, ProposedAt: at, Change: clusterstate.Activate{Process: name, Zone: zone}}
	return c.Append(nil)
}
