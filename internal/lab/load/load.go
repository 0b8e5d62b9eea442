// Package load measures a scheduler process under an open-loop load. Stand-in nodes and clients run in this process, and the scheduler in a
// process of its own, all on loopback. The package measures the time from a client's request until the offer arrives at a node's socket, and the
// CPU time that the scheduler process uses per request.
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

// Site is the text of the site file of a trial. The address of the node list is filled in at the start.
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

// Burst describes periods of a higher request rate that recur at an interval.
type Burst struct {
	Interval, Duration time.Duration // an Interval of 0 means no bursts
	Factor             float64       // factor of the request rate
}

// Trial is the configuration of one measurement.
type Trial struct {
	Seed        uint64 // seed of the arrival times
	Burst       Burst
	Command     []string // runs the scheduler; its flags are appended
	Site        string
	Nodes       int
	WorkingSet  int     // minimum size of the scheduler's working set, 0 if the site has none
	Clients     int     // number of client connections
	Rate        float64 // requests per second of all clients together
	Warm        time.Duration
	Duration    time.Duration
	Services    int
	TaskRuntime float64 // mean, in ms
	DropAnswers bool    // the nodes never answer, so that requests stay open
	OutDir      string
	Profile     string
}

// Figures are the results of a trial. The values of the histograms are in microseconds.
type Figures struct {
	Requests, Served, Other      int
	CPU                          time.Duration // CPU time of the scheduler process under load
	CPUPerRequest                time.Duration
	PeakResidentKiB, ResidentKiB int64 // the peak, and at the end of the load
	OfferLatency                 *hdrhistogram.Histogram
	StartLatency                 *hdrhistogram.Histogram
}

// Times of a trial.
const (
	connectPoll     = 20 * time.Millisecond
	maxConnectPolls = 500
	clientStartTime = 300 * time.Millisecond
	answerTime      = 700 * time.Millisecond // time after the last request for answers to arrive
	stopTimeout     = 10 * time.Second
	requestTimeout  = 5000 // ms
	objectiveMs     = 1000
	giveUpAfter     = 50 // ms; so short that no request is sent twice
	settleTime      = 3000
)

// run is a trial that is running.
type run struct {
	Trial
	testbed     *standin.Testbed
	nodes       []*standin.Node
	clients     []*standin.Client
	rng         *rand.Rand
	sent        int                // number of requests sent
	scheduledAt map[uint64]float64 // when each request was scheduled to be sent, in ms, by its token
}

// Run runs a trial. It starts the nodes, the node list, the scheduler process and the clients, loads the scheduler, and stops everything.
func Run(ctx context.Context, tr Trial) (*Figures, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	config, faults := site.Read(strings.NewReader(tr.Site))
	if len(faults) > 0 {
		return nil, fmt.Errorf("site file of the trial: %s", faults[0])
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
		return nil, fmt.Errorf("scheduler exited with %w; see its log in %s", err, tr.OutDir)
	}
	return figures, nil
}

// awaitNodes waits until the scheduler is connected to all nodes, or to half of its working set. With a working set, it also waits until the
// scheduler has visited the nodes outside it.
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
			return fmt.Errorf("the scheduler connected to %d of %d nodes before the timeout", connected, len(r.nodes))
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

// sendRequests sends requests for a duration in an open loop: arrivals do not wait for answers.
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

// measure loads the scheduler process for the trial's duration and returns the figures of that load.
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

// visitTime returns a time in which a scheduler can visit that many nodes on loopback, with a wide margin.
func visitTime(nodes int) time.Duration { return time.Duration(nodes) * time.Millisecond }

func startNodes(testbed *standin.Testbed, config *site.Config, tr Trial) ([]*standin.Node, error) {
	machine := standin.MachineConfig{
		Cores: 64, Memory: 128, CoresLimit: 4, MemoryLimit: 4, InspectTime: 0.02, QueueLimit: 4000, ConcurrentStarts: 64,
		ProgramMissFactor: 1, ProgramCacheSize: 4, WarmupPace: 1, WarmupDuration: 1, OverloadFactor: 1e12, OverloadWindow: 1, SlowStartLimit: 1 << 30,
		JobProfiles: []standin.JobProfile{{StartWork: 0.5, MeanRuntime: tr.TaskRuntime, MeanUse: 0.5}},
	}
	group := standin.NewGroup()
	var nodes []*standin.Node
	for i := range tr.Nodes {
		zone := config.Zones[i%len(config.Zones)]
		n := &standin.Node{ID: uint32(i + 1), Zone: zone, Cell: zone, Kind: "plain", Jobs: 1, Tenants: 1}
		if err := testbed.StartNode(n, standin.NodeStart{Machine: machine, Group: group, Seed: uint64(i)}); err != nil {
			return nil, err
		}
		if tr.DropAnswers {
			n.Machine.AnswerLoss = 1
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// startScheduler starts the scheduler process and waits until clients can connect to it.
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

// addRecords adds the latencies of the requests that were sent between two times. A latency counts from when the request was scheduled to be
// sent: a delay of the load generator itself must not hide how long its requests waited.
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
				_ = f.OfferLatency.RecordValue(int64((r.At - at) * 1000)) // latencies above 10 s are not recorded
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

// PrintHeader writes the header of a table of figures. Its rows are written by PrintRow.
func PrintHeader(out io.Writer) {
	fmt.Fprintf(out, "%10s %8s %8s %8s %10s %9s %9s %9s %9s %8s %8s\n", "asked a s", "asked", "served", "other",
		"cpu us", "offer p50", "p99", "p99.9", "start p99", "MiB peak", "MiB now")
}

// PrintRow writes one row: times in ms, CPU time in microseconds per request.
func PrintRow(out io.Writer, rate float64, f *Figures) {
	q := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	fmt.Fprintf(out, "%10.0f %8d %8d %8d %10.1f %9.2f %9.2f %9.2f %9.2f %8.1f %8.1f\n", rate, f.Requests, f.Served, f.Other,
		float64(f.CPUPerRequest)/1e3, q(f.OfferLatency, 50), q(f.OfferLatency, 99), q(f.OfferLatency, 99.9), q(f.StartLatency, 99), float64(f.PeakResidentKiB)/1024, float64(f.ResidentKiB)/1024)
}
