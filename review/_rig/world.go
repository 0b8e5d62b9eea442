package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record keeps what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
	runs  map[string]map[string]int // by name of the task: the nodes where it runs
	most  map[string]int            // by name of the task: most runs at a time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{f: f, begin: time.Now(), runs: map[string]map[string]int{}, most: map[string]int{}}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
}

func (r *record) started(node string, t *nodeTask) {
	r.log("node %s: task %016x runs, name %s, class %s", node, t.id, t.name, t.class)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[t.name] == nil {
		r.runs[t.name] = map[string]int{}
	}
	r.runs[t.name][node]++
	n := 0
	for _, c := range r.runs[t.name] {
		n += c
	}
	r.most[t.name] = max(r.most[t.name], n)
}

func (r *record) stopped(node string, t *nodeTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[t.name][node]--
}

// runsNow returns at how many places a task runs now.
func (r *record) runsNow(name string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.runs[name] {
		n += c
	}
	return n
}

var cleanUps []func()

func atExit(f func()) { cleanUps = append(cleanUps, f) }

func exit(code int) {
	for i := len(cleanUps) - 1; i >= 0; i-- {
		cleanUps[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	exit(2)
}

// journal is a stand-in for the journal service of one scheduler.
type journal struct {
	rec   *record
	name  string
	ln    net.Listener
	mu    sync.Mutex
	lines []string // events; line i has the number i+1
	away  bool     // out of reach: open connections are silent, and new ones are told nothing
	conns map[net.Conn]int
}

func newJournal(rec *record, name string) *journal {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("journal: %v", err)
	}
	j := &journal{rec: rec, name: name, ln: ln, conns: map[net.Conn]int{}}
	go j.accept()
	go func() {
		for range time.Tick(time.Second) {
			j.mu.Lock()
			for c := range j.conns {
				if !j.away {
					_, _ = fmt.Fprintf(c, "%d\n", len(j.lines))
				}
			}
			j.mu.Unlock()
		}
	}()
	return j
}

func (j *journal) accept() {
	for {
		c, err := j.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			line, err := bufio.NewReader(c).ReadString('\n')
			var after int
			if _, scan := fmt.Sscanf(line, "tail %d", &after); err != nil || scan != nil {
				_ = c.Close()
				return
			}
			j.rec.log("journal of %s: %s", j.name, strings.TrimSpace(line))
			j.mu.Lock()
			j.conns[c] = after
			j.flush()
			j.mu.Unlock()
		}()
	}
}

// flush sends what is to be told. The caller holds the lock.
func (j *journal) flush() {
	if j.away {
		return
	}
	for c, told := range j.conns {
		for ; told < len(j.lines); told++ {
			_, _ = fmt.Fprintln(c, j.lines[told])
		}
		j.conns[c] = told
	}
}

// add adds an event.
func (j *journal) add(snapshot bool, entries ...map[string]any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pos := len(j.lines) + 1
	b, _ := json.Marshal(map[string]any{"pos": pos, "hosts": map[string]any{"index": pos, "snapshot": snapshot, "endpoints": entries}})
	j.lines = append(j.lines, string(b))
	var short []string
	for _, e := range entries {
		short = append(short, fmt.Sprintf("%v %v since %v", e["name"], e["status"], e["since_ms"]))
	}
	j.rec.log("journal of %s: event %d: %s (told now: %t)", j.name, pos, strings.Join(short, ", "), !j.away)
	j.flush()
}

func (j *journal) setAway(away bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.away = away
	j.rec.log("journal of %s: out of reach: %t", j.name, away)
	j.flush()
}

// known returns the events up to now in the form of the configuration.
func (j *journal) known() map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	entries := []json.RawMessage{}
	for _, l := range j.lines {
		entries = append(entries, json.RawMessage(l))
	}
	return map[string]any{"pos": len(j.lines), "entries": entries}
}

// scheduler is a process of the project, started by the run command of the deploy file.
type scheduler struct {
	rec     *record
	name    string
	listen  string
	journal *journal
	index   int
	of      int
	site    site
	cmd     *exec.Cmd
	starts  int
}

