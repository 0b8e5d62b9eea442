package budget

import "testing"

func TestDivide(t *testing.T) {
	for _, c := range []struct{ descriptors, memoryMB int }{{256, 32}, {384, 64}, {1024, 192}, {4096, 2048}, {16, 8}} {
		limits := Divide(c.descriptors, c.memoryMB)
		if c.descriptors > 100 && (limits.ClientConns+limits.NodeConns+limits.LingeringConns+limits.ProvisionalConns > c.descriptors-reservedDescriptors || limits.LingeringConns < 3 || limits.ProvisionalConns < 3 || limits.ClientConns < c.descriptors/3 || limits.NodeConns < c.descriptors/4) {
			t.Errorf("%d descriptors: got %+v, want all connections within the descriptors and each kind above its minimum", c.descriptors, limits)
		}
		if limits.ClientConns < 1 || limits.NodeConns < 1 || limits.Open < 64 || limits.OpenPerConn > limits.Open || limits.MemorySoftLimit >= c.memoryMB<<20 {
			t.Errorf("%+v: got %+v, want at least 1 connection of each side, 64 open allocations and a soft limit below the memory", c, limits)
		}
	}
}

// TestDecideNodeConn checks the decision for each purpose of a connection, and that the number of connections never exceeds the limit.
func TestDecideNodeConn(t *testing.T) {
	limits := Limits{NodeConns: 10}
	for _, c := range []struct {
		name    string
		request NodeConnRequest
		want    Action
	}{
		{"below the limit", NodeConnRequest{Purpose: ForHealthCheck, Held: 9}, Connect},
		{"placement replaces a spare connection", NodeConnRequest{Purpose: ForPlacement, Held: 10, Idle: 3, Spare: 1}, Replace},
		{"placement replaces any idle connection", NodeConnRequest{Purpose: ForPlacement, Held: 10, Idle: 1}, Replace},
		{"placement with all connections in use", NodeConnRequest{Purpose: ForPlacement, Held: 10}, Skip},
		{"probe replaces a spare connection", NodeConnRequest{Purpose: ForProbe, Held: 11, Idle: 1, Spare: 1}, Replace},
		{"health check replaces a spare connection", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, Spare: 1}, Replace},
		{"early health check does not replace another node's connection", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, SinceCheck: 500}, Skip},
		{"health check replaces another node's connection after the interval", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, SinceCheck: 3000}, Replace},
		{"health check of a process that exits", NodeConnRequest{Purpose: ForHealthCheck, Held: 1, Ending: true}, Skip},
		{"probe of a process that exits", NodeConnRequest{Purpose: ForProbe, Held: 1, Ending: true}, Skip},
		{"placement of a process that exits", NodeConnRequest{Purpose: ForPlacement, Held: 1, Ending: true}, Connect},
		{"health check with all connections in use", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, SinceCheck: 9000}, Skip},
	} {
		if got := limits.DecideNodeConn(c.request); got != c.want {
			t.Errorf("%s: got action %d, want %d", c.name, got, c.want)
		}
	}
	for held := range 30 {
		for idle := range 3 {
			for _, purpose := range []Purpose{ForPlacement, ForProbe, ForHealthCheck} {
				if action := limits.DecideNodeConn(NodeConnRequest{Purpose: purpose, Held: held, Idle: idle, SinceCheck: 1e9}); action == Connect && held >= limits.NodeConns || action == Replace && idle == 0 {
					t.Errorf("got action %d for %d held and %d idle connections, want no connection beyond the limit and a replacement only of an idle one", action, held, idle)
				}
			}
		}
	}
}
