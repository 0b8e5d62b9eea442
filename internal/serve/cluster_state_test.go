package serve

import (
	"testing"
	"time"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/site"
)

// TestConsensusReplicaStalled has the goroutine of the consensus replica stall while a scheduler serves that can't reach the other voters: requests
// wait for none of it, and are placed in degraded mode.
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
	began := s.world.Now()
	s.load(2500, 60, "0001112")
	time.Sleep(500 * time.Millisecond)
	view := server.clusterControl.runner.View()
	close(resume)
	requests, served := 0, 0
	for _, outcome := range s.clients[0].Outcomes() {
		if outcome.SentAt >= began {
			if requests++; outcome.Result == "served" {
				served++
			}
		}
	}
	if served < 60 || served < requests*9/10 {
		t.Errorf("%d of %d were served while control stood still", served, requests)
	}
	if view.State.Version() != 0 || view.LeaseExpiry > server.env.Now() {
		t.Errorf("sure of version %d without the other stewards, for %g", view.State.Version(), view.LeaseExpiry)
	}
	if shares, _ := server.clusterControl.zones.currentShares(); len(shares) != len(siteConfig.Zones) || shares[siteConfig.Zones[1]] != 1 {
		t.Errorf("without a book it sends to %v", shares)
	}
}
