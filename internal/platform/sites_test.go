package platform

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/internal/settings"
	"ravenpond/logic"
)

// TestSites simulates a siteDay with the settings of each site in deploy/sites: its names, deadlines, tenants and zones. Each client that stays
// connected is answered once and in time, no at-most-once work is attempted again after it may have run, and draining nodes get no new work.
func TestSites(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*/settings.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d sites, want 2 or more; error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file)), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			playSiteDay(t, string(text))
		})
	}
}

// siteRequest is a request in a siteDay.
type siteRequest struct {
	client     *testClient
	jobClass   int
	deadline   float64
	departed   bool // the client closed its connection before the request was answered
	answered   bool
	attempts   int
	mayHaveRun bool
}

// siteDay simulates a scheduler with a site's settings for 15 s and through a shutdown, with clients that leave, nodes that reject, drain, fail and
// join, and a journal service that is silent for a while.
type siteDay struct {
	*simRig
	deployment *settings.Deployment
	rng        *rand.Rand
	startedAt  map[string]float64 // the start times of nodes that join, in Unix ms
	drainedAt  map[string]float64 // the times at which nodes start to drain, by name
	requests   map[uint64]*siteRequest
	client     *testClient // the client that makes the next request
	lastTask   uint64
}

// entry returns a node's entry in the node list.
func (d *siteDay) entry(name, address, status string) string {
	i := int(name[1] - '0')
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,"since_ms":%.0f,"room":[24,48]}`, name, address,
		d.deployment.Zones[i%len(d.deployment.Zones)], d.deployment.Kinds[i%len(d.deployment.Kinds)], i, status, d.startedAt[name])
}

// publish sends a node's state from the journal service.
func (d *siteDay) publish(name, status string) { d.journal.publish(d.entry(name, name, status)) }

// serve makes a node reject one attempt in eight, and start and then complete the others.
func (d *siteDay) serve(n *fakeNode) {
	n.onSetUp = func(e *testConn, task uint64) {
		d.onSetUp(n, task)
		if d.rng.IntN(8) == 0 {
			e.send(codec.AppendEnd(nil, task, codec.CauseFull))
			return
		}
		d.requests[task].mayHaveRun = true
		n.process.After(20+40*d.rng.Float64(), func() {
			n.answer(e, task)
			n.process.After(1500, func() {
				if n.running[task] {
					delete(n.running, task)
					e.send(codec.AppendEnd(nil, task, codec.CauseNormal))
				}
			})
		})
	}
}

// onSetUp checks that an attempt may be made at a node, and counts it.
func (d *siteDay) onSetUp(n *fakeNode, task uint64) {
	r := d.requests[task]
	r.attempts++
	if at, ok := d.drainedAt[n.name]; ok && d.clock.TrueTime() > at+500+50 {
		d.t.Errorf("node %s received task %d %g ms after it started to drain", n.name, task, d.clock.TrueTime()-at)
	}
	if d.deployment.Cluster.JobClasses[r.jobClass].Semantics == logic.AtMostOnce && r.mayHaveRun {
		d.t.Errorf("at-most-once task %d, which may have run, is attempted again", task)
	}
}

// request sends a request from the client. One time in fifteen the client closes its connection soon after, with all its open requests, and a new
// client replaces it.
func (d *siteDay) request() {
	d.lastTask++
	jobClass := d.rng.IntN(len(d.deployment.JobClasses))
	left := fmt.Sprint(int(d.deployment.Deadlines[jobClass]))
	var b []byte
	if len(d.deployment.Tenants) > 0 {
		b = setUp(d.lastTask, d.deployment.JobClasses[jobClass], codec.ParamTimeLeft, left,
			codec.ParamTenant, d.deployment.Tenants[d.rng.IntN(len(d.deployment.Tenants))])
	} else { // requests of a site without tenants name none
		b = message(codec.KindSetUp, d.lastTask, codec.ParamJobClass, d.deployment.JobClasses[jobClass], codec.ParamTimeLeft, left, codec.ParamName,
			fmt.Sprintf("%016x", d.lastTask), codec.ParamKey, strings.Repeat("5c", 16), codec.ParamDemand, demandText, codec.ParamDescription, "owner's")
	}
	d.requests[d.lastTask] = &siteRequest{client: d.client, jobClass: jobClass, deadline: d.clock.TrueTime() + d.deployment.Deadlines[jobClass]}
	d.client.send(b)
	if d.rng.IntN(15) == 0 {
		leaving := d.client
		d.clock.At(d.clock.TrueTime()+60*d.rng.Float64(), func() { d.leave(leaving) })
		d.client = d.dial()
	}
}

// leave closes a client's connection and marks its unanswered requests as departed.
func (d *siteDay) leave(client *testClient) {
	for _, r := range d.requests {
		r.departed = r.departed || r.client == client && !r.answered
	}
	client.conn.Close(true, nil)
}

// schedule schedules the faults and changes of the nodes and the journal service, relative to start.
func (d *siteDay) schedule(start float64) {
	at := func(ms float64, f func()) { d.clock.At(start+ms, f) }
	at(4000, func() { d.publish("s0", "draining"); d.drainedAt["s0"] = d.clock.TrueTime() })
	at(6000, func() { d.publish("s0", "gone") })
	at(5000, func() {
		d.startedAt["s6"] = d.process.Now() + unixBase
		d.serve(newFakeNode(d.simRig, "s6", "s6"))
		d.publish("s6", "ready")
	})
	at(8000, func() { d.nodes["s1"].process.Kill(false); d.publish("s1", "gone") })
	at(9000, func() { d.journal.silent = true })
	at(12000, func() { d.journal.silent = false })
}

// stop shuts the scheduler down, while requests are still sent for a while, and checks that the shutdown completes in time.
func (d *siteDay) stop() {
	stopped := d.clock.TrueTime()
	d.server.Stop()
	for range 10 {
		d.request()
		d.advance(50)
	}
	longest := slices.Max(d.deployment.Deadlines)
	for {
		select {
		case <-d.server.Done():
			d.advance(10)
			return
		default:
			if d.clock.TrueTime() > stopped+min(longest, 3000)+700 {
				d.t.Fatal("the shutdown has taken so long that the platform would have killed the scheduler")
			}
		}
		d.advance(10)
	}
}

// notice is a message that a client received about a task.
type notice struct {
	task uint64
	word string
}

func readNotice(text string) (n notice) {
	_, _ = fmt.Sscanf(text, "%d %s", &n.task, &n.word) // a text of another form yields task 0, which is never requested
	return n
}

// checkDeadlines checks that the first message about each request was received in time, and marks the request as answered.
func (d *siteDay) checkDeadlines() {
	for _, r := range d.requests {
		for i, text := range r.client.received {
			n := readNotice(text)
			about := d.requests[n.task]
			if about == nil || about.client != r.client || about.answered {
				continue
			}
			if about.answered = true; r.client.receivedAt[i] > about.deadline+50 {
				d.t.Errorf("task %d was answered %g ms after its deadline", n.task, r.client.receivedAt[i]-about.deadline)
			}
		}
	}
}

// checkAnswers checks that each request was answered once, that at most one notification followed, and that enough requests were served.
func (d *siteDay) checkAnswers() {
	served, answered := 0, 0
	for task, r := range d.requests {
		words := d.messagesAbout(task, r)
		if len(words) > 0 {
			answered++
			if words[0] == "served" {
				served++
			}
		}
		if len(words) > 2 || len(words) == 2 && words[1] != "end" && words[1] != "move" {
			d.t.Errorf("messages about task %d among %q: want one answer and at most one notification", task, r.client.received)
		}
		if len(words) == 0 && !r.departed {
			d.t.Errorf("task %d (%s), whose client stayed connected, was never answered", task, d.deployment.JobClasses[r.jobClass])
		}
	}
	if float64(served) < 0.85*float64(answered) || answered < 200 {
		d.t.Errorf("%d of %d answered requests were served, want 85 percent of 200 or more", served, answered)
	}
}

// messagesAbout returns the first words of the messages that a client received about a task.
func (d *siteDay) messagesAbout(task uint64, r *siteRequest) (words []string) {
	for _, text := range r.client.received {
		if n := readNotice(text); n.task == task {
			words = append(words, n.word)
		}
	}
	return words
}

// playSiteDay simulates a siteDay with a site's settings.
func playSiteDay(t *testing.T, text string) {
	t.Helper()
	deployment, err := settings.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := &siteDay{
		deployment: deployment, rng: rand.New(rand.NewPCG(5, 6)), startedAt: map[string]float64{}, drainedAt: map[string]float64{},
		requests: map[uint64]*siteRequest{},
	}
	d.simRig = startRigWith(t, text, d.entry, "s0", "s1", "s2", "s3", "s4", "s5")
	start := d.clock.TrueTime()
	for _, n := range d.nodes {
		d.serve(n)
	}
	d.client = d.dial()
	d.schedule(start)
	for d.clock.TrueTime() < start+15000 {
		d.request()
		d.advance(40)
	}
	d.stop()
	d.advance(100)
	d.checkDeadlines()
	d.checkAnswers()
}
