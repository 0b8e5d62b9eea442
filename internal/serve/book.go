package serve

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/consensus"
	store "ravenpond/internal/state/raftstore"
)

// keepBook begins to know the others, and to agree with them on the book where the site file names stewards.
func (s *Server) keepBook() error {
	if err := s.keepMembers(); err != nil {
		return err
	}
	place := s.who.Site
	if len(place.Members.Voters) == 0 {
		return nil
	}
	who := consensus.Config{Name: s.who.Name, Zone: s.who.Zone, Incarnation: s.circle.life, Voters: place.Members.Voters, Seed: s.who.Seed}
	switch at := slices.Index(place.Zones, s.who.Zone); {
	case at >= 0:
		who.Region = place.Regions[at]
	case s.who.Zone != "":
		return fmt.Errorf("zone %q: the site file has %q", s.who.Zone, place.Zones)
	}
	var disk control.Storage
	steward := slices.Contains(who.Voters, who.Name)
	if steward {
		open := s.who.VoterDisk
		if open == nil {
			open = func() (control.Storage, error) { return store.Open(s.who.Folder, place.Name) }
		}
		var err error
		if disk, err = open(); err != nil {
			return err
		}
	}
	run, err := control.Start(s.w, s.log, s.circle.run, who, disk, s.zonesOf(place))
	if err != nil {
		return err
	}
	s.control = run
	s.zones = s.newZones(place)
	s.every(lookZones, s.lookZones)
	s.log.Info().Str("mode", "council").Bool("steward", steward).Strs("stewards", who.Voters).Str("zone", who.Zone).Str("region", who.Region).Msg("agrees")
	return nil
}

// bookView is what people are shown of the book. The council's own part comes with the next look.
func (s *Server) bookView(now float64) *ClusterStateView {
	if s.control == nil {
		return nil
	}
	view := s.control.View()
	b := &ClusterStateView{
		Version: view.State.Version(), Digest: fmt.Sprintf("%016x", xxhash.Sum64(view.State.Snapshot())), LeaseSeconds: (view.LeaseExpiry - now) / 1000,
		Zones: map[string]string{},
	}
	if p, ok := view.State.Process(s.who.Name); ok {
		b.Epoch = p.Epoch
	}
	for _, z := range view.State.Zones() {
		b.Zones[z.Name] = z.State.String()
	}
	b.ZoneShares, b.SearchLevel = s.zones.shown()
	c := &s.circle
	c.mu.Lock()
	b.IsVoter, b.IsLeader, b.Halted, b.Stats = c.council.IsVoter, c.council.IsLeader, c.council.Halted, c.council.Stats
	c.mu.Unlock()
	s.control.Enqueue(func(k *consensus.Replica) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.council = ClusterStateView{IsVoter: slices.Contains(s.who.Site.Members.Voters, s.who.Name), IsLeader: k.IsLeader(), Halted: k.HaltReason(), Stats: k.Stats}
	})
	return b
}
