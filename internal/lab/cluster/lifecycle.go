package cluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/lab/spawn"
	"ravenpond/internal/standin"
)

// killRecord is a kill of a scheduler process.
type killRecord struct {
	scheduler int
	at        time.Time
}

// process is a scheduler process of the rig.
type process struct {
	name         string
	listen       string       // address for membership datagrams
	reservedConn *net.UDPConn // holds that address until the process starts
	relay        *net.UDPConn
	listRelay    *relay // to the node list, as clientRelay is from clients; nil without Config.Relays
	clientRelay  *relay
	stateDir     string
	logFile      *os.File
	client       *standin.Client
	mu           sync.Mutex
	command      *exec.Cmd
	address      string
	paused       bool
}

// StartScheduler starts a scheduler for the first time or again after a kill.
func (r *Rig) StartScheduler(i int) error {
	p := r.processes[i]
	if err := os.MkdirAll(p.stateDir, 0o750); err != nil {
		return err
	}
	var err error
	if p.logFile == nil {
		if p.logFile, err = os.Create(filepath.Join(r.Dir, p.name+".log")); err != nil {
			return err
		}
	}
	var seeds []string
	for _, y := range r.processes[:min(3, len(r.processes))] {
		seeds = append(seeds, y.relay.LocalAddr().String())
	}
	members := ""
	if !r.Isolated {
		members = fmt.Sprintf(`<members listen="%s" advertise="%s" seeds="%s" key="%s"%s/>`, p.listen, p.relay.LocalAddr(), strings.Join(seeds, " "),
			filepath.Join(r.Dir, "key"), r.voterAttribute())
	}
	list := r.list.Address()
	if p.listRelay != nil {
		list = p.listRelay.address()
	}
	file := filepath.Join(r.Dir, p.name+".xml")
	if err := os.WriteFile(file, fmt.Appendf(nil, siteText, r.Schedulers, max(12, r.Schedulers), r.zoneElements(), r.cores(), 2*r.cores(), members, list), 0o640); err != nil {
		return err
	}
	closeQuietly(p.reservedConn)
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: audit.SchedulerStarted, Scheduler: p.name})
	cmd, address, err := spawn.Scheduler(r.ctx, append(slices.Clone(r.Command), "serve", "--site", file, "--state", p.stateDir, "--name", p.name,
		"--index", fmt.Sprint(i), "--zone", r.zoneOf(i), "--seed", fmt.Sprint(r.Seed*1000+uint64(i)+1), "--address-file", filepath.Join(r.Dir, p.name+".addr")), p.logFile,
		filepath.Join(r.Dir, p.name+".addr"))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.command, p.address, p.paused = cmd, address, false
	p.mu.Unlock()
	return nil
}

// KillScheduler kills a scheduler process without warning and waits for its end.
func (r *Rig) KillScheduler(i int) {
	p := r.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	at := time.Now()
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	used := p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
	p.command = nil
	r.mu.Lock()
	r.usedCPU += used
	r.kills = append(r.kills, killRecord{scheduler: i, at: at})
	r.mu.Unlock()
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: audit.SchedulerKilled, Scheduler: p.name})
}

// PauseScheduler stops a scheduler process by SIGSTOP, or has it continue by SIGCONT.
func (r *Rig) PauseScheduler(i int, paused bool) {
	p := r.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.paused == paused {
		return
	}
	p.paused = paused
	kind, signal := audit.SchedulerPaused, syscall.SIGSTOP
	if !paused {
		kind, signal = audit.SchedulerResumed, syscall.SIGCONT
	}
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: kind, Scheduler: p.name})
	_ = p.command.Process.Signal(signal)
}

// CrashNodes crashes a fraction of the nodes and restarts them cold after the downtime.
func (r *Rig) CrashNodes(fraction float64, downtime time.Duration) {
	for i, n := range r.nodes {
		if float64(i) < fraction*float64(len(r.nodes)) {
			r.testbed.WithLock(func(now float64) { n.Crash(now) })
			r.runAfter(downtime, func() { r.restartNode(n) })
		}
	}
}

// restartNode restarts a node. It retries after 100 ms, as the node's address may still be in use.
func (r *Rig) restartNode(n *standin.Node) {
	if err := n.Restart(); err != nil {
		r.runAfter(100*time.Millisecond, func() { r.restartNode(n) })
	}
}

// runAfter calls f after a delay, unless the rig has ended by then.
func (r *Rig) runAfter(d time.Duration, f func()) {
	r.background.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-r.ctx.Done():
		case <-t.C:
			f()
		}
	})
}
