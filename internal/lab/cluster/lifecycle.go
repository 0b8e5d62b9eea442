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

// killRecord is one that was killed, and when.
type killRecord struct {
	scheduler int
	at        time.Time
}

type process struct {
	name         string
	listen       string       // where it takes datagrams
	reservedConn *net.UDPConn // holds that address for it until it begins
	relay        *net.UDPConn
	listRelay    *relay // its ways to the list and from its owners, where they pass relays
	clientRelay  *relay
	folder       string
	log          *os.File
	client       *standin.Client
	mu           sync.Mutex
	command      *exec.Cmd
	address      string
	stopped      bool
}

// StartScheduler starts a scheduler, anew or for the first time.
func (r *Rig) StartScheduler(i int) error {
	x := r.processes[i]
	if err := os.MkdirAll(x.folder, 0o750); err != nil {
		return err
	}
	var err error
	if x.log == nil {
		if x.log, err = os.Create(filepath.Join(r.Dir, x.name+".log")); err != nil {
			return err
		}
	}
	var seeds []string
	for _, y := range r.processes[:min(3, len(r.processes))] {
		seeds = append(seeds, y.relay.LocalAddr().String())
	}
	members := ""
	if !r.Isolated {
		members = fmt.Sprintf(`<members listen="%s" advertise="%s" seeds="%s" key="%s"%s/>`, x.listen, x.relay.LocalAddr(), strings.Join(seeds, " "),
			filepath.Join(r.Dir, "key"), r.voterAttribute())
	}
	list := r.list.Address()
	if x.listRelay != nil {
		list = x.listRelay.address()
	}
	file := filepath.Join(r.Dir, x.name+".xml")
	if err := os.WriteFile(file, fmt.Appendf(nil, siteText, r.Schedulers, max(12, r.Schedulers), r.zoneElements(), r.cores(), 2*r.cores(), members, list), 0o640); err != nil {
		return err
	}
	x.reservedConn.Close()
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: audit.SchedulerStarted, Scheduler: x.name})
	cmd, address, err := spawn.Scheduler(r.ctx, append(slices.Clone(r.Command), "serve", "--site", file, "--state", x.folder, "--name", x.name,
		"--index", fmt.Sprint(i), "--zone", r.zoneOf(i), "--seed", fmt.Sprint(r.Seed*1000+uint64(i)+1), "--address-file", filepath.Join(r.Dir, x.name+".addr")), x.log,
		filepath.Join(r.Dir, x.name+".addr"))
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.command, x.address, x.stopped = cmd, address, false
	x.mu.Unlock()
	return nil
}

// KillScheduler ends a scheduler at once.
func (r *Rig) KillScheduler(i int) {
	x := r.processes[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.command == nil {
		return
	}
	at := time.Now()
	_ = x.command.Process.Kill()
	_ = x.command.Wait()
	used := x.command.ProcessState.UserTime() + x.command.ProcessState.SystemTime()
	x.command = nil
	r.mu.Lock()
	r.usedCPU += used
	r.kills = append(r.kills, killRecord{scheduler: i, at: at})
	r.mu.Unlock()
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: audit.SchedulerKilled, Scheduler: x.name})
}

// PauseScheduler has a scheduler stand still, or run on.
func (r *Rig) PauseScheduler(i int, still bool) {
	x := r.processes[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.command == nil || x.stopped == still {
		return
	}
	x.stopped = still
	kind, signal := audit.SchedulerPaused, syscall.SIGSTOP
	if !still {
		kind, signal = audit.SchedulerResumed, syscall.SIGCONT
	}
	r.testbed.Trace.Add(audit.Record{At: r.testbed.Now(), Kind: kind, Scheduler: x.name})
	_ = x.command.Process.Signal(signal)
}

// CrashNodes has nodes fall and come back cold.
func (r *Rig) CrashNodes(part float64, away time.Duration) {
	for i, n := range r.nodes {
		if float64(i) < part*float64(len(r.nodes)) {
			r.testbed.WithLock(func(now float64) { n.Crash(now) })
			r.runAfter(away, func() { r.restartNode(n) })
		}
	}
}

// restartNode brings a node back; its address may be taken for a moment yet.
func (r *Rig) restartNode(n *standin.Node) {
	if err := n.Restart(); err != nil {
		r.runAfter(100*time.Millisecond, func() { r.restartNode(n) })
	}
}

// runAfter does something after a while, unless the rig has ended by then.
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