func freeAddress() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// runCommand returns the value of `run` in the deploy file.
func runCommand() string {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for line := range strings.Lines(string(b)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	cannotRun("no run in the deploy file")
	return ""
}

func (s *scheduler) start(folder string) {
	if s.listen == "" {
		s.listen = freeAddress()
	}
	s.starts++
	config, _ := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"journal": s.journal.ln.Addr().String(), "known": s.journal.known(), "settings": s.site.settings(s.index, s.of),
	}, "", " ")
	file := filepath.Join(folder, s.name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		cannotRun("%v", err)
	}
	out, err := os.Create(filepath.Join(folder, fmt.Sprintf("%s-%d.log", s.name, s.starts)))
	if err != nil {
		cannotRun("%v", err)
	}
	run := runCommand()
	if level := os.Getenv("LEVEL"); level != "" {
		run += " --level " + level
	}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Env = append(os.Environ(), "GW_NAME="+s.name, "GW_LISTEN="+s.listen, "GW_CONFIG="+file)
	s.cmd.Stdout, s.cmd.Stderr = out, out
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		cannotRun("scheduler: %v", err)
	}
	cmd := s.cmd
	atExit(func() { _ = cmd.Process.Kill(); _, _ = cmd.Process.Wait() })
	s.rec.log("scheduler %s: started, listens at %s", s.name, s.listen)
	for range 40 {
		time.Sleep(500 * time.Millisecond) // owners look twice a second
		if c, err := net.DialTimeout("tcp4", s.listen, time.Second); err == nil {
			l := newLink(c)
			l.send(message{typeTest, 0, []param{{parCause, "\x00"}}})
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			m, err := readMessage(l.in)
			l.close(false)
			if err == nil && m.kind == typeTested && m.cause() == 1 {
				s.rec.log("scheduler %s: has passed a test", s.name)
				return
			}
		}
	}
	cannotRun("scheduler %s isn't ready", s.name)
}

// kill ends the scheduler outright.
func (s *scheduler) kill() {
	_ = s.cmd.Process.Kill()
	_, _ = s.cmd.Process.Wait()
	s.rec.log("scheduler %s: killed", s.name)
}

// stand makes the process stand still, or go on.
func (s *scheduler) stand(still bool) {
	sig := syscall.SIGCONT
	if still {
		sig = syscall.SIGSTOP
	}
	if err := s.cmd.Process.Signal(sig); err != nil {
		cannotRun("scheduler: %v", err)
	}
	s.rec.log("scheduler %s: stands still: %t", s.name, still)
}

// client is a stand-in for an owner: its connections to schedulers, and what it was told about its tasks.
type client struct {
	rec *record
	mu  sync.Mutex
	got map[uint64][]told
	id  uint64

	asked map[uint64]request
}

type told struct {
	at    time.Time
	kind  byte
	cause int
}

func newClient(rec *record) *client {
	return &client{rec: rec, got: map[uint64][]told{}, asked: map[uint64]request{}, id: uint64(time.Now().UnixNano()) << 8}
}

// connect opens a connection to a scheduler.
func (c *client) connect(s *scheduler) *link {
	conn, err := net.DialTimeout("tcp4", s.listen, time.Second)
	if err != nil {
		cannotRun("client: %v", err)
	}
	l := newLink(conn)
	go func() {
		for {
			m, err := readMessage(l.in)
			if err != nil {
				return
			}
			switch m.kind {
			case typeAnswer:
				c.rec.log("client: %s answers task %016x: it stands, %q", s.name, m.task, m.get(parDescribe))
			case typeEnd:
				c.rec.log("client: %s sends a release for task %016x with cause %d", s.name, m.task, m.cause())
			case typeMove:
				c.rec.log("client: %s sends a move for task %016x", s.name, m.task)
			}
			c.mu.Lock()
			c.got[m.task] = append(c.got[m.task], told{time.Now(), m.kind, m.cause()})
			c.mu.Unlock()
		}
	}()
	return l
}

type request struct {
	class, name, figures string
	timeMs               int
	retry                bool
	at                   string // the node that holds the task already
	id                   uint64 // of the task that the node holds
}

// ask sends a set-up and returns its id, a new one unless the task runs already.
func (c *client) ask(l *link, s *scheduler, q request) uint64 {
	c.mu.Lock()
	c.id++
	id := c.id
	c.asked[id] = q
	c.mu.Unlock()
	figures := q.figures
	if q.at != "" {
		id = q.id
		figures += ";at:" + q.at
	}
	p := []param{{parClass, q.class}, {parTime, fmt.Sprint(q.timeMs)}, {parTenant, s.site.tenants[0]["name"].(string)}}
	if q.retry {
		p = append(p, param{parRetry, "1"})
	}
	p = append(p, param{parName, q.name}, param{parFigures, figures}, param{parDescribe, "run " + q.name})
	c.rec.log("client: asks %s for task %016x, name %s, class %s, %s", s.name, id, q.name, q.class, figures)
	l.send(message{typeSetUp, id, p})
	return id
}

// wait waits for a message about a task from the one with a number on, and returns it.
func (c *client) wait(id uint64, from int, timeout time.Duration) (told, bool) {
	for end := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		if got := c.got[id]; len(got) > from {
			c.mu.Unlock()
			return got[from], true
		}
		c.mu.Unlock()
		if time.Now().After(end) {
			return told{}, false
		}
	}
}
