package budget

import "testing"

func TestDivide(t *testing.T) {
	for _, c := range []struct{ sockets, memory int }{{256, 32}, {384, 64}, {1024, 192}, {4096, 2048}, {16, 8}} {
		p := Divide(c.sockets, c.memory)
		if c.sockets > 100 && (p.ClientConns+p.NodeConns+p.LingeringConns+p.ProvisionalConns > c.sockets-reservedDescriptors || p.LingeringConns < 3 || p.ProvisionalConns < 3 || p.ClientConns < c.sockets/3 || p.NodeConns < c.sockets/4) {
			t.Errorf("%d descriptors: %+v", c.sockets, p)
		}
		if p.ClientConns < 1 || p.NodeConns < 1 || p.Open < 64 || p.OpenPerConn > p.Open || p.MemorySoftLimit >= c.memory<<20 {
			t.Errorf("%+v: %+v", c, p)
		}
	}
}

// TestDecideNodeConn tries each purpose of a connection: there are never more connections than the limit.
func TestDecideNodeConn(t *testing.T) {
	p := Limits{NodeConns: 10}
	for _, c := range []struct {
		name string
		w    NodeConnRequest
		want Action
	}{
		{"below the limit", NodeConnRequest{Purpose: ForHealthCheck, Held: 9}, Connect},
		{"a placement takes a spare one", NodeConnRequest{Purpose: ForPlacement, Held: 10, Idle: 3, Spare: 1}, Replace},
		{"a placement takes any that is idle", NodeConnRequest{Purpose: ForPlacement, Held: 10, Idle: 1}, Replace},
		{"a placement where all are in use", NodeConnRequest{Purpose: ForPlacement, Held: 10}, Skip},
		{"a probe takes a spare one", NodeConnRequest{Purpose: ForProbe, Held: 11, Idle: 1, Spare: 1}, Replace},
		{"a health check takes a spare one", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, Spare: 1}, Replace},
		{"a health check leaves another's alone", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, SinceCheck: 500}, Skip},
		{"but not for long", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, Idle: 2, SinceCheck: 3000}, Replace},
		{"a health check where all are in use", NodeConnRequest{Purpose: ForHealthCheck, Held: 10, SinceCheck: 9000}, Skip},
	} {
		if got := p.DecideNodeConn(c.w); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	for held := range 30 {
		for idle := range 3 {
			for _, f := range []Purpose{ForPlacement, ForProbe, ForHealthCheck} {
				if d := p.DecideNodeConn(NodeConnRequest{Purpose: f, Held: held, Idle: idle, SinceCheck: 1e9}); d == Connect && held >= p.NodeConns || d == Replace && idle == 0 {
					t.Errorf("%d for %d held, %d idle", d, held, idle)
				}
			}
		}
	}
}
