package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	codec "ravenpond/internal/proto/platform"
)

// schedulerProcess is a scheduler that runs as a separate process, on loopback.
type schedulerProcess struct {
	*loopbackRig
	cmd    *exec.Cmd
	file   string
	stderr *logBuffer
}

// logBuffer records the standard error output of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// startJournal starts a journal service. requests returns how many requests for events it has received.
func startJournal(t *testing.T) (address string, requests func() int) {
	t.Helper()
	var mu sync.Mutex
	n := 0
	l := serveTCP(t, func(c net.Conn) {
		b := make([]byte, 64)
		if _, err := c.Read(b); err != nil {
			return
		}
		mu.Lock()
		n++
		mu.Unlock()
		for {
			if _, err := c.Write([]byte("{\"pos\":1}\n")); err != nil {
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			if _, err := c.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
	})
	return l.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return n }
}

func (p *schedulerProcess) writeConfiguration(journal string) {
	p.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"journal":%q,"seed":"3","limits":{"cores":1,"memory_mb":64,"sockets":256},`+
		`"known":{"pos":1,"entries":[%s]},"settings":%s}`,
		p.address, journal, eventJSON(1, true, entryJSON("a", p.node.listener.Addr().String(), "ready")), settingsText)
	if err := os.WriteFile(p.file+".new", []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(p.file+".new", p.file); err != nil {
		p.t.Fatal(err)
	}
}

func startProcess(t *testing.T, journal string) *schedulerProcess {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &schedulerProcess{
		loopbackRig: &loopbackRig{t: t, node: newTCPNode(t), address: free.Addr().String()},
		file:        filepath.Join(t.TempDir(), "config.json"), stderr: &logBuffer{},
	}
	closeQuietly(free)
	p.writeConfiguration(journal)
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(exe)
	p.cmd.Env = append(os.Environ(), runVariable+"=1", "GW_CONFIG="+p.file)
	p.cmd.Stderr = p.stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	p.waitFor("the scheduler listens for clients", func() bool { return p.stderr.has(`"message":"listening for clients"`) })
	return p
}

func (p *schedulerProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// TestSignals sends a scheduler's process SIGHUP in quick succession, in part with files that can't be read, and SIGTERM right after one, while a
// request is open. The last valid configuration is applied, the open request is answered, and the process exits with status 0.
func TestSignals(t *testing.T) {
	first, firstRequests := startJournal(t)
	second, secondRequests := startJournal(t)
	third, _ := startJournal(t)
	p := startProcess(t, first)
	p.waitFor("the first journal service receives a request", func() bool { return firstRequests() > 0 })
	x := p.dial()
	x.request(7, "single")
	p.waitFor("the node receives the set-up", func() bool { return slices.Contains(p.node.receivedSetUps(), 7) })
	for i := range 20 {
		if i%3 == 0 {
			if err := os.WriteFile(p.file, []byte(`{"name":`), 0o600); err != nil {
				t.Fatal(err)
			}
		} else {
			p.writeConfiguration([]string{first, third}[i%2])
		}
		p.signal(syscall.SIGHUP)
	}
	if err := os.WriteFile(p.file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	p.waitFor("the rejected configuration is logged", func() bool { return p.stderr.has("configuration rejected; keeping the previous one") })
	p.writeConfiguration(second)
	p.signal(syscall.SIGHUP)
	p.waitFor("the last journal service receives a request", func() bool { return secondRequests() > 0 })
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.waitFor("the shutdown request is logged", func() bool { return p.stderr.has("shutdown requested") })
	p.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
	x.expect("7 served at a", "closed")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
}
