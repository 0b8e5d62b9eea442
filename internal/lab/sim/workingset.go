package sim

import (
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
)

// WorkingSetFaults are faults of the working set that scripts with one find. Faults that break no rule are found by the tests of
// decide/workingset.
var WorkingSetFaults = []ProgramFault{
	{Name: "a running task has no way home", Server: serve.Faults{AbandonTasks: true}},
	{Name: "nodes outside the set are not visited", Server: serve.Faults{SkipVisits: true}},
}

// workingSet configures the working set of the script's schedulers: so small and quick to change that nodes enter and leave it within
// seconds.
func (e *environment) workingSet() site.WorkingSet {
	switch {
	case e.simulation.WorkingSet != nil:
		return *e.simulation.WorkingSet
	case e.WorkingSetSize == 0:
		return site.WorkingSet{}
	}
	return site.WorkingSet{MinNodes: e.WorkingSetSize, SpareFactor: 1, NodesPerStart: 0.02, MinPerStratum: 1, NarrowAfter: 400}
}

// WithWorkingSet returns the script with a working set of at least so many nodes; shards that do not share connections do then.
func (s Script) WithWorkingSet(nodes int) Script {
	s.WorkingSetSize = nodes
	if s.ConnectionSharing == "own" {
		s.ConnectionSharing = "shared"
	}
	return s
}
