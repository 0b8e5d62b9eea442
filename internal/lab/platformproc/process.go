// Package platformproc runs `ravenpond platform` as a process of its own, with scripted nodes, clients and a journal service on loopback. Tests use
// it for faults that need real sockets, signals and memory limits, which package platformsim does not have.
//
// Nodes, clients and the journal service run in the caller's process; their methods are safe for concurrent use. A part that can't do what it is
// asked to returns an error; everything is ended by the Close of the part that started it.
package platformproc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenpond/internal/standin"
)

// Times of processes.
const (
	startTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Options are the configuration of a process.
type Options struct {
	Program  string // path of the program
	Dir      string // for the configuration
	Level    string // minimum level of the log; empty: info
	Settings string // the deployment's settings, as JSON
	MemoryMB int
	Sockets  int
	Journal  *Journal
}

// Process is a running scheduler.
type Process struct {
	Address string // where clients connect
	command *exec.Cmd
	log     *logBuffer
	ended   chan struct{}
}

// Start starts a process and waits until it listens for clients.
func Start(o Options) (*Process, error) {
	address := newAddress()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": address, "journal": o.Journal.Address(), "seed": "3",
		"limits": map[string]any{"cores": 1, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  o.Journal.known(), "settings": json.RawMessage(o.Settings),
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	level := o.Level
	if level == "" {
		level = "info"
	}
	p := &Process{Address: address, log: &logBuffer{}, ended: make(chan struct{})}
	p.command = exec.Command(o.Program, "platform", "--level", level)
	p.command.Env = append(os.Environ(), "GW_CONFIG="+file)
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go p.wait()
	if err := p.awaitLog(`"message":"listening for clients"`); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// wait records the end of the process.
func (p *Process) wait() {
	_ = p.command.Wait() // the tests look at HasEnded
	close(p.ended)
}

// awaitLog waits until the log has a text.
func (p *Process) awaitLog(text string) error {
	for end := time.Now().Add(startTimeout); !strings.Contains(p.Log(), text); time.Sleep(pollInterval) {
		if time.Now().After(end) || p.HasEnded() {
			return fmt.Errorf("scheduler did not log %s; its log: %s", text, p.Log())
		}
	}
	return nil
}

// Log returns what the process has logged.
func (p *Process) Log() string { return p.log.String() }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Close kills the process and waits for its end.
func (p *Process) Close() {
	_ = p.command.Process.Kill() // the error says that it has already ended
	<-p.ended
}

// PrivateMemory returns the resident size of the process in bytes, without the pages of its program file, which all processes of it share.
func (p *Process) PrivateMemory() (int, error) {
	const field = "RssAnon:"
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no %s in the status of process %d", field, p.command.Process.Pid)
}

// Ports of listeners. They are below the range from which the kernel assigns ports to outgoing connections, so that an address stays free while
// its process is down.
const (
	firstPort = 10000
	portCount = 10000
)

// addresses counts the addresses that were given out.
var addresses atomic.Int64

// newAddress returns a loopback address that no other listener of this process uses.
func newAddress() string {
	number := int(addresses.Add(1))
	return net.JoinHostPort(standin.LoopbackHost(number), strconv.Itoa(firstPort+number%portCount))
}

// logBuffer keeps the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns the log so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
