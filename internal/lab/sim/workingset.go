package sim

import (
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
)

// WorkingSetFaults are faults of the working set that scripts with a set are to find; those that break no rule are found by
// the tests of the decision.
var WorkingSetFaults = []ProgramFault{
	{Name: "a running task has no way home", Server: serve.Faults{AbandonTasks: true}},
	{Name: "nodes outside the set are not visited", Server: serve.Faults{SkipVisits: true}},
}

// workingSet is the working set of the script's schedulers: so small and quick to change that a script of seconds sees
// nodes enter and leave it.
func (st *environment) workingSet() site.WorkingSet {
	switch {
	case st.simulation.WorkingSet != nil:
		return *st.simulation.WorkingSet
	case st.WorkingSetSize == 0:
		return site.WorkingSet{}
	}
	return site.WorkingSet{MinNodes: st.WorkingSetSize, SpareFactor: 1, NodesPerStart: 0.02, MinPerStratum: 1, NarrowAfter: 400}
}

// WithWorkingSet gives a drawn script's schedulers a working set of so many nodes.
func (s Script) WithWorkingSet(nodes int) Script {
	s.WorkingSetSize = nodes
	if s.ConnectionSharing == "own" {
		s.ConnectionSharing = "shared"
	}
	return s
}
