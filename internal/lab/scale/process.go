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
	place          int // among all schedulers
	rig            *Rig
	log            *os.File
	cmd            *exec.Cmd
	clientAddress  string // address of the owners' door
	metricsAddress string // address of the page of counts
	logOffset      int64  // where the log of the present incarnation begins
	profile        string
	profiling      bool // profiles of a window of this incarnation have begun
	incarnation    int
}

// realName is the name of a real scheduler by its number.
func realName(number int) string { return fmt.Sprintf("s%d", number) }

// newProcess is one that has never run: what an earlier trial in the folder left of it is dropped.
func newProcess(r *Rig, place int) (*process, error) {
	p := &process{name: realName(place), place: place, rig: r}
	if err := os.RemoveAll(p.state()); err != nil {
		return nil, err
	}
	p.profile = filepath.Join(r.Dir, p.name+".cpu")
	var err error
	p.log, err = os.Create(filepath.Join(r.Dir, p.name+".log"))
	return p, err
}

// state is the folder for what outlives an incarnation of the process.
func (p *process) state() string { return filepath.Join(p.rig.Dir, p.name) }

// start starts the process, for the first time or again, and waits until owners may connect.
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
	zone := hollow.ZoneName(p.place % r.Sizes.Zones)
	command := append(slices.Clone(r.Command), "serve", "--site", site, "--state", p.state(), "--name", p.name, "--index", fmt.Sprint(p.place), "--zone", zone,
		"--seed", fmt.Sprint(r.Seed*1000+uint64(p.place)+1), "--address-file", file)
	if r.Profile {
		command = append(command, "--profile-window", p.profile)
	}
	if p.cmd, p.clientAddress, err = spawn.Scheduler(ctx, command, p.log, file); err != nil {
		return err
	}
	p.profiling = false
	p.incarnation++
	return p.findCounts()
}

// logLine is what the rig reads of a line in a log.
type logLine struct {
	Mode, Address, Member, Is string
	Parts                     map[string]float64
	At                        float64 `json:"unix_ms"`
}

// eachLine calls for each line of the log in the present incarnation until it is told to stop.
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
	lines.Buffer(nil, longestAnswer)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && !line(l) {
			return nil
		}
	}
	return lines.Err()
}

var errNoCounts = errors.New("no page of counts in the log")

// findCounts reads the address of the page of counts from the log.
func (p *process) findCounts() error {
	p.metricsAddress = ""
	err := p.eachLine(func(l logLine) bool {
		if l.Mode == "counts" && l.Address != "" {
			p.metricsAddress = l.Address
		}
		return p.metricsAddress == ""
	})
	if err == nil && p.metricsAddress == "" {
		err = fmt.Errorf("%s: %w", p.name, errNoCounts)
	}
	return err
}

// awaitLog waits until a line of the log fits, and gives when that was, in unix ms.
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
	return 0, fmt.Errorf("%s: %w", p.name, errNotWithin)
}

// window begins or ends the profiles of a window, if there are any: not of a process that was started meanwhile. After the
// end it waits for them.
func (p *process) window(begins bool) error {
	if !p.rig.Profile || !begins && !p.profiling {
		return nil
	}
	if p.profiling = begins; begins {
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
	return fmt.Errorf("%s: profile %w", p.name, errNotWithin)
}

// kill ends the process at once.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// end has the process end by itself, and kills one that stays.
func (p *process) end() error {
	defer p.log.Close()
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	limit := time.AfterFunc(endWithin, func() { _ = p.cmd.Process.Kill() })
	defer limit.Stop()
	return p.cmd.Wait()
}
