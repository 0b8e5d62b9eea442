package workingset

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	zones       = 3
	kinds       = 2
	perStratum  = 3
	narrowAfter = 30_000
	settleFor   = settleFraction * narrowAfter
)

// cluster holds the working sets of several schedulers, which share a clock.
type cluster struct {
	now   float64
	names []string
	sets  []*Set
	nodes int
}

func nodeOf(i int) Node { return Node{ID: uint32(i + 1), Zone: i % zones, Kind: i / zones % kinds} }

// newCluster returns the sets of schedulers that know each other and a list of nodes.
func newCluster(schedulers, nodes int, config Config) *cluster {
	c := &cluster{nodes: nodes}
	for i := range schedulers {
		c.names = append(c.names, fmt.Sprintf("scheduler%d", i))
	}
	for _, name := range c.names {
		c.sets = append(c.sets, c.newSet(name, config))
	}
	c.run(2 * settleFor)
	return c
}

// newSingleSet returns the set of one of several schedulers, and a cluster that has this set alone. The schedulers stay the same.
func newSingleSet(schedulers, nodes int, config Config) (*cluster, *Set) {
	c := &cluster{nodes: nodes}
	for i := range schedulers {
		c.names = append(c.names, fmt.Sprintf("scheduler%d", i))
	}
	s := c.newSet(c.names[0], config)
	c.sets = []*Set{s}
	c.run(2 * settleFor)
	return c, s
}

func (c *cluster) newSet(name string, config Config) *Set {
	config.Self, config.Schedulers, config.PerStratum, config.NarrowAfter = name, len(c.names), perStratum, narrowAfter
	s := New(c.now, config)
	for i := range c.nodes {
		s.PutNode(nodeOf(i))
	}
	return s
}

// run advances the clock, and each set gets the names of the members. It returns the changes of all sets.
func (c *cluster) run(ms float64) (changes []Change) {
	for end := c.now + ms; c.now < end; c.now += 100 {
		for _, s := range c.sets {
			s.SetMembers(c.now, c.names)
			changes = append(changes, s.Step(c.now))
		}
	}
	return changes
}

