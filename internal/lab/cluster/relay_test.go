package cluster

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// TestRelay puts an echo server behind a relay: lines arrive whole and in order, wait while a route is cut, are delayed or throttled, and
// the connection ends with a reset of its caller only.
func TestRelay(t *testing.T) {
	echo, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(echo)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeQuietly(c)
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	var mu sync.Mutex
	var there, back Route
	set := func(x, y Route) {
		mu.Lock()
		there, back = x, y
		mu.Unlock()
	}
	r, err := newRelay(func() string { return echo.Addr().String() }, func(b []byte) (string, bool) { return "a", len(b) > 0 },
		func(who string) (Route, Route) {
			mu.Lock()
			defer mu.Unlock()
			if who != "a" {
				return Route{Cut: true}, Route{Cut: true}
			}
			return there, back
		})
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	c, err := net.Dial("tcp4", r.address())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	answers := bufio.NewReader(c)
	echoLine := func(line string, within time.Duration) (string, error) {
		if _, err := c.Write([]byte(line)); err != nil {
			return "", err
		}
		_ = c.SetReadDeadline(time.Now().Add(within))
		return answers.ReadString('\n')
	}
	const timeout = 10 * time.Second
	for _, s := range []struct {
		name        string
		there, back Route
		least       time.Duration
	}{
		{"plain", Route{}, Route{}, 0},
		{"request delayed", Route{Delay: 80 * time.Millisecond}, Route{}, 80 * time.Millisecond},
		{"both directions delayed", Route{Delay: 40 * time.Millisecond}, Route{Delay: 40 * time.Millisecond}, 80 * time.Millisecond},
		{"request throttled", Route{BytesPerSecond: 40}, Route{}, 150 * time.Millisecond},
		{"no delay after faults", Route{}, Route{}, 0},
	} {
		set(s.there, s.back)
		began := time.Now()
		got, err := echoLine("one two\n", timeout)
		if took := time.Since(began); err != nil || got != "one two\n" || took < s.least {
			t.Errorf("%s: got %q after %s, error %v", s.name, got, took, err)
		}
	}
	for _, cut := range [][2]Route{{{Cut: true}, {}}, {{}, {Cut: true}}} {
		set(cut[0], cut[1])
		if got, err := echoLine("held\n", 100*time.Millisecond); err == nil {
			t.Errorf("got %q over a route that is cut", got)
		}
		set(Route{}, Route{})
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		if got, err := answers.ReadString('\n'); got != "held\n" {
			t.Errorf("got %q, %v after the route was restored, want the held line", got, err)
		}
	}
	r.reset("b")
	if _, err := echoLine("still\n", timeout); err != nil {
		t.Errorf("the reset of another caller broke the connection: %v", err)
	}
	r.reset("a")
	if _, err := echoLine("gone\n", timeout); err == nil {
		t.Error("the connection still works after a reset")
	}
}

// startEchoRelay starts an echo server and a relay to it that takes the first byte of a connection for the caller's name.
func startEchoRelay(t *testing.T) *relay {
	t.Helper()
	echo, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(echo) })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeQuietly(c)
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	callerOf := func(first []byte) (string, bool) { return string(first[:min(1, len(first))]), len(first) > 0 }
	r, err := newRelay(func() string { return echo.Addr().String() }, callerOf, func(string) (there, back Route) { return Route{}, Route{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	return r
}

// TestResetBeforeCallerIsKnown resets the connections of a caller after one was accepted and before its first bytes tell whose it is: that
// connection ends too, and a later one of the same caller works.
func TestResetBeforeCallerIsKnown(t *testing.T) {
	const timeout = 10 * time.Second
	r := startEchoRelay(t)
	early, err := net.Dial("tcp4", r.address())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(early)
	for end := time.Now().Add(timeout); r.connectionCount() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	r.reset("a")
	_, _ = early.Write([]byte("a"))
	_ = early.SetReadDeadline(time.Now().Add(timeout))
	if n, err := early.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection accepted before the reset: got %d bytes and error %v, want a closed connection", n, err)
	}
	late, err := net.Dial("tcp4", r.address())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(late)
	_, _ = late.Write([]byte("a"))
	_ = late.SetReadDeadline(time.Now().Add(timeout))
	if _, err := late.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection accepted after the reset: %v", err)
	}
}

// TestResetWhileCallersAreIdentified resets a caller's connections while others are being accepted and identified. Under the race detector it
// guards against a caller's name that is written without the lock.
func TestResetWhileCallersAreIdentified(t *testing.T) {
	r := startEchoRelay(t)
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			for range 10 {
				c, err := net.Dial("tcp4", r.address())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = c.Write([]byte("a"))
				r.reset("a")
				_ = c.Close()
			}
		})
	}
	callers.Wait()
}

func (r *relay) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}
