// Package load measures a scheduler process under an open load: stand-in nodes and owners in this process, the
// scheduler beside it, all on loopback. It tells how long an owner's request takes until the offer stands on a
// node's socket, and what CPU time the scheduler process spends for it.
package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/spawn"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Site is the site that is loaded, without the list's address.
const Site = `<site name="load">
  <cluster schedulers="1" list="told" step="1ms" cores-limit="4" memory-limit="4" mean-cores="1" mean-memory="2"/>
  <rules drain-grace="2s" cold-bears="1000" cold-for="100ms" cold-window="50ms" answer-margin="200ms"/>
  <zone name="one"/><zone name="two"/>
  <machine kind="plain" cores="64" memory="128"/>
  <job-type name="work" effect="restartable" target="1s" expiry="5s" value="1"/>
  <tenant name="t" share="1"/>
  <limits open="200000" owner-queue="200000"/>
  <node-list address="127.0.0.1:0"/>
  <owners listen="127.0.0.1:0"/>
</site>`

// Burst is a time of more asks, again and again.
type Burst struct {
	Interval, Duration time.Duration // 0: none
	Factor             float64       // as many asks as else
}

// Trial is one load.
type Trial struct {
	Seed        uint64 // of the arrivals
	Burst       Burst
	Command     []string // that runs the scheduler
	Site        string
	Nodes       int
	WorkingSet  int     // nodes of the scheduler's working set at least, if the site has one
	Clients     int     // connections that ask
	Rate        float64 // asks a second, all together
	Warm        time.Duration
	Duration    time.Duration
	Services    int
	TaskRuntime float64 // mean ms that one runs
	DropAnswers bool    // nodes never answer, so that allocations stay open
	OutDir      string
	Profile     string
}

// Figures are what came of a trial. Times are ms.
type Figures struct {
	Requests, Served, Other      int
	CPU                          time.Duration // of the scheduler process while it was loaded
	CPUPerRequest                time.Duration
	PeakResidentKiB, ResidentKiB int64 // memory in KiB, the most ever and at the end
	OfferLatency                 *hdrhistogram.Histogram
	StartLatency                 *hdrhistogram.Histogram
}

// Times of a trial.
const (
	connectPoll     = 20 * time.Millisecond
	maxConnectPolls = 500
	clientStartTime = 300 * time.Millisecond
	answerTime      = 700 * time.Millisecond // after the last request
	stopTimeout     = 10 * time.Second
	requestTimeout  = 5000 // ms
	objectiveMs     = 1000
	giveUpAfter     = 50 // ms: nothing is requested twice
	settleTime      = 3000
)

// run is a trial that is under way.
type run struct {
	Trial
	testbed     *standin.Testbed
	nodes       []*standin.Node
	clients     []*standin.Client
	rng         *rand.Rand
	sent        int                // requests
	scheduledAt map[uint64]float64 // when each request was meant to be sent, by its token, ms
}

// Run plays a trial: it starts nodes, the list, the scheduler process and clients, loads the scheduler and stops all.
func Run(ctx context.Context, tr Trial) (*Figures, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	config, faults := site.Read(strings.NewReader(tr.Site))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site of the load: %s", faults[0])
	}
	environment := env.NewReal()
	defer environment.Close(time.Second)
	r := &run{Trial: tr, testbed: standin.NewTestbed(environment), rng: rand.New(rand.NewPCG(tr.Seed, 5)), scheduledAt: map[uint64]float64{}}
	var err error
	if r.nodes, err = startNodes(r.testbed, config, tr); err != nil {
		return nil, err
	}
	list, err := r.testbed.StartList(0, r.nodes, "")
	if err != nil {
		return nil, err
	}
	cmd, address, err := startScheduler(ctx, tr, list.Address())
	if err != nil {
		return nil, err
	}
	defer func() { _ = cmd.Process.Kill() }()
	if err := r.awaitNodes(); err != nil {
		return nil, err
	}
	r.startClients(address)
	r.sendRequests(tr.Warm)
	figures := r.measure(cmd.Process.Pid)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	limit := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer limit.Stop()
	if err := cmd.Wait(); err != nil {
		return nil, fmt.Errorf("scheduler ended with %w, see its log in %s", err, tr.OutDir)
	}
	return figures, nil
}

