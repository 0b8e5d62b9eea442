package serve

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/site"
	"ravenpond/internal/state/raftstore"
)

// clusterControl is this process's part in the replicated cluster state, if the site file names voters. The methods stop, sendExcluded and view
// do nothing on a nil clusterControl.
type clusterControl struct {
	*process
	runner *control.Runner
	zones  *zoneRouting

	mu     sync.Mutex // guards status; a leaf lock
	status consensusStatus
}

// consensusStatus is the status that the replica last reported.
type consensusStatus struct {
	isVoter  bool
	isLeader bool
	halted   string // why the replica has stopped, empty if it has not
	stats    consensus.Stats
}

// startClusterControl starts the replica and zone routing. It returns nil if the site file names no voters.
func startClusterControl(s *Server) (*clusterControl, error) {
	siteConfig, ownZone := s.config.Site, s.config.Zone
	if len(siteConfig.Members.Voters) == 0 {
		return nil, nil
	}
	config := consensus.Config{Name: s.config.Name, Zone: ownZone, Incarnation: s.membership.incarnation, Voters: siteConfig.Members.Voters, Seed: s.config.Seed}
	switch zone := slices.Index(siteConfig.Zones, ownZone); {
	case zone >= 0:
		config.Region = siteConfig.Regions[zone]
	case ownZone != "":
		return nil, fmt.Errorf("zone %q is not one of the site file's zones %q", ownZone, siteConfig.Zones)
	}
	storage, err := openVoterStorage(s.process)
	if err != nil {
		return nil, err
	}
	runner, err := control.Start(s.env, s.log, s.membership.runner, config, storage, zoneConfig(siteConfig))
	if err != nil {
		return nil, err
	}
	c := &clusterControl{process: s.process, runner: runner, zones: newZoneRouting(s, runner)}
	c.zones.start()
	s.log.Info().Str("mode", "council").Bool("steward", c.isVoter()).Strs("stewards", config.Voters).Str("zone", config.Zone).Str("region", config.Region).Msg("cluster state replica started")
	return c, nil
}

// openVoterStorage opens the storage for the state that a voter must not lose. It returns nil for schedulers that are no voters.
func openVoterStorage(p *process) (control.Storage, error) {
	switch {
	case !slices.Contains(p.config.Site.Members.Voters, p.config.Name):
		return nil, nil
	case p.config.VoterDisk != nil:
		return p.config.VoterDisk()
	}
	return raftstore.Open(p.config.Folder, p.config.Site.Name)
}

// zoneConfig returns the configuration for decisions about zones.
func zoneConfig(siteConfig *site.Config) control.ZoneConfig {
	states := map[string]clusterstate.ZoneState{"open": clusterstate.Open, "closed": clusterstate.Closed}
	overrides := map[string]clusterstate.ZoneState{}
	for zone, state := range siteConfig.ZoneHolds {
		overrides[zone] = states[state]
	}
	return control.ZoneConfig{
		Zones: siteConfig.Zones, Overrides: overrides,
		Latency: func(from, to string) float64 { return siteConfig.RouteLatency[[2]string{from, to}] },
	}
}

func (c *clusterControl) isVoter() bool {
	return slices.Contains(c.config.Site.Members.Voters, c.config.Name)
}

// stop stops the replica.
func (c *clusterControl) stop() {
	if c != nil {
		c.runner.Stop()
	}
}

// sendExcluded tells a starting shard which nodes are excluded because of their zone.
func (c *clusterControl) sendExcluded(sh *shard) {
	if c != nil {
		c.zones.sendExcluded(sh)
	}
}

// view returns the view written for operators, or nil without voters. The replica's status in it was requested by the previous call; each call
// requests it for the next one.
func (c *clusterControl) view(now float64) *ClusterStateView {
	if c == nil {
		return nil
	}
	current := c.runner.View()
	view := &ClusterStateView{
		Version: current.State.Version(), Digest: fmt.Sprintf("%016x", xxhash.Sum64(current.State.Snapshot())),
		LeaseSeconds: (current.LeaseExpiry - now) / msPerSecond, Zones: map[string]string{},
	}
	if process, ok := current.State.Process(c.config.Name); ok {
		view.Epoch = process.Epoch
	}
	for _, zone := range current.State.Zones() {
		view.Zones[zone.Name] = zone.State.String()
	}
	view.ZoneShares, view.SearchLevel = c.zones.currentShares()
	c.mu.Lock()
	status := c.status
	c.mu.Unlock()
	view.IsVoter, view.IsLeader, view.Halted, view.Stats = status.isVoter, status.isLeader, status.halted, status.stats
	c.runner.Enqueue(c.setStatus)
	return view
}

// setStatus stores the replica's status. It runs on the replica's goroutine.
func (c *clusterControl) setStatus(replica *consensus.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = consensusStatus{isVoter: c.isVoter(), isLeader: replica.IsLeader(), halted: replica.HaltReason(), stats: replica.Stats}
}
