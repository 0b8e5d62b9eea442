package serve

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/consensus"
	store "ravenpond/internal/state/raftstore"
)

// startControl begins to know the others, and to agree with them on the book where the site file names stewards.
func (s *Server) startControl() error {
	if err := s.startMembership(); err != nil {
		return err
	}
	place := s.config.Site
	if len(place.Members.Voters) == 0 {
		return nil
	}
	who := consensus.Config{Name: s.config.Name, Zone: s.config.Zone, Incarnation: s.membership.incarnation, Voters: place.Members.Voters, Seed: s.config.Seed}
	switch at := slices.Index(place.Zones, s.config.Zone); {
	case at >= 0:
		who.Region = place.Regions[at]
	case s.config.Zone != "":
		return fmt.Errorf("zone %q: the site file has %q", s.config.Zone, place.Zones)
	}
	var disk control.Storage
	steward := slices.Contains(who.Voters, who.Name)
	if steward {
		open := s.config.VoterDisk
		if open == nil {
			open = func() (control.Storage, error) { return store.Open(s.config.Folder, place.Name) }
		}
		var err error
		if disk, err = open(); err != nil {
			return err
		}
	}
	run, err := control.Start(s.env, s.log, s.membership.runner, who, disk, s.controlSite(place))
	if err != nil {
		return err
	}
	s.control = run
	s.zones = s.newZoneRouting(place)
	s.every(zonePollInterval, s.pollZones)
	s.log.Info().Str("mode", "council").Bool("steward", steward).Strs("stewards", who.Voters).Str("zone", who.Zone).Str("region", who.Region).Msg("agrees")
	return nil
}

// clusterStateView is what people are shown of the book. The council's own part comes with the next look.
func (s *Server) clusterStateView(now float64) *ClusterStateView {
	if s.control == nil {
		return nil
	}
	view := s.control.View()
	b := &ClusterStateView{
		Version: view.State.Version(), Digest: fmt.Sprintf("%016x", xxhash.Sum64(view.State.Snapshot())), LeaseSeconds: (view.LeaseExpiry - now) / 1000,
		Zones: map[string]string{},
	}
	if p, ok := view.State.Process(s.config.Name); ok {
		b.Epoch = p.Epoch
	}
	for _, z := range view.State.Zones() {
		b.Zones[z.Name] = z.State.String()
	}
	b.ZoneShares, b.SearchLevel = s.zones.currentShares()
	c := &s.membership
	c.mu.Lock()
	b.IsVoter, b.IsLeader, b.Halted, b.Stats = c.controlView.IsVoter, c.controlView.IsLeader, c.controlView.Halted, c.controlView.Stats
	c.mu.Unlock()
	s.control.Enqueue(func(k *consensus.Replica) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.controlView = ClusterStateView{IsVoter: slices.Contains(s.config.Site.Members.Voters, s.config.Name), IsLeader: k.IsLeader(), Halted: k.HaltReason(), Stats: k.Stats}
	})
	return b
}
