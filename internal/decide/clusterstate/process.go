package clusterstate

import "math"

// Activate starts the proposer's incarnation in a zone, under an epoch that no process had before. A process proposes it for itself only.
type Activate struct{ Process, Zone, Region string }

func (c Activate) apply(s *State, by *Command) Refusal {
	p, known := s.processes[c.Process]
	switch {
	case c.Process != by.Proposer:
		return UnknownProcess
	case known && by.Incarnation < p.Incarnation:
		return StaleIncarnation
	case known && by.Incarnation == p.Incarnation && !p.Inactive && p.Zone == c.Zone && p.Region == c.Region:
		return Accepted
	case !known && len(s.processes) >= maxProcesses && !s.evictInactive():
		return LimitReached
	}
	s.lastEpoch++
	p.Name, p.Incarnation, p.Epoch, p.Zone, p.Region, p.Inactive = c.Process, by.Incarnation, s.lastEpoch, c.Zone, c.Region, false
	s.processes[c.Process] = p
	return Accepted
}

// evictInactive drops the inactive process with the oldest epoch, and reports whether there was one.
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

// Deactivate marks a process as inactive, unless it has got another epoch meanwhile.
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