// coverage returns the smallest and the largest number of sets that a node is in.
func (c *cluster) coverage() (least, most int) {
	least = math.MaxInt
	for i := range c.nodes {
		n := 0
		for _, s := range c.sets {
			if s.Contains(nodeOf(i).ID) {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// maxExpectedSize returns the largest expected size of a set: four standard deviations of a binomial count above its mean, and the minimum
// of each stratum.
func maxExpectedSize(mean float64) float64 { return mean + 4*math.Sqrt(mean) + zones*kinds*perStratum }

// checkSizes returns an error if a set's size is far from the mean, or if some nodes are in too few or too many sets.
func (c *cluster) checkSizes(mean float64) error {
	for _, s := range c.sets {
		if float64(s.Size()) > maxExpectedSize(mean) || float64(s.Size()) < mean-4*math.Sqrt(mean) {
			return fmt.Errorf("%s has %d nodes, want about %.0f", s.config.Self, s.Size(), mean)
		}
	}
	each := mean * float64(len(c.sets)) / float64(c.nodes)
	least, most := c.coverage()
	if least < int(each) || most > int(each)+2 {
		return fmt.Errorf("nodes are in %d to %d sets, want about %.1f", least, most, each)
	}
	return nil
}

func TestSizesAndCoverage(t *testing.T) {
	for _, test := range []struct {
		schedulers, nodes, least int
		coverage, mean           float64
	}{
		{30, 1300, 480, 1, 480},
		{30, 14000, 480, 1, 480},
		{30, 14000, 100, 1, 14000.0 / 30},
		{30, 14000, 100, 2, 14000.0 / 15},
		{100, 1300, 100, 1, 100},
		{100, 14000, 200, 1, 200},
		{30, 300, 480, 1, 300},
	} {
		c := newCluster(test.schedulers, test.nodes, Config{MinNodes: test.least, Coverage: test.coverage})
		if err := c.checkSizes(test.mean); err != nil {
			t.Errorf("%d schedulers, %d nodes: %v", test.schedulers, test.nodes, err)
		}
		for _, change := range c.run(5000) {
			if len(change.Added)+len(change.Removed) > 0 {
				t.Errorf("%d schedulers, %d nodes: got change %v without a change of nodes, members or load, want none",
					test.schedulers, test.nodes, change)
			}
		}
	}
}

func TestSkippedNodesAreFound(t *testing.T) {
	c := newCluster(30, 1300, Config{MinNodes: 480, Coverage: 1, Faults: Faults{SkipNodes: true}})
	if c.checkSizes(480) == nil {
		t.Error("the check passes although some nodes are in no set")
	}
}

// memberChange adds or removes a scheduler. It returns the number of nodes added and removed as a fraction of the sets' sizes, and the
// smallest number of sets that a node is in afterwards.
func memberChange(joins bool, faults Faults) (fraction float64, least int) {
	const schedulers, nodes = 30, 1300
	c := newCluster(schedulers, nodes, Config{MinNodes: 480, Coverage: 1, Faults: faults})
	if joins {
		c.names = append(c.names, "another")
	} else {
		c.names, c.sets = c.names[:schedulers-1], c.sets[:schedulers-1]
	}
	before := 0
	for _, s := range c.sets {
		before += s.Size()
	}
	moved := 0
	for _, change := range c.run(2 * settleFor) {
		moved += len(change.Added) + len(change.Removed)
	}
	least, _ = c.coverage()
	return float64(moved) / float64(before), least
}

func TestMemberChangeMovesItsShare(t *testing.T) {
	for _, joins := range []bool{false, true} {
		fraction, least := memberChange(joins, Faults{})
		if fraction > 2.0/30 || least < 9 {
			t.Errorf("scheduler joins %t: %.3f of the sets changed, want at most 0.067; nodes are in %d sets at least, want 9",
				joins, fraction, least)
		}
	}
	if fraction, _ := memberChange(false, Faults{ForgetSet: true}); fraction <= 2.0/30 {
		t.Errorf("emptied sets pass the check: %.3f of the sets changed, want over 0.067", fraction)
	}
}

// TestMembersSettle checks that a scheduler that starts and stops faster than the others apply a change of members changes no set.
func TestMembersSettle(t *testing.T) {
	c := newCluster(10, 500, Config{MinNodes: 100, Coverage: 1})
	all := c.names
	for i := range 40 {
		c.names = all[:len(all)-i%2]
		for _, change := range c.run(settleFor / 3) {
			if len(change.Added)+len(change.Removed) > 0 {
				t.Fatalf("got change %v while a member flaps, want none", change)
			}
		}
	}
}

func TestNodeChangeMovesLittle(t *testing.T) {
	c := newCluster(30, 1300, Config{MinNodes: 480, Coverage: 1})
	moved := 0
	for _, s := range c.sets {
		s.RemoveNode(nodeOf(700).ID)
	}
	for _, change := range c.run(1000) {
		moved += len(change.Added) + len(change.Removed)
	}
	if moved > 60 {
		t.Errorf("got %d changes in 30 sets after one node of 1300 was removed, want at most 60", moved)
	}
}

// TestEveryStratum checks that a set holds enough nodes of a machine kind that is rare.
func TestEveryStratum(t *testing.T) {
	s := New(0, Config{Self: "a", Schedulers: 30, MinNodes: 20, Coverage: 1, PerStratum: perStratum, NarrowAfter: narrowAfter})
	for i := range 1300 {
		s.PutNode(Node{ID: uint32(i), Zone: i % zones})
	}
	for i := range 5 {
		s.PutNode(Node{ID: uint32(2000 + i), Kind: 1})
	}
	s.Step(100)
	rare := 0
	for i := range 5 {
		if s.Contains(uint32(2000 + i)) {
			rare++
		}
	}
	if rare < perStratum {
		t.Errorf("got %d nodes of the rare kind, want at least 3", rare)
	}
}

func TestSizeFollowsLoad(t *testing.T) {
	c, s := newSingleSet(30, 5000, Config{MinNodes: 100, Spare: 8})
	sizes := map[float64]int{}
	for _, machines := range []float64{0, 50, 51, 100, 0} {
		s.SetLoad(Load{Machines: machines})
		c.run(1000)
		sizes[machines] = s.Size()
	}
	if sizes[50] < 400 || sizes[50] != sizes[51] || sizes[100] < 800 || sizes[0] != sizes[100] {
		t.Errorf("sizes by load in machines: %v, want 400 at least for 50, the same for 51, 800 at least for 100, and the same for 0 afterwards",
			sizes)
	}
	c.run(2*narrowAfter + 1000)
	if s.Size() > 150 {
		t.Errorf("got %d nodes long after the load ended, want at most 150", s.Size())
	}
}

// TestDrainingStays checks that a draining node stays in the set until it is removed from the list, and that it is not added to the set.
func TestDrainingStays(t *testing.T) {
	c, s := newSingleSet(2, 40, Config{MinNodes: 10, Coverage: 1})
	for i := range c.nodes {
		n := nodeOf(i)
		wasInSet := s.Contains(n.ID)
		n.State = Draining
		s.PutNode(n)
		c.run(200)
		if s.Contains(n.ID) != wasInSet {
			t.Fatalf("node %d: in the set %t before it drains, %t while it drains, want no change", n.ID, wasInSet, s.Contains(n.ID))
		}
		s.PutNode(nodeOf(i))
		c.run(200)
	}
	for i := range c.nodes {
		s.RemoveNode(nodeOf(i).ID)
	}
	if s.Size() != 0 || len(s.nodes) != 0 {
		t.Errorf("got %d nodes in the set and %d on the list after all were removed, want none", s.Size(), len(s.nodes))
	}
}

// TestRandomHistories makes random calls, and checks that the changes that Step returned add up to the set's contents.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Self: "a", Schedulers: 5, MinNodes: 8, Coverage: 1, Spare: 4, PerStratum: 1, NarrowAfter: narrowAfter}
		m := &setModel{t: t, set: New(0, config), inSet: map[uint32]bool{}, listed: map[uint32]State{}}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			m.call(uint32(rapid.IntRange(1, 60).Draw(t, "node")))
			m.step()
			m.check()
		}
	})
}

