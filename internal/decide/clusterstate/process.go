package clusterstate

import "math"

// Activate makes the proposer's incarnation active in a zone and gives it a new epoch, which no process had before. An incarnation that is
// already active in that zone and region keeps its epoch. A process can only activate itself.
type Activate struct{ Process, Zone, Region string }

func (c Activate) apply(s *State, command *Command) Refusal {
	p, known := s.processes[c.Process]
	switch {
	case c.Process != command.Proposer:
		return UnknownProcess
	case known && command.Incarnation < p.Incarnation:
		return StaleIncarnation
	case known && command.Incarnation == p.Incarnation && !p.Inactive && p.Zone == c.Zone && p.Region == c.Region:
		return Accepted
	case !known && len(s.processes) >= maxProcesses && !s.evictInactive():
		return LimitReached
	}
	s.lastEpoch++
	p.Name, p.Incarnation, p.Epoch, p.Zone, p.Region, p.Inactive = c.Process, command.Incarnation, s.lastEpoch, c.Zone, c.Region, false
	s.processes[c.Process] = p
	return Accepted
}

// evictInactive removes the inactive process with the oldest epoch and reports whether there was one.
func (s *State) evictInactive() bool {
	oldest := Process{Epoch: math.MaxUint64}
	for _, p := range s.processes {
		if p.Inactive && p.Epoch < oldest.Epoch {
			oldest = p
		}
	}
	delete(s.processes, oldest.Name)
	return oldest.Name != ""
}

// Deactivate marks a process as inactive. It is refused if the process has another epoch by then, because it was activated again.
type Deactivate struct {
	Process string
	Epoch   uint64
}

func (c Deactivate) apply(s *State, _ *Command) Refusal {
	p, known := s.processes[c.Process]
	if !known || p.Inactive || p.Epoch != c.Epoch {
		return UnknownProcess
	}
	p.Inactive = true
	s.processes[c.Process] = p
	return Accepted
}
