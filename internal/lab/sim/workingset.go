package sim

import (
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
)

// SetPlants are faults of the working set that scripts with a set are to find; those that break no rule are found by
// the tests of the decision.
var SetPlants = []Plant{
	{Name: "a running task has no way home", Serve: serve.Faults{AbandonTasks: true}},
	{Name: "nodes outside the set are not visited", Serve: serve.Faults{SkipVisits: true}},
}

// workingSet is the working set of the script's schedulers: so small and quick to change that a script of seconds sees
// nodes enter and leave it.
func (st *stage) workingSet() site.WorkingSet {
	switch {
	case st.game.Working != nil:
		return *st.game.Working
	case st.Set == 0:
		return site.WorkingSet{}
	}
	return site.WorkingSet{MinNodes: st.Set, SpareFactor: 1, NodesPerStart: 0.02, MinPerStratum: 1, NarrowAfter: 400}
}

// WithSet gives a drawn script's schedulers a working set of so many nodes.
func (s Script) WithSet(nodes int) Script {
	s.Set = nodes
	if s.Share == "own" {
		s.Share = "shared"
	}
	return s
}
