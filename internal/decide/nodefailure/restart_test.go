package nodefailure

import "testing"

// TestHasEnded guards against tasks that are held for good after their node came back as another process, and against ending a task that the new
// process runs: the list tells at 21000 ms of a process that started at 20000 ms.
func TestHasEnded(t *testing.T) {
	connection := func(dialed, established, received float64, broken bool) *Connection {
		return &Connection{DialedAt: dialed, EstablishedAt: established, ReceivedAt: received, Broken: broken}
	}
	for _, c := range []struct {
		name string
		task Placement
		want bool
	}{
		{"answered long before", Placement{10000, connection(9900, 9901, 12000, false)}, true},
		{"answered long before, connection broken", Placement{10000, connection(9900, 9901, 12000, true)}, true},
		{"answered long before, connection open, messages read late", Placement{10000, connection(9900, 9901, 22000, false)}, true},
		{"answer of the earlier process read late", Placement{20800, connection(9900, 9901, 20800, true)}, true},
		{"answered by the new process before the list told", Placement{20800, connection(20600, 20601, 20800, false)}, false},
		{"answered by the new process, connection reset since", Placement{20800, connection(20600, 20601, 20800, true)}, false},
		{"answered by the new process after the list told", Placement{30000, connection(29000, 29001, 30000, true)}, false},
		{"within the tolerance, connection open", Placement{20300, connection(20200, 20201, 20300, false)}, false},
		{"within the tolerance, connection reset", Placement{20300, connection(20200, 20201, 20300, true)}, true},
		{"within the tolerance, reset after the new process sent something", Placement{20300, connection(20200, 20201, 21001, true)}, false},
		{"connected within the tolerance, answered after it, reset", Placement{20800, connection(20200, 20201, 20800, true)}, false},
		{"just before, within the tolerance, connection open", Placement{19800, connection(19700, 19701, 19800, false)}, false},
		{"just before, within the tolerance, connection reset", Placement{19800, connection(19700, 19701, 19800, true)}, true},
		{"the connection took from before the start until after it", Placement{20800, connection(20400, 20700, 20800, false)}, false},
		{"handed over long before", Placement{10000, nil}, true},
		{"handed over within the tolerance", Placement{19800, nil}, false},
		{"handed over since", Placement{20800, nil}, false},
	} {
		var start ProcessStart
		if !start.OnListed(21000, 20000) {
			t.Fatal("a start time in the list, after none: got no restart")
		}
		if got := start.HasEnded(c.task); got != c.want {
			t.Errorf("%s: got ended %t, want %t", c.name, got, c.want)
		}
	}
}

// TestOnListed checks which start times in the node list tell of another process.
func TestOnListed(t *testing.T) {
	var start ProcessStart
	task := Placement{10000, nil}
	if start.OnListed(15000, 0) || start.HasEnded(task) {
		t.Error("a node that started long ago: got a restart or an ended task")
	}
	for _, c := range []struct {
		name             string
		now, startedAt   float64
		restarted, ended bool
	}{
		{"started before the task", 15000, 5000, true, false},
		{"listed again", 16000, 5000, false, false},
		{"listed without a start time", 17000, 0, false, false},
		{"restarted", 21000, 20000, true, true},
		{"restarted a second time", 23000, 22000, true, true},
		{"an earlier start listed late", 24000, 20000, false, true},
	} {
		if got := start.OnListed(c.now, c.startedAt); got != c.restarted {
			t.Errorf("%s: got restarted %t, want %t", c.name, got, c.restarted)
		}
		if got := start.HasEnded(task); got != c.ended {
			t.Errorf("%s: got ended %t, want %t", c.name, got, c.ended)
		}
	}
	if !start.OnListed(30000, 90000) || start.HasEnded(Placement{31000, nil}) {
		t.Error("a start time that lies a minute ahead: got no restart, or the end of a task that was handed over since")
	}
}

// TestMayLeadTo checks which connections to an address may lead to the process that started there at 20000 ms.
func TestMayLeadTo(t *testing.T) {
	var start ProcessStart
	if start.MayLeadTo(&Connection{DialedAt: 1, EstablishedAt: 2}) {
		t.Error("a node that started long ago: got a connection that may lead to a later process")
	}
	start.OnListed(21000, 20000)
	for established, want := range map[float64]bool{0: true, 19000: false, 19600: true, 20100: true, 25000: true} {
		if got := start.MayLeadTo(&Connection{DialedAt: 18000, EstablishedAt: established}); got != want {
			t.Errorf("established at %g ms: got %t, want %t", established, got, want)
		}
	}
}
