package procs

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

// kill is one that was killed, and when.
type kill struct {
	who int
	at  time.Time
}

type proc struct {
	name    string
	listen  string       // where it takes datagrams
	free    *net.UDPConn // holds that address for it until it begins
	relay   *net.UDPConn
	toList  *relay // its ways to the list and from its owners, where they pass relays
	toOwner *relay
	folder  string
	log     *os.File
	owner   *standin.Client
	mu      sync.Mutex
	cmd     *exec.Cmd
	address string
	stopped bool
}

// Start starts a scheduler, anew or for the first time.
func (r *Rig) Start(i int) error {
	x := r.all[i]
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
	for _, y := range r.all[:min(3, len(r.all))] {
		seeds = append(seeds, y.relay.LocalAddr().String())
	}
	members := ""
	if !r.Apart {
		members = fmt.Sprintf(`<members listen="%s" advertise="%s" seeds="%s" key="%s"%s/>`, x.listen, x.relay.LocalAddr(), strings.Join(seeds, " "),
			filepath.Join(r.Dir, "key"), r.stewards())
	}
	list := r.list.Address()
	if x.toList != nil {
		list = x.toList.address()
	}
	file := filepath.Join(r.Dir, x.name+".xml")
	if err := os.WriteFile(file, fmt.Appendf(nil, siteText, r.Schedulers, max(12, r.Schedulers), r.zones(), r.cores(), 2*r.cores(), members, list), 0o640); err != nil {
		return err
	}
	x.free.Close()
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: audit.SchedulerStarted, Scheduler: x.name})
	cmd, address, err := spawn.Scheduler(r.ctx, append(slices.Clone(r.Command), "serve", "--site", file, "--state", x.folder, "--name", x.name,
		"--index", fmt.Sprint(i), "--zone", r.zoneOf(i), "--seed", fmt.Sprint(r.Seed*1000+uint64(i)+1), "--address-file", filepath.Join(r.Dir, x.name+".addr")), x.log,
		filepath.Join(r.Dir, x.name+".addr"))
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.cmd, x.address, x.stopped = cmd, address, false
	x.mu.Unlock()
	return nil
}

// Kill ends a scheduler at once.
func (r *Rig) Kill(i int) {
	x := r.all[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	at := time.Now()
	_ = x.cmd.Process.Kill()
	_ = x.cmd.Wait()
	used := x.cmd.ProcessState.UserTime() + x.cmd.ProcessState.SystemTime()
	x.cmd = nil
	r.mu.Lock()
	r.cpu += used
	r.kills = append(r.kills, kill{who: i, at: at})
	r.mu.Unlock()
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: audit.SchedulerKilled, Scheduler: x.name})
}

// Stop has a scheduler stand still, or run on.
func (r *Rig) Stop(i int, still bool) {
	x := r.all[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil || x.stopped == still {
		return
	}
	x.stopped = still
	kind, signal := audit.SchedulerPaused, syscall.SIGSTOP
	if !still {
		kind, signal = audit.SchedulerResumed, syscall.SIGCONT
	}
	r.w.Trace.Add(audit.Record{At: r.w.Now(), Kind: kind, Scheduler: x.name})
	_ = x.cmd.Process.Signal(signal)
}

// Renew has nodes fall and come back cold.
func (r *Rig) Renew(part float64, away time.Duration) {
	for i, n := range r.nodes {
		if float64(i) < part*float64(len(r.nodes)) {
			r.w.WithLock(func(now float64) { n.Crash(now) })
			r.later(away, func() { r.back(n) })
		}
	}
}

// back brings a node back; its address may be taken for a moment yet.
func (r *Rig) back(n *standin.Node) {
	if err := n.Restart(); err != nil {
		r.later(100*time.Millisecond, func() { r.back(n) })
	}
}

// later does something after a while, unless the rig has ended by then.
func (r *Rig) later(d time.Duration, f func()) {
	r.asks.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-r.ctx.Done():
		case <-t.C:
			f()
		}
	})
}
