package tenants

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestHandshakes holds more handshakes open than the scheduler allows at a time. Tenants must still be able to connect, and all requests be answered.
func TestHandshakes(t *testing.T) {
	var out strings.Builder
	_, _, unanswered, err := Handshakes(context.Background(), &out, Trial{Tenants: 4, Nodes: 4, Shards: 1, Duration: time.Second, Seed: 1}, 200)
	if err != nil || unanswered > 0 {
		t.Error(unanswered, err, out.String())
	}
}

// TestInjectedShareFault injects a fault: the flooding tenant has a share of 100 instead of 1. The results must show that the calm tenants lose value.
func TestInjectedShareFault(t *testing.T) {
	all, err := Play(context.Background(), Trial{Tenants: 6, Nodes: 4, Shards: 2, Flood: 8, FirstShare: 100, Duration: 4 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	worst := 1.0
	for _, g := range all[1:] {
		worst = min(worst, g.Value/max(1, g.Offered))
	}
	if worst >= 0.7 {
		t.Errorf("the worst calm tenant got %.3f of the value of its requests, want less than 0.7", worst)
	}
}

// TestFlood runs short trials with and without a tenant that floods. All requests must be answered, no at-most-once task may start twice, and the
// calm tenants must keep at least 70% of their value, even on a slow machine.
func TestFlood(t *testing.T) {
	var out strings.Builder
	worst, err := CompareFlood(context.Background(), &out, Trial{Tenants: 6, Nodes: 4, Shards: 2, Flood: 8, ReconnectFlood: true, Duration: 4 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"unanswered: 0\n", "second starts: 0\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table does not contain %q", want)
		}
	}
	if worst < 0.7 {
		t.Errorf("the worst calm tenant got %.3f of its value without a flood, want at least 0.7", worst)
	}
	if t.Failed() {
		t.Log(out.String())
	}
}
