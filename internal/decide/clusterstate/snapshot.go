package clusterstate

import (
	"errors"
	"fmt"

	codec "ravenpond/internal/proto/clusterstate"
)

// ErrInvalid means that a state violates an invariant.
var ErrInvalid = errors.New("cluster state violates an invariant")

// Check verifies the state's invariants. It returns an error that wraps ErrInvalid if one is violated.
func (s *State) Check() error {
	if err := s.checkProcesses(); err != nil {
		return err
	}
	for name, z := range s.zones {
		if z.Name != name || z.State > Returning || z.Version == 0 || z.Version > s.version || z.Since > s.now ||
			z.State == Closed && z.RecentClosings == 0 {
			return fmt.Errorf("%w: zone %s is %+v at version %d", ErrInvalid, name, z, s.version)
		}
	}
	for route, cores := range s.shares {
		if cores == 0 || cores > codec.MaxCores || route.From == route.To {
			return fmt.Errorf("%w: share of %d cores from zone %s to zone %s", ErrInvalid, cores, route.From, route.To)
		}
	}
	return nil
}

// checkProcesses verifies that all processes have valid names and incarnations and different epochs.
func (s *State) checkProcesses() error {
	byEpoch := map[uint64]string{}
	for name, p := range s.processes {
		switch other, duplicate := byEpoch[p.Epoch]; {
		case duplicate:
			return fmt.Errorf("%w: processes %s and %s both have epoch %d", ErrInvalid, other, name, p.Epoch)
		case p.Epoch == 0 || p.Epoch > s.lastEpoch || p.Name != name || p.Incarnation == 0:
			return fmt.Errorf("%w: process %s is %+v, and the last epoch is %d", ErrInvalid, name, p, s.lastEpoch)
		}
		byEpoch[p.Epoch] = name
	}
	return nil
}

// Snapshot encodes the whole state. Equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	snapshot := codec.Snapshot{Version: s.version, Now: s.now, LastEpoch: s.lastEpoch, PlanVersion: s.planVersion}
	for _, p := range s.Processes() {
		snapshot.Processes = append(snapshot.Processes, codec.Process{
			Name: p.Name, Incarnation: p.Incarnation, Epoch: p.Epoch, Zone: p.Zone, Region: p.Region, Inactive: p.Inactive,
			CommandNumber: p.commandNumber, CommandRefusal: uint32(p.commandRefusal), CommandIncarnation: p.commandIncarnation,
		})
	}
	for _, z := range s.Zones() {
		snapshot.Zones = append(snapshot.Zones, codec.Zone{
			Name: z.Name, State: uint32(z.State), Since: z.Since, Version: z.Version,
			RecentClosings: z.RecentClosings, ClosedUntil: z.ClosedUntil, Cause: z.Cause,
		})
	}
	for _, route := range s.sortedRoutes() {
		snapshot.Shares = append(snapshot.Shares, codec.Share{From: route.From, To: route.To, Cores: s.shares[route]})
	}
	return codec.AppendSnapshot(nil, &snapshot)
}

// ReadSnapshot decodes a snapshot. It returns an error if the snapshot is malformed, has a format of a later version of the program, or violates an
// invariant.
func ReadSnapshot(snapshot []byte) (*State, error) {
	decoded, err := codec.ReadSnapshot(snapshot)
	if err != nil {
		return nil, fmt.Errorf("decode cluster state: %w", err)
	}
	s := New()
	s.version, s.now, s.lastEpoch, s.planVersion = decoded.Version, decoded.Now, decoded.LastEpoch, decoded.PlanVersion
	for _, p := range decoded.Processes {
		s.processes[p.Name] = Process{
			Name: p.Name, Zone: p.Zone, Region: p.Region, Incarnation: p.Incarnation, Epoch: p.Epoch, Inactive: p.Inactive,
			commandNumber: p.CommandNumber, commandIncarnation: p.CommandIncarnation, commandRefusal: Refusal(p.CommandRefusal),
		}
	}
	for _, z := range decoded.Zones {
		s.zones[z.Name] = Zone{
			Name: z.Name, State: ZoneState(z.State), Since: z.Since, Version: z.Version,
			RecentClosings: z.RecentClosings, ClosedUntil: z.ClosedUntil, Cause: z.Cause,
		}
	}
	for _, share := range decoded.Shares {
		s.shares[Route{share.From, share.To}] = share.Cores
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}
