package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// scheduler is a process that was started with the command `run` of the deploy file.
type scheduler struct {
	address string
	command *exec.Cmd
	dir     string
	record  *record
	ended   chan struct{}
}

// settingsText returns the settings of a small deployment. grace is the grace of drains and bears the offers that a cold node always bears.
func settingsText(instances, bears int) string {
	return fmt.Sprintf(`{"clients": {"marks-retry": true}, "discovery": "ask", "family": "place", "instances": %d, "self-index": 0, "step-ns": 2000000,
 "kinds": ["std"], "zones": ["east", "west"], "locality": 0, "tier": 0, "tiers": ["all"], "value-by": "work", "weights": "silent",
 "projects": [{"name": "acme", "portion": 1, "quota-rps": 30}],
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [32], "mem-of-kind": [64], "kind-by-class": [-1, -1, -1],
  "class-priority": [0, 1, 1], "says-yes": "running", "measured-by": "asked", "displaces": false, "by-service": false, "tells-use": true,
  "spread-over": ["silent", "silent", "silent"], "most-together": [2, 2, 2], "lists-free": true, "cold-bears": %d, "unit-cores": 1, "mean-memory": 2,
  "settle-ns": 3000000000},
 "policy-limits": {"max-attempts": 4, "probes": true, "cancel": true, "may-duplicate": false, "conn-idle-ns": 30000000000,
  "connect-timeout-ns": 250000000, "open-cap": 1000000},
 "prices": {"fleet": 0},
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"cold-from": 0.17, "cold-ns": 16000000000, "fall-multiple": 4, "overload-for-ns": 2000000000, "ask-every-ns": 10000000000,
  "drain-grace-ns": 2000000000, "grace-to-answer-ns": 8000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 5000000000, "effect": "free", "group": "all", "worth": 1, "stays": true, "window-ns": 5000000000},
  {"name": "marked", "aim-ns": 1000000000, "deadline-ns": 5000000000, "effect": "guarded", "group": "zone", "worth": 5, "stays": true, "window-ns": 8000000000},
  {"name": "single", "aim-ns": 4500000000, "deadline-ns": 10000000000, "effect": "single_shot", "group": "all", "worth": 3, "stays": true, "window-ns": 5000000000}]}`,
		instances, bears)
}

// startScheduler starts the program from the root of the repository and waits until it has passed a test. The calling goroutine has to be locked
// to its thread, which must live as long as the process.
func startScheduler(x setting, settings, address string, j *journal) (*scheduler, error) {
	runtime.LockOSThread()
	if address == "" {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address = l.Addr().String()
		_ = l.Close()
	}
	dir, err := os.MkdirTemp(x.temp, "scheduler")
	if err != nil {
		return nil, err
	}
	s := &scheduler{address: address, dir: dir, record: x.record, ended: make(chan struct{})}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": address, "journal": j.address(), "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": j.known(), "settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	s.command = exec.Command("/bin/sh", "-c", "exec bin/ravenpond platform")
	if level := os.Getenv("LEVEL"); level != "" {
		s.command = exec.Command("/bin/sh", "-c", "exec bin/ravenpond platform --level "+level)
	}
	s.command.Dir, s.command.Stderr, s.command.Stdout = x.root, log, log
	s.command.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME=n0", "GW_LISTEN="+address, "TMPDIR="+dir)
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = s.command.Wait(); close(s.ended) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.test() {
			x.record.add("scheduler: ready at %s", address)
			return s, nil
		}
	}
	s.kill()
	return nil, fmt.Errorf("the scheduler was not ready in time; log: %s", s.log())
}

// test reports whether the scheduler passes a test.
func (s *scheduler) test() bool {
	c, err := net.DialTimeout("tcp4", s.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Write(encode(kindTest, 0, cause(0)))
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	b := make([]byte, 64)
	n, err := c.Read(b)
	return err == nil && n > 2 && b[2] == kindTested
}

func (s *scheduler) signal(x syscall.Signal) { _ = s.command.Process.Signal(x) }

func (s *scheduler) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *scheduler) kill() {
	_ = s.command.Process.Kill()
	<-s.ended
}

func (s *scheduler) log() string {
	b, _ := os.ReadFile(filepath.Join(s.dir, "log"))
	return string(b)
}

// heard is a message that a client received.
type heard struct {
	kind, cause byte
	at          time.Time
}

// client is a connection of an owner.
type client struct {
	c      net.Conn
	record *record

	mu     sync.Mutex
	sentAt map[uint64]time.Time
	heard  map[uint64][]heard
	ended  bool
}

func dial(r *record, address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	x := &client{c: c, record: r, sentAt: map[uint64]time.Time{}, heard: map[uint64][]heard{}}
	go func() {
		_ = readMessages(c, func(m message) {
			x.mu.Lock()
			defer x.mu.Unlock()
			if m.kind == kindAnswer || m.kind == kindEnd || m.kind == kindMove {
				x.heard[m.task] = append(x.heard[m.task], heard{m.kind, m.cause(), time.Now()})
				r.add("client: task %d got kind %d cause %d", m.task, m.kind, m.cause())
			}
		})
		x.mu.Lock()
		x.ended = true
		x.mu.Unlock()
	}()
	return x, nil
}

const (
	namePart   = 1_000_000 // the part of a task's number that gives its name
	perService = 4         // tasks of a service
)

// ask sends a set-up for a new task. at names the node that holds it already, if any.
func (x *client) ask(task uint64, class string, left time.Duration, at string) error {
	name := task % namePart // an owner that asks again uses a new number for the same name
	figures := fmt.Sprintf("cores:1;memory:2;service:%016x", name/perService+1000)
	if at != "" {
		figures += ";at:" + at
	}
	params := []param{{paramClass, class}, {paramTimeLeft, fmt.Sprint(left.Milliseconds())}, {paramTenant, "acme"}, {paramName, fmt.Sprintf("%016x", name)},
		{paramFigures, figures}, {paramDescription, "task"}}
	if class == "marked" {
		params = append(params, param{paramKey, fmt.Sprintf("%032x", name)})
	}
	_, err := x.c.Write(encode(kindSetUp, task, params...))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentAt[task] = time.Now()
	x.record.add("client: set-up of task %d, class %s, waits %d ms %s", task, class, left.Milliseconds(), at)
	return err
}

// got returns what was received about a task.
func (x *client) got(task uint64) []heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]heard(nil), x.heard[task]...)
}

// await waits until more than from messages about a task have been received.
func (x *client) await(task uint64, from int, wait time.Duration) (heard, bool) {
	for end := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		if h := x.got(task); len(h) > from {
			return h[from], true
		}
		if time.Now().After(end) {
			return heard{}, false
		}
	}
}
