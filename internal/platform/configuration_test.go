package platform

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	codec "ravenpond/internal/proto/platform"
)

// TestUnusualStarts starts, or reconfigures, schedulers in unusual conditions of the journal service and the node list.
func TestUnusualStarts(t *testing.T) {
	t.Run("the journal service is silent", startWithSilentJournal)
	t.Run("all nodes of the initial list are gone or draining", startWithoutReadyNodes)
	t.Run("an event names a node twice", startWithNodeNamedTwice)
	t.Run("the configuration changes during the shutdown", configureWhileStopping)
}

func startWithSilentJournal(t *testing.T) {
	t.Helper()
	r := startRig(t, "a", "b")
	r.journal.silent = true
	r.process.Kill(false)
	r.process.Start()
	r.start()
	x := r.dial()
	x.request(7, "single")
	r.advance(3000)
	if len(x.received) != 1 || !strings.HasPrefix(x.received[0], "7 served") {
		t.Errorf("with a silent journal service the client received %q, want one message, which says that task 7 is served", x.received)
	}
	r.journal.silent = false
	r.journal.publish(entryJSON("a", "a", "draining"), entryJSON("b", "b", "gone"))
	r.advance(6000)
	x.received = nil
	x.request(8, "single")
	r.advance(3000)
	x.want("all nodes drain once the journal service is heard again", "8 end 42")
}

func startWithoutReadyNodes(t *testing.T) {
	t.Helper()
	r := startRig(t, "a", "b")
	r.process.Kill(false)
	r.process.Start()
	first := eventJSON(1, true, entryJSON("a", "a", "draining"), entryJSON("b", "b", "gone"))
	r.journal.events = []string{first}
	r.configuration.InitialEvents = []byte(`{"pos":1,"entries":[` + first + `]}`)
	r.start()
	x := r.dial()
	x.send(setUp(6, "batch", codec.ParamDemand, demandText+";at:a"))
	r.advance(200)
	r.nodes["a"].conns[len(r.nodes["a"].conns)-1].send(message(codec.KindEnd, 6, codec.ParamCause, string(byte(codec.CauseNormal)),
		codec.ParamReport, "x0:3;x1:9"))
	x.request(7, "single")
	r.advance(6000)
	x.want("the end of the task that runs on the draining node, and a rejection of the new one", "6 end 16", "7 end 42")
	r.journal.publish(entryJSON("b", "b", "ready"))
	r.advance(3000)
	x.received = nil
	x.request(8, "single")
	r.advance(1000)
	x.want("after node b is ready again", "8 served "+r.nodes["b"].description(8))
}

func startWithNodeNamedTwice(t *testing.T) {
	t.Helper()
	r := startRig(t, "a", "b")
	r.journal.publish(entryJSON("a", "a", "ready"), entryJSON("a", "a", "draining"), entryJSON("a", "a", "draining"))
	r.advance(2000)
	x := r.dial()
	for task := range uint64(6) {
		x.request(task+1, "batch")
	}
	r.advance(500)
	if n := len(r.nodes["a"].setUps); n != 0 || len(x.received) != 6 {
		t.Errorf("%d tasks were sent to the node that drains by its last entry, want 0; the client received %q, want 6 messages", n, x.received)
	}
}

func configureWhileStopping(t *testing.T) {
	t.Helper()
	r := startRig(t, "a")
	x := r.dial()
	r.nodes["a"].onSetUp = func(*testConn, uint64) {}
	x.request(7, "single")
	r.advance(20)
	r.server.Stop()
	moved := *r.configuration
	moved.Journal = "journal:2"
	r.server.ApplyConfiguration(&moved)
	r.advance(6000)
	x.want("the answer at the shutdown", "7 end 41")
	select {
	case <-r.server.Done():
	default:
		t.Error("the scheduler has not shut down after 6 s")
	}
}

// TestRun checks that Run names a configuration file that can't be read in its error.
func TestRun(t *testing.T) {
	t.Setenv("GW_CONFIG", filepath.Join(t.TempDir(), "none.json"))
	if err := Run(zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("Run without a configuration file: error %v, want one that names none.json", err)
	}
}

// TestRead checks that the error of an invalid configuration names the field at fault.
func TestRead(t *testing.T) {
	good := `{"name":"n3","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},` +
		`"journal":"10.2.0.1:4222","known":{"pos":0,"entries":[]},"settings":` + settingsText + `}`
	c, err := Read([]byte(good))
	if err != nil || c.Seed != 0x8c1f30d27a5be964 || c.Journal != "10.2.0.1:4222" || c.MemoryMB != 64 || c.Sockets != 256 {
		t.Errorf("Read of a valid configuration: %+v, error %v", c, err)
	}
	for _, x := range []struct{ old, new, want string }{
		{`"journal":"10.2.0.1:4222"`, `"journal":"10.2.0.1"`, "journal"},
		{`"listen":"10.0.0.4:5060",`, ``, "listen"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"sockets":256`, `"sockets":0`, "limits"},
		{`"sockets":256`, `"sockets":31`, "sockets"},
		{`"memory_mb":64`, `"memory_mb":1e9`, "memory_mb"},
		{`"conn-idle-ns": 30000000000`, `"conn-idle-ns": 0`, "conn-idle-ns"},
		{`"name": "marked"`, `"name": "batch"`, "services 1 name"},
		{`"known":{"pos":0,"entries":[]},`, ``, "known"},
		{`"effect": "free"`, `"effect": "odd"`, `settings: services 0 (batch) effect: unknown value "odd"`},
		{`{"name"`, `{`, "invalid"},
	} {
		if _, err := Read([]byte(strings.Replace(good, x.old, x.new, 1))); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("with %s: error %v, want one that contains %q", x.new, err, x.want)
		}
	}
}
