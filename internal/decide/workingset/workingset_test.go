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

// cluster is the working sets of several schedulers on one clock.
type cluster struct {
	now   float64
	names []string
	sets  []*Set
	nodes int
}

func nodeOf(i int) Node { return Node{ID: uint32(i + 1), Zone: i % zones, Kind: i / zones % kinds} }

// newCluster makes schedulers that know each other and a list of nodes.
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

// oneOf returns the set of one of several schedulers, which stay the same.
func oneOf(schedulers, nodes int, config Config) (*cluster, *Set) {
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

// run lets time pass; each set gets the names of the members.
func (c *cluster) run(ms float64) (changes []Change) {
	for end := c.now + ms; c.now < end; c.now += 100 {
		for _, s := range c.sets {
			s.SetMembers(c.now, c.names)
			changes = append(changes, s.Step(c.now))
		}
	}
	return changes
}

// coverage returns the least and the largest number of sets that a node is in.
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

// bound returns the largest size that is to be expected of a set: four standard deviations of a binomial count above its mean.
func bound(mean float64) float64 { return mean + 4*math.Sqrt(mean) + zones*kinds*perStratum }

// checkSizes returns what is wrong with the sizes and the coverage of a cluster's sets.
func (c *cluster) checkSizes(mean float64) error {
	for _, s := range c.sets {
		if float64(s.Size()) > bound(mean) || float64(s.Size()) < mean-4*math.Sqrt(mean) {
			return fmt.Errorf("%s has %d nodes, about %.0f are expected", s.config.Self, s.Size(), mean)
		}
	}
	each := mean * float64(len(c.sets)) / float64(c.nodes)
	least, most := c.coverage()
	if least < int(each) || most > int(each)+2 {
		return fmt.Errorf("nodes are in %d to %d sets, %.1f are expected", least, most, each)
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
				t.Errorf("%d schedulers, %d nodes: %v changes with nothing to cause it", test.schedulers, test.nodes, change)
			}
		}
	}
}

func TestSkippedNodesAreFound(t *testing.T) {
	c := newCluster(30, 1300, Config{MinNodes: 480, Coverage: 1, Faults: Faults{SkipNodes: true}})
	if c.checkSizes(480) == nil {
		t.Error("nodes in no set pass the check")
	}
}

// memberChange removes a scheduler or adds one, and returns which fraction of the sets changes.
func memberChange(joins bool, faults Faults) (part float64, least int) {
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
		part, least := memberChange(joins, Faults{})
		if part > 2.0/30 || least < 9 {
			t.Errorf("joins %t: %.3f of the sets change, nodes in %d sets at least", joins, part, least)
		}
	}
	if part, _ := memberChange(false, Faults{ForgetSet: true}); part <= 2.0/30 {
		t.Errorf("sets that are forgotten pass the check: %.3f change", part)
	}
}

// TestMembersSettle has a scheduler start and end faster than the others apply it.
func TestMembersSettle(t *testing.T) {
	c := newCluster(10, 500, Config{MinNodes: 100, Coverage: 1})
	all := c.names
	for i := range 40 {
		c.names = all[:len(all)-i%2]
		for _, change := range c.run(settleFor / 3) {
			if len(change.Added)+len(change.Removed) > 0 {
				t.Fatalf("%v after a member that flaps", change)
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
		t.Errorf("%d changes in 30 sets after one node of 1300 left", moved)
	}
}

// TestEveryStratum checks that each set holds nodes of each zone and kind where one kind is rare.
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
		t.Errorf("%d nodes of the rare kind", rare)
	}
}

func TestSizeFollowsLoad(t *testing.T) {
	c, s := oneOf(30, 5000, Config{MinNodes: 100, Spare: 8})
	sizes := map[float64]int{}
	for _, machines := range []float64{0, 50, 51, 100, 0} {
		s.SetLoad(Load{Machines: machines})
		c.run(1000)
		sizes[machines] = s.Size()
	}
	if sizes[50] < 400 || sizes[50] != sizes[51] || sizes[100] < 800 || sizes[0] != sizes[100] {
		t.Errorf("sizes by load: %v", sizes)
	}
	c.run(2*narrowAfter + 1000)
	if s.Size() > 150 {
		t.Errorf("%d nodes long after the load went", s.Size())
	}
}

// TestDrainingStays checks that a draining node stays in the set until it is removed from the list, and is not added.
func TestDrainingStays(t *testing.T) {
	c, s := oneOf(2, 40, Config{MinNodes: 10, Coverage: 1})
	for i := range c.nodes {
		n := nodeOf(i)
		was := s.Contains(n.ID)
		n.State = Draining
		s.PutNode(n)
		c.run(200)
		if s.Contains(n.ID) != was {
			t.Fatalf("node %d: in the set %t, %t when it drains", n.ID, was, s.Contains(n.ID))
		}
		s.PutNode(nodeOf(i))
		c.run(200)
	}
	for i := range c.nodes {
		s.RemoveNode(nodeOf(i).ID)
	}
	if s.Size() != 0 || len(s.nodes) != 0 {
		t.Errorf("%d in the set, %d known after all left", s.Size(), len(s.nodes))
	}
}

// TestRandomHistories makes random calls: the sum of the changes is what the set holds.
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

// setModel is a set, the node list, and what the set holds by its changes.
type setModel struct {
	t      *rapid.T
	set    *Set
	now    float64
	listed map[uint32]State
	inSet  map[uint32]bool
}

// call makes a random call, for a node if it needs one.
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

// step lets time pass and applies what changes.
func (m *setModel) step() {
	m.now += rapid.Float64Range(0, 40_000).Draw(m.t, "passes")
	change := m.set.Step(m.now)
	for _, id := range change.Added {
		if state, ok := m.listed[id]; m.inSet[id] || !ok || state != Ready {
			m.t.Fatalf("%d is added, in the set %t, listed %t %d", id, m.inSet[id], ok, state)
		}
		m.inSet[id] = true
	}
	for _, removal := range change.Removed {
		if !m.inSet[removal.ID] {
			m.t.Fatalf("%d is removed and is not in the set", removal.ID)
		}
		delete(m.inSet, removal.ID)
	}
}

func (m *setModel) check() {
	if len(m.inSet) != m.set.Size() {
		m.t.Fatalf("%d by the changes, size %d", len(m.inSet), m.set.Size())
	}
	ready := 0
	for _, state := range m.listed {
		if state == Ready {
			ready++
		}
	}
	if ready != m.set.ready || ready > 0 && m.set.Size() == 0 {
		m.t.Fatalf("%d ready, counted %d, %d in the set", ready, m.set.ready, m.set.Size())
	}
}

// TestSameHistorySameSet checks that the order of nodes and members does not matter.
func TestSameHistorySameSet(t *testing.T) {
	build := func(reverse bool) (in []uint32) {
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
				in = append(in, nodeOf(i).ID)
			}
		}
		return in
	}
	if x, y := build(false), build(true); !slices.Equal(x, y) {
		t.Errorf("%v and %v", x, y)
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
