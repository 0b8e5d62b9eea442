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

type proc struct {
	mu      sync.Mutex
	name    string
	index   int
	address string
	cmd     *exec.Cmd
	log     *os.File
}

// startProc starts a scheduler process and waits until owners may connect.
func (p *player) startProc(pr *proc) error {
	state := filepath.Join(p.Out, pr.name)
	file := filepath.Join(p.Out, pr.name+".address")
	if pr.log == nil {
		var err error
		if pr.log, err = os.Create(filepath.Join(p.Out, pr.name+".log")); err != nil {
			return err
		}
	}
	if err := p.schedule(state); err != nil {
		return err
	}
	command := append(slices.Clone(p.Command), "serve", "--site", p.site, "--state", state, "--name", pr.name,
		"--index", strconv.Itoa(pr.index), "--seed", strconv.FormatUint(p.Seed+uint64(pr.index)*977+1, 10),
		"--address-file", file)
	p.w.Trace.Add(audit.Record{At: p.w.Now(), Kind: audit.SchedulerStarted, Scheduler: pr.name})
	cmd, address, err := spawn.Scheduler(p.ctx, command, pr.log, file)
	if err != nil {
		return fmt.Errorf("%s: %w", pr.name, err)
	}
	pr.mu.Lock()
	pr.cmd, pr.address = cmd, address
	pr.mu.Unlock()
	return nil
}

func (pr *proc) where() string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.address
}

// kill ends the process by a signal and waits for its end.
func (pr *proc) kill(p *player, sig syscall.Signal) {
	pr.mu.Lock()
	cmd := pr.cmd
	pr.cmd, pr.address = nil, ""
	pr.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT) // one that stands still can't end by itself
	if sig == syscall.SIGKILL {
		p.w.Trace.Add(audit.Record{At: p.w.Now(), Kind: audit.SchedulerKilled, Scheduler: pr.name})
	}
	_ = cmd.Process.Signal(sig)
	limit := time.AfterFunc(8*time.Second, func() { _ = cmd.Process.Kill() })
	err := cmd.Wait()
	limit.Stop()
	if sig != syscall.SIGKILL {
		p.w.Trace.Add(audit.Record{At: p.w.Now(), Kind: audit.SchedulerKilled, Scheduler: pr.name})
		if err != nil {
			p.fault(fmt.Errorf("scheduler %s ended with %w, see its log", pr.name, err))
		}
	}
}

// procTrouble kills scheduler processes and starts them again, or makes them stand still.
func (p *player) procTrouble(tr trouble, kills bool, rng *rand.Rand) {
	hit := slices.Clone(p.procs)
	rng.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	for _, pr := range hit[:min(len(hit), int(tr.part*float64(len(hit))+0.5))] {
		if kills {
			pr.kill(p, syscall.SIGKILL)
			if !p.sleep(250) {
				return
			}
			if err := p.startProc(pr); err != nil {
				p.fault(err)
			}
			continue
		}
		pr.mu.Lock()
		cmd := pr.cmd
		pr.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGSTOP)
		p.w.Trace.Add(audit.Record{At: p.w.Now(), Kind: audit.SchedulerPaused, Scheduler: pr.name})
		p.sleep(tr.last)
		p.w.Trace.Add(audit.Record{At: p.w.Now(), Kind: audit.SchedulerResumed, Scheduler: pr.name})
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}