// setModel is a set with a model of it: the node list, and the set's contents according to the changes that it returned.
type setModel struct {
	t      *rapid.T
	set    *Set
	now    float64
	listed map[uint32]State
	inSet  map[uint32]bool
}

// call makes a random call, with the ID of a node for calls that take one.
func (m *setModel) call(id uint32) {
	switch rapid.IntRange(0, 8).Draw(m.t, "event") {
	case 0, 1, 2:
		n := Node{
			ID: id, Zone: rapid.IntRange(0, 2).Draw(m.t, "zone"), Kind: rapid.IntRange(0, 1).Draw(m.t, "kind"),
			State: State(rapid.IntRange(0, 1).Draw(m.t, "state")),
		}
		m.set.PutNode(n)
		m.listed[id] = n.State
	case 3:
		m.set.RemoveNode(id)
		delete(m.listed, id)
		delete(m.inSet, id)
	case 4:
		m.set.SetMembers(m.now, []string{"a", "b", "c", "d"}[:rapid.IntRange(0, 4).Draw(m.t, "members")])
	case 5:
		m.set.OnShortage(rapid.IntRange(-1, 1).Draw(m.t, "kind"))
	case 6:
		m.set.SetReachable(id, rapid.Bool().Draw(m.t, "reachable"))
	case 7:
		m.set.SetLoad(Load{Machines: rapid.Float64Range(0, 20).Draw(m.t, "machines")})
	}
}

// step advances the clock and applies the change to the model.
func (m *setModel) step() {
	m.now += rapid.Float64Range(0, 40_000).Draw(m.t, "elapsed")
	change := m.set.Step(m.now)
	for _, id := range change.Added {
		if state, ok := m.listed[id]; m.inSet[id] || !ok || state != Ready {
			m.t.Fatalf("node %d added: in the set before %t, on the list %t, state %d; want a ready node on the list that was not in the set",
				id, m.inSet[id], ok, state)
		}
		m.inSet[id] = true
	}
	for _, removal := range change.Removed {
		if !m.inSet[removal.ID] {
			m.t.Fatalf("node %d removed, but it was not in the set", removal.ID)
		}
		delete(m.inSet, removal.ID)
	}
}

func (m *setModel) check() {
	if len(m.inSet) != m.set.Size() {
		m.t.Fatalf("%d nodes in the set according to the changes, but its size is %d", len(m.inSet), m.set.Size())
	}
	ready := 0
	for _, state := range m.listed {
		if state == Ready {
			ready++
		}
	}
	if ready != m.set.ready || ready > 0 && m.set.Size() == 0 {
		m.t.Fatalf("%d nodes are ready; the set counts %d ready and has %d nodes, want the same count, and a node if any is ready",
			ready, m.set.ready, m.set.Size())
	}
}

// TestSameHistorySameSet checks that the order in which nodes and members are given does not matter.
func TestSameHistorySameSet(t *testing.T) {
	build := func(reverse bool) (inSet []uint32) {
		names := []string{"a", "b", "c", "d"}
		s := New(0, Config{Self: "b", Schedulers: 4, MinNodes: 20, PerStratum: perStratum, NarrowAfter: narrowAfter})
		order := make([]int, 200)
		for i := range order {
			order[i] = i
		}
		if reverse {
			slices.Reverse(order)
			slices.Reverse(names)
		}
		for _, i := range order {
			s.PutNode(nodeOf(i))
		}
		s.SetMembers(0, names)
		s.Step(0)
		s.Step(settleFor)
		for i := range 200 {
			if s.Contains(nodeOf(i).ID) {
				inSet = append(inSet, nodeOf(i).ID)
			}
		}
		return inSet
	}
	if x, y := build(false), build(true); !slices.Equal(x, y) {
		t.Errorf("got set %v in order and %v in reverse order, want the same", x, y)
	}
}

func BenchmarkStepAtRest(b *testing.B) {
	c := newCluster(1, 14000, Config{MinNodes: 480})
	b.ReportAllocs()
	for b.Loop() {
		c.now += 100
		c.sets[0].Step(c.now)
	}
}

func BenchmarkMemberChange(b *testing.B) {
	c := newCluster(1, 14000, Config{MinNodes: 480})
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint(i))
	}
	s := c.sets[0]
	for i := 0; b.Loop(); i++ {
		s.SetMembers(c.now, names[:29+i%2])
		c.now += settleFor
		s.Step(c.now)
	}
}
