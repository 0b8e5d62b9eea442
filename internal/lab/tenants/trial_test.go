package tenants

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestHandshakes plays a short day beside more half-open handshakes than may be under way: tenants come in and are served.
func TestHandshakes(t *testing.T) {
	var out strings.Builder
	_, _, unanswered, err := Handshakes(context.Background(), &out, Trial{Tenants: 4, Nodes: 4, Shards: 1, Duration: time.Second, Seed: 1}, 200)
	if err != nil || unanswered > 0 {
		t.Error(unanswered, err, out.String())
	}
}

// TestInjectedShareFault plays a flood whose tenant is taken to have a hundred shares: the calm ones must be seen to suffer.
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
		t.Errorf("worst calm tenant: %.3f", worst)
	}
}

// TestFlood plays a short day with a tenant that floods and one without: nobody is left unanswered, nothing starts twice, and calm
// tenants keep most of their day, whatever machine this is.
func TestFlood(t *testing.T) {
	var out strings.Builder
	worst, err := Table(context.Background(), &out, Trial{Tenants: 6, Nodes: 4, Shards: 2, Flood: 8, ReconnectFlood: true, Duration: 4 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"unanswered: 0\n", "second starts: 0\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q", want)
		}
	}
	if worst < 0.7 {
		t.Errorf("worst calm tenant: %.3f", worst)
	}
	if t.Failed() {
		t.Log(out.String())
	}
}
