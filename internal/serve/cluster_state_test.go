package serve

import (
	"testing"
	"time"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/site"
)

// TestConsensusReplicaStalled stalls the goroutine of the consensus replica at a scheduler that can't reach the other voters. Requests must not
// wait for the replica, and have to be placed in degraded mode.
func TestConsensusReplicaStalled(t *testing.T) {
	s := newTestCluster(t, 1, 4, false)
	local := make(chan *Server, 1)
	s.configure = func(config *Config) {
		config.MemberKey = []byte("a key of some length")
		config.Zone = config.Site.Zones[0]
		config.OnLocalListener = func(l *LocalListener) { local <- l.server }
	}
	siteConfig := *s.siteConfig
	siteConfig.Members = site.Members{Listen: "127.0.0.1:0", Seeds: []string{"127.0.0.1:9"}, Voters: []string{"s0", "s1", "s2"}}
	s.start(0, siteConfig, Faults{})
	server := <-local
	s.load(5000, 60, "0001112")
	stalled, resume := make(chan bool), make(chan bool)
	server.clusterControl.runner.Enqueue(func(*consensus.Replica) { close(stalled); <-resume })
	<-stalled
	stalledAt := s.testbed.Now()
	s.load(2500, 60, "0001112")
	time.Sleep(500 * time.Millisecond)
	view := server.clusterControl.runner.View()
	close(resume)
	requests, served := 0, 0
	for _, outcome := range s.clients[0].Outcomes() {
		if outcome.SentAt >= stalledAt {
			if requests++; outcome.Result == "served" {
				served++
			}
		}
	}
	if served < 60 || served < requests*9/10 {
		t.Errorf("got %d of %d requests served while the replica was stalled, want at least 60, and at least 90%%", served, requests)
	}
	if view.State.Version() != 0 || view.LeaseExpiry > server.env.Now() {
		t.Errorf("got version %d and a lease until %g ms without the other voters, want version 0 and an expired lease", view.State.Version(), view.LeaseExpiry)
	}
	if shares, _ := server.clusterControl.zones.currentShares(); len(shares) != len(siteConfig.Zones) || shares[siteConfig.Zones[1]] != 1 {
		t.Errorf("got zone shares %v without a cluster state, want all zones, the second in full", shares)
	}
}
