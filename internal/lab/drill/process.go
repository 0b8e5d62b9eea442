package drill

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/lab/spawn"
)

// process is a scheduler process of the drill.
type process struct {
	mu      sync.Mutex
	name    string
	index   int
	address string
	command *exec.Cmd
	log     *os.File
}

// startProcess starts a scheduler process and waits until clients can connect to it.
func (p *drillRun) startProcess(pr *process) error {
	state := filepath.Join(p.OutDir, pr.name)
	file := filepath.Join(p.OutDir, pr.name+".address")
	if pr.log == nil {
		var err error
		if pr.log, err = os.Create(filepath.Join(p.OutDir, pr.name+".log")); err != nil {
			return err
		}
	}
	if err := p.saveWindows(state); err != nil {
		return err
	}
	command := append(slices.Clone(p.Command), "serve", "--site", p.sitePath, "--state", state, "--name", pr.name,
		"--index", strconv.Itoa(pr.index), "--seed", strconv.FormatUint(p.Seed+uint64(pr.index)*977+1, 10),
		"--address-file", file)
	p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerStarted, Scheduler: pr.name})
	cmd, address, err := spawn.Scheduler(p.ctx, command, pr.log, file)
	if err != nil {
		return fmt.Errorf("%s: %w", pr.name, err)
	}
	pr.mu.Lock()
	pr.command, pr.address = cmd, address
	pr.mu.Unlock()
	return nil
}

func (pr *process) currentAddress() string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.address
}

// kill sends a signal to the process and waits until it has exited.
func (pr *process) kill(p *drillRun, sig syscall.Signal) {
	pr.mu.Lock()
	cmd := pr.command
	pr.command, pr.address = nil, ""
	pr.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT) // a stopped process does not handle other signals
	if sig == syscall.SIGKILL {
		p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerKilled, Scheduler: pr.name})
	}
	_ = cmd.Process.Signal(sig)
	killTimer := time.AfterFunc(8*time.Second, func() { _ = cmd.Process.Kill() })
	err := cmd.Wait()
	killTimer.Stop()
	if sig != syscall.SIGKILL {
		p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerKilled, Scheduler: pr.name})
		if err != nil {
			p.addError(fmt.Errorf("scheduler %s exited with %w; see its log", pr.name, err))
		}
	}
}

// injectProcessFault kills scheduler processes and starts them again, or pauses them with SIGSTOP for the fault's duration, one after the other.
func (p *drillRun) injectProcessFault(f faultSpec, kill bool, rng *rand.Rand) {
	selected := slices.Clone(p.processes)
	rng.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	for _, pr := range selected[:min(len(selected), int(f.fraction*float64(len(selected))+0.5))] {
		if kill {
			pr.kill(p, syscall.SIGKILL)
			if !p.sleep(250) {
				return
			}
			if err := p.startProcess(pr); err != nil {
				p.addError(err)
			}
			continue
		}
		pr.mu.Lock()
		cmd := pr.command
		pr.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGSTOP)
		p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerPaused, Scheduler: pr.name})
		p.sleep(f.duration)
		p.testbed.Trace.Add(audit.Record{At: p.testbed.Now(), Kind: audit.SchedulerResumed, Scheduler: pr.name})
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}
