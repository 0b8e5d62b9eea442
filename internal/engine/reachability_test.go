package engine

import "testing"

// TestLostNodesAreAvoided checks that nodes whose connections ended, or that can't be dialed, get no attempts while another node is connected, and
// that they are used again once they are connected.
func TestLostNodesAreAvoided(t *testing.T) {
	h := newHarness(t, true)
	h.engine.OnDisconnected(h.now, 1)
	h.engine.OnDisconnected(h.now, 2)
	h.engine.OnDialFailed(h.now, 3)
	for number := range uint64(6) {
		h.request(number+1, restartable, 2000)
		if err := h.reportStart(20); err != nil {
			t.Fatal(err)
		}
	}
	if h.offers[4] != 6 {
		t.Errorf("got offers by node %v, want 6 at node 4, the only one that is connected", h.offers)
	}
	h.connect(1, 1)
	h.engine.OnDisconnected(h.now, 4)
	h.request(7, restartable, 2000)
	if h.offers[1] != 1 {
		t.Errorf("got offers by node %v, want one at node 1, which has connected again", h.offers)
	}
}
