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
	siteConfig := s.config.Site
	if len(siteConfig.Members.Voters) == 0 {
		return nil
	}
	config := consensus.Config{Name: s.config.Name, Zone: s.config.Zone, Incarnation: s.membership.incarnation, Voters: siteConfig.Members.Voters, Seed: s.config.Seed}
	switch zone := slices.Index(siteConfig.Zones, s.config.Zone); {
	case zone >= 0:
		config.Region = siteConfig.Regions[zone]
	case s.config.Zone != "":
		return fmt.Errorf("zone %q: the site file has %q", s.config.Zone, siteConfig.Zones)
	}
	var disk control.Storage
	isVoter := slices.Contains(config.Voters, config.Name)
	if isVoter {
		open := s.config.VoterDisk
		if open == nil {
			open = func() (control.Storage, error) { return store.Open(s.config.Folder, siteConfig.Name) }
		}
		var err error
		if disk, err = open(); err != nil {
			return err
		}
	}
	runner, err := control.Start(s.env, s.log, s.membership.runner, config, disk, s.controlSite(siteConfig))
	if err != nil {
		return err
	}
	s.control = runner
	s.zones = s.newZoneRouting(siteConfig)
	s.every(zonePollInterval, s.pollZones)
	s.log.Info().Str("mode", "council").Bool("steward", isVoter).Strs("stewards", config.Voters).Str("zone", config.Zone).Str("region", config.Region).Msg("agrees")
	return nil
}

// clusterStateView is what people are shown of the book. The council's own part comes with the next look.
func (s *Server) clusterStateView(now float64) *ClusterStateView {
	if s.control == nil {
		return nil
	}
	view := s.control.View()
	out := &ClusterStateView{
		Version: view.State.Version(), Digest: fmt.Sprintf("%016x", xxhash.Sum64(view.State.Snapshot())), LeaseSeconds: (view.LeaseExpiry - now) / 1000,
		Zones: map[string]string{},
	}
	if process, ok := view.State.Process(s.config.Name); ok {
		out.Epoch = process.Epoch
	}
	for _, zone := range view.State.Zones() {
		out.Zones[zone.Name] = zone.State.String()
	}
	out.ZoneShares, out.SearchLevel = s.zones.currentShares()
	m := &s.membership
	m.mu.Lock()
	out.IsVoter, out.IsLeader, out.Halted, out.Stats = m.controlView.IsVoter, m.controlView.IsLeader, m.controlView.Halted, m.controlView.Stats
	m.mu.Unlock()
	s.control.Enqueue(func(replica *consensus.Replica) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.controlView = ClusterStateView{IsVoter: slices.Contains(s.config.Site.Members.Voters, s.config.Name), IsLeader: replica.IsLeader(), Halted: replica.HaltReason(), Stats: replica.Stats}
	})
	return out
}
