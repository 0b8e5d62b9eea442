package serve

import (
	"testing"
	"time"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/site"
)

// TestControlStalled has the goroutine of what is agreed on stand still while a scheduler that can't reach the other stewards is
// asked: traffic waits for none of it, by the last view in its careful reading.
func TestControlStalled(t *testing.T) {
	s := newTestCluster(t, 1, 4, false)
	local := make(chan *Server, 1)
	s.configure = func(who *Config) {
		who.MemberKey = []byte("a key of some length")
		who.Zone = who.Site.Zones[0]
		who.OnLocalListener = func(l *LocalListener) { local <- l.server }
	}
	place := *s.siteConfig
	place.Members = site.Members{Listen: "127.0.0.1:0", Seeds: []string{"127.0.0.1:9"}, Voters: []string{"s0", "s1", "s2"}}
	s.start(0, place, Faults{})
	server := <-local
	s.load(5000, 60, "0001112")
	stands, goes := make(chan bool), make(chan bool)
	server.control.Enqueue(func(*consensus.Replica) { close(stands); <-goes })
	<-stands
	began := s.world.Now()
	s.load(2500, 60, "0001112")
	time.Sleep(500 * time.Millisecond)
	view := server.control.View()
	close(goes)
	asked, served := 0, 0
	for _, x := range s.clients[0].Outcomes() {
		if x.SentAt >= began {
			if asked++; x.Result == "served" {
				served++
			}
		}
	}
	if served < 60 || served < asked*9/10 {
		t.Errorf("%d of %d were served while control stood still", served, asked)
	}
	if view.State.Version() != 0 || view.LeaseExpiry > server.env.Now() {
		t.Errorf("sure of version %d without the other stewards, for %g", view.State.Version(), view.LeaseExpiry)
	}
	if parts, _ := server.zones.currentShares(); len(parts) != len(place.Zones) || parts[place.Zones[1]] != 1 {
		t.Errorf("without a book it sends to %v", parts)
	}
}