// awaitNodes waits until the scheduler is connected to all nodes, or to half of its working set; the nodes outside it are visited then.
func (r *run) awaitNodes() error {
	for i := 0; ; i++ {
		connected := 0
		r.testbed.WithLock(func(float64) {
			for _, n := range r.nodes {
				connected += n.Connections()
			}
		})
		if connected >= len(r.nodes) || r.WorkingSet > 0 && connected >= min(r.WorkingSet, len(r.nodes))/2 {
			break
		}
		if i > maxConnectPolls {
			return fmt.Errorf("only %d of %d nodes connected", connected, len(r.nodes))
		}
		time.Sleep(connectPoll)
	}
	if r.WorkingSet > 0 {
		time.Sleep(time.Second + visitTime(len(r.nodes)))
	}
	return nil
}

func (r *run) startClients(address string) {
	for i := range r.Clients {
		c := &standin.Client{ID: i, Scheduler: "s0", SchedulerAddress: func() string { return address }, SettleTime: settleTime}
		r.clients = append(r.clients, c)
		r.testbed.StartClient(c, uint64(i))
	}
	time.Sleep(clientStartTime)
}

// sendRequests sends requests for a time, open loop: arrivals do not wait for anything.
func (r *run) sendRequests(duration time.Duration) {
	begin, since := r.testbed.Now(), time.Now()
	for at := 0.0; ; r.sent++ {
		rate := r.Rate
		if b := r.Burst; b.Interval > 0 && math.Mod(at, b.Interval.Seconds()) < b.Duration.Seconds() {
			rate *= b.Factor
		}
		if at += r.rng.ExpFloat64() / rate; at > duration.Seconds() {
			return
		}
		time.Sleep(time.Until(since.Add(time.Duration(at * 1e9))))
		key, service := fmt.Sprint("k", r.sent), fmt.Sprint("s", r.sent%r.Services)
		token := serve.Token("t", key)
		r.scheduledAt[token] = begin + at*1000
		r.clients[r.sent%r.Clients].Request(&standin.Demand{
			Key: key, Tenant: "t", JobType: "work", Service: service, Token: token, ServiceKey: serve.Service("t", service), Cores: 0.5, Memory: 1,
			Timeout: requestTimeout, LatencyObjective: objectiveMs, GiveUpAt: r.testbed.Now() + giveUpAfter,
		})
	}
}

// measure loads the scheduler process for the trial's duration.
func (r *run) measure(pid int) *Figures {
	from, cpuBefore, sentBefore := r.testbed.Now(), cpuTime(pid), r.sent
	r.sendRequests(r.Duration)
	to, requests := r.testbed.Now(), r.sent-sentBefore
	spent := cpuTime(pid) - cpuBefore
	f := &Figures{
		Requests: requests, CPU: spent, CPUPerRequest: spent / time.Duration(max(1, requests)), PeakResidentKiB: peakResident(pid), ResidentKiB: resident(pid),
		OfferLatency: hdrhistogram.New(1, 1e7, 3), StartLatency: hdrhistogram.New(1, 1e7, 3),
	}
	time.Sleep(answerTime)
	f.addRecords(r.testbed.Trace.Records(), r.scheduledAt, from, to)
	return f
}

// visitTime is ample time for visits to so many nodes on loopback.
func visitTime(nodes int) time.Duration { return time.Duration(nodes) * time.Millisecond }

