package sim

import (
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
)

// WorkingSetFaults are faults of the working set that scripts with a working set detect. The tests of decide/workingset detect faults that
// violate no rule.
var WorkingSetFaults = []ProgramFault{
	{Name: "a running task has no way home", Server: serve.Faults{AbandonTasks: true}},
	{Name: "nodes outside the set are not visited", Server: serve.Faults{SkipVisits: true}},
}

// workingSet returns the configuration of the schedulers' working sets. Those of scripts are so small and change so quickly that nodes enter
// and leave them within seconds.
func (e *environment) workingSet() site.WorkingSet {
	switch {
	case e.simulation.WorkingSet != nil:
		return *e.simulation.WorkingSet
	case e.WorkingSetSize == 0:
		return site.WorkingSet{}
	}
	return site.WorkingSet{MinNodes: e.WorkingSetSize, SpareFactor: 1, NodesPerStart: 0.02, MinPerStratum: 1, NarrowAfter: 400}
}

// WithWorkingSet returns the script with working sets of at least the given number of nodes. Shards with connections of their own become
// shards that share connections.
func (s Script) WithWorkingSet(nodes int) Script {
	s.WorkingSetSize = nodes
	if s.ConnectionSharing == "own" {
		s.ConnectionSharing = "shared"
	}
	return s
}
