package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/spawn"
)

// process is a real scheduler process.
type process struct {
	name           string
	index          int // index among all schedulers
	rig            *Rig
	log            *os.File
	cmd            *exec.Cmd
	clientAddress  string // address of the client listener
	metricsAddress string // address of the metrics page
	logOffset      int64  // where the log of the current incarnation begins
	profile        string // path of the CPU profile
	profiling      bool   // this incarnation is recording profiles of a measurement
	incarnation    int
}

// realSchedulerName returns the name of a real scheduler by its number.
func realSchedulerName(number int) string { return fmt.Sprintf("s%d", number) }

// newProcess returns a process that has not been started. It removes state that an earlier trial left in the folder.
func newProcess(r *Rig, index int) (*process, error) {
	p := &process{name: realSchedulerName(index), index: index, rig: r}
	if err := os.RemoveAll(p.state()); err != nil {
		return nil, err
	}
	p.profile = filepath.Join(r.Dir, p.name+".cpu")
	var err error
	p.log, err = os.Create(filepath.Join(r.Dir, p.name+".log"))
	return p, err
}

// state returns the folder of the state that outlives an incarnation of the process.
func (p *process) state() string { return filepath.Join(p.rig.Dir, p.name) }

// start starts or restarts the process and waits until clients can connect.
func (p *process) start(ctx context.Context) error {
	r := p.rig
	site := filepath.Join(r.Dir, p.name+".xml")
	if err := os.WriteFile(site, []byte(r.site()), 0o640); err != nil {
		return err
	}
	if err := os.MkdirAll(p.state(), 0o750); err != nil {
		return err
	}
	end, err := p.log.Seek(0, 2)
	if err != nil {
		return err
	}
	p.logOffset = end
	file := filepath.Join(r.Dir, p.name+".address")
	zone := hollow.ZoneName(p.index % r.Sizes.Zones)
	command := append(slices.Clone(r.Command), "serve", "--site", site, "--state", p.state(), "--name", p.name, "--index", fmt.Sprint(p.index), "--zone", zone,
		"--seed", fmt.Sprint(r.Seed*1000+uint64(p.index)+1), "--address-file", file)
	if r.Profile {
		command = append(command, "--profile-window", p.profile)
	}
	if p.cmd, p.clientAddress, err = spawn.Scheduler(ctx, command, p.log, file); err != nil {
		return err
	}
	p.profiling = false
	p.incarnation++
	return p.findMetricsAddress()
}

// logLine holds the fields of a log line that the rig reads.
type logLine struct {
	Mode, Address, Member, Is string
	Parts                     map[string]float64
	At                        float64 `json:"unix_ms"`
}

// eachLine calls line for each line in the log of the current incarnation until line returns false.
func (p *process) eachLine(line func(logLine) (more bool)) error {
	f, err := os.Open(p.log.Name())
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(p.logOffset, 0); err != nil {
		return err
	}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxReplyBytes)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && !line(l) {
			return nil
		}
	}
	return lines.Err()
}

var errNoMetricsAddress = errors.New("no address of the metrics page in the log")

// findMetricsAddress reads the address of the metrics page from the log.
func (p *process) findMetricsAddress() error {
	p.metricsAddress = ""
	err := p.eachLine(func(l logLine) bool {
		if l.Mode == "counts" && l.Address != "" {
			p.metricsAddress = l.Address
		}
		return p.metricsAddress == ""
	})
	if err == nil && p.metricsAddress == "" {
		err = fmt.Errorf("%s: %w", p.name, errNoMetricsAddress)
	}
	return err
}

// awaitLog waits for a log line, written at or after a time, that satisfies a condition, and returns the line's time. Times are in
// unix ms.
func (p *process) awaitLog(within time.Duration, since float64, fits func(logLine) bool) (at float64, err error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		err := p.eachLine(func(l logLine) bool {
			if l.At >= since && fits(l) {
				at = l.At
			}
			return at == 0
		})
		if err != nil || at > 0 {
			return at, err
		}
	}
	return 0, fmt.Errorf("%s: %w", p.name, errTimeout)
}

// toggleProfile starts or stops the profiles of a measurement if profiles are enabled. After stopping them it waits until they are
// written. It does not stop those of a process that was restarted meanwhile, because the new incarnation records none.
func (p *process) toggleProfile(start bool) error {
	if !p.rig.Profile || !start && !p.profiling {
		return nil
	}
	if p.profiling = start; start {
		_ = os.Remove(p.profile + heapSuffix)
		return p.cmd.Process.Signal(syscall.SIGUSR1)
	}
	if err := p.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return err
	}
	for end := time.Now().Add(profileTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if _, err := os.Stat(p.profile + heapSuffix); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s: write the profiles: %w", p.name, errTimeout)
}

// kill kills the process and waits for it.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// stop asks the process to terminate and waits for it. It kills the process if that takes longer than stopTimeout.
func (p *process) stop() error {
	defer p.log.Close()
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	limit := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer limit.Stop()
	return p.cmd.Wait()
}