func startNodes(w *standin.Testbed, place *site.Config, tr Trial) ([]*standin.Node, error) {
	mk := standin.MachineConfig{
		Cores: 64, Memory: 128, CoresLimit: 4, MemoryLimit: 4, InspectTime: 0.02, QueueLimit: 4000, ConcurrentStarts: 64,
		ProgramMissFactor: 1, ProgramCacheSize: 4, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e12, OverloadWindow: 1, SlowStartLimit: 1 << 30,
		JobProfiles: []standin.JobProfile{{StartWork: 0.5, MeanRuntime: tr.TaskRuntime, MeanUse: 0.5}},
	}
	group := standin.NewGroup()
	var nodes []*standin.Node
	for i := range tr.Nodes {
		zone := place.Zones[i%len(place.Zones)]
		n := &standin.Node{ID: uint32(i + 1), Zone: zone, Cell: zone, Kind: "plain", Jobs: 1, Tenants: 1}
		if err := w.StartNode(n, standin.NodeStart{Machine: mk, Group: group, Seed: uint64(i)}); err != nil {
			return nil, err
		}
		if tr.DropAnswers {
			n.Machine.AnswerLoss = 1
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// startScheduler starts the scheduler process and waits until owners may connect.
func startScheduler(ctx context.Context, tr Trial, list string) (*exec.Cmd, string, error) {
	path := filepath.Join(tr.OutDir, "site.xml")
	text := strings.Replace(tr.Site, `<node-list address="127.0.0.1:0"/>`, fmt.Sprintf("<node-list address=%q/>", list), 1)
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		return nil, "", err
	}
	log, err := os.Create(filepath.Join(tr.OutDir, "s0.log"))
	if err != nil {
		return nil, "", err
	}
	defer log.Close()
	file := filepath.Join(tr.OutDir, "s0.address")
	state, err := os.MkdirTemp(tr.OutDir, "state-")
	if err != nil {
		return nil, "", err
	}
	command := append(slices.Clone(tr.Command), "serve", "--site", path, "--state", state, "--seed", "7", "--address-file", file)
	if tr.Profile != "" {
		command = append(command, "--profile", tr.Profile)
	}
	return spawn.Scheduler(ctx, command, log, file)
}

// addRecords takes the times of asks made between two times from the trace. They count from when an ask was meant to be made:
// a load tool that is held up itself must not hide how long its asks waited.
func (f *Figures) addRecords(records []audit.Record, scheduled map[uint64]float64, from, to float64) {
	requestedAt := map[uint64]float64{}
	requestedAtByRef := map[[2]uint64]float64{}
	for _, r := range records {
		switch r.Kind {
		case audit.RequestSent:
			if r.At >= from && r.At < to {
				requestedAt[r.Token] = scheduled[r.Token]
				requestedAtByRef[[2]uint64{uint64(r.Client), r.RequestRef}] = scheduled[r.Token]
			}
		case audit.PlacementReceived:
			if at, ok := requestedAt[r.Token]; ok && r.Attempt == 0 {
				_ = f.OfferLatency.RecordValue(int64((r.At - at) * 1000)) // beyond 10 s is not told apart
			}
		case audit.ResponseReceived:
			at, ok := requestedAtByRef[[2]uint64{uint64(r.Client), r.RequestRef}]
			if !ok {
				continue
			}
			if r.Detail == "served" {
				f.Served++
				_ = f.StartLatency.RecordValue(int64((r.At - at) * 1000))
			} else {
				f.Other++
			}
		}
	}
}

// PrintHeader and Row write a table of figures.
func PrintHeader(out io.Writer) {
	fmt.Fprintf(out, "%10s %8s %8s %8s %10s %9s %9s %9s %9s %8s %8s\n", "asked a s", "asked", "served", "other",
		"cpu us", "offer p50", "p99", "p99.9", "start p99", "MiB peak", "MiB now")
}

// PrintRow writes one line: times in ms, CPU in microseconds an allocation.
func PrintRow(out io.Writer, rate float64, f *Figures) {
	q := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(out, "%10.0f %8d %8d %8d %10.1f %9.2f %9.2f %9.2f %9.2f %8.1f %8.1f\n", rate, f.Requests, f.Served, f.Other,
		float64(f.CPUPerRequest)/1e3, q(f.OfferLatency, 50), q(f.OfferLatency, 99), q(f.OfferLatency, 99.9), q(f.StartLatency, 99), float64(f.PeakResidentKiB)/1024, float64(f.ResidentKiB)/1024)
}
