package platformproc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const settingsText = `{"instances": 1, "discovery": "ask", "step-ns": 2000000, "kinds": ["std"], "zones": ["east", "west"],
 "projects": [{"name": "acme", "portion": 1}],
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [32], "mem-of-kind": [64], "kind-by-class": [-1, -1, -1],
  "spread-over": ["silent", "silent", "silent"], "lists-free": true, "cold-bears": 200, "unit-cores": 1, "mean-memory": 2, "settle-ns": 1500000000},
 "policy-limits": {"max-attempts": 4, "probes": true, "cancel": true, "conn-idle-ns": 30000000000, "connect-timeout-ns": 1500000000,
  "open-cap": 1000000},
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"cold-ns": 1000000000, "overload-for-ns": 2000000000, "ask-every-ns": 10000000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 4000000000, "effect": "free", "worth": 1, "group": "all"},
  {"name": "marked", "aim-ns": 700000000, "deadline-ns": 4000000000, "effect": "guarded", "worth": 1, "group": "zone", "window-ns": 8000000000},
  {"name": "single", "aim-ns": 700000000, "deadline-ns": 4000000000, "effect": "single_shot", "worth": 1, "group": "all"}]}`

// Limits by the pages.
const (
	requestTimeout = 4 * time.Second
	answerSlack    = 550 * time.Millisecond // up to half a second after its time an answer only earns nothing, and each limit is 50 ms longer
	endLimit       = 8050 * time.Millisecond
	goneLimit      = 100 * time.Millisecond // nothing begins for a client that has gone for longer
)

// program is the path of the program under test, built once without the race detector: memory is measured.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "platformproc")
	if err == nil {
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "ravenpond")
		var output []byte
		if output, err = exec.Command("go", "build", "-o", program, "ravenpond/cmd/ravenpond").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, output)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// rig is a scheduler process with nodes and a journal service.
type rig struct {
	t       *testing.T
	history *History
	journal *Journal
	process *Process
	nodes   map[string]*Node
	last    uint64 // the last task number that was given out
}

// startRig starts a rig with nodes, by name and zone, and waits until the scheduler uses them.
func startRig(t *testing.T, nodes ...[2]string) *rig {
	t.Helper()
	return startRigWith(t, Options{MemoryMB: 64, Sockets: 512}, nodes...)
}

// startRigWith starts a rig with limits.
func startRigWith(t *testing.T, limits Options, nodes ...[2]string) *rig {
	t.Helper()
	r := &rig{t: t, history: &History{}, nodes: map[string]*Node{}}
	var entries []Entry
	for _, n := range nodes {
		entries = append(entries, r.startNode(n[0], n[1], "").Entry("ready", time.Time{}))
	}
	journal, err := StartJournal(entries...)
	r.check(err)
	t.Cleanup(journal.Close)
	r.journal = journal
	limits.Program, limits.Dir, limits.Settings, limits.Journal = program, t.TempDir(), settingsText, journal
	r.process, err = Start(limits)
	r.check(err)
	t.Cleanup(func() {
		r.process.Close()
		if t.Failed() {
			t.Logf("log of the scheduler: %.20000s", r.process.Log())
		}
	})
	r.warmUp()
	return r
}

// warmUp waits until a request is served, as a scheduler that has just started does not use its nodes yet.
func (r *rig) warmUp() {
	r.t.Helper()
	x := r.dial()
	defer x.Close()
	for end := time.Now().Add(startTimeout); ; {
		task := r.request(x, "batch")
		if e, ok := x.Await(task, 0, requestTimeout); ok && e.Kind == kindAnswer {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("no request was served within %s; log: %s", startTimeout, r.process.Log())
		}
	}
}

func (r *rig) check(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// startNode starts a node that is not listed yet.
func (r *rig) startNode(name, zone, address string) *Node {
	r.t.Helper()
	n, err := StartNode(r.history, name, zone, address)
	r.check(err)
	r.nodes[name] = n
	r.t.Cleanup(n.Die)
	return n
}

func (r *rig) dial() *Client {
	r.t.Helper()
	c, err := Dial(r.process)
	r.check(err)
	r.t.Cleanup(c.Close)
	return c
}

// newTask returns a number for a task.
func (r *rig) newTask() uint64 {
	r.last++
	return r.last
}

// request sends a request for a new task and returns its number.
func (r *rig) request(x *Client, jobClass string) uint64 {
	r.t.Helper()
	task := r.newTask()
	r.check(x.Request(Request{Task: task, JobClass: jobClass, TimeLeft: requestTimeout, Service: task}))
	return task
}
