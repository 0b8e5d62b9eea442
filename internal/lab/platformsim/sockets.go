package platformsim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenpond/internal/env"
	"ravenpond/internal/platform"
	"ravenpond/internal/standin"
)

// Times of simulations on sockets.
const (
	startTimeout     = 10 * time.Second
	startPoll        = 10 * time.Millisecond
	endDelay         = 300 // ms after a process ended, within which its peers read what it sent
	listenRetry      = 20  // ms until a host tries again to listen: its last incarnation may still hold the address
	listenTries      = 100
	closeTimeout     = time.Second
	socketResultPoll = 50 * time.Millisecond
)

// Ports of listeners. They are below the range from which the kernel assigns ports to outgoing connections.
const (
	firstSocketPort = 20000
	socketPorts     = 10000
)

// socketAddresses counts the addresses that were given out to all worlds of this process.
var socketAddresses atomic.Int64

// Limits of the scheduler processes.
const (
	socketMemoryMB = 192
	socketLimit    = 300 // sockets
)

// SocketOptions are the options for playing a seed on sockets.
type SocketOptions struct {
	Command []string // the program and arguments before "platform" that run `ravenpond platform`
	Dir     string   // the directory for configurations and logs
}

// PlayOnSockets plays a seed in real time, with processes of `ravenpond platform` and simulated nodes, clients and journal services on loopback.
// Unlike on the simulated network, no link is cut and no scheduler is overloaded; each seed has a flash crowd. The error says why the seed could
// not be played.
func PlayOnSockets(ctx context.Context, seed uint64, options SocketOptions) (Result, error) {
	if err := os.MkdirAll(options.Dir, 0o750); err != nil {
		return Result{}, err
	}
	w := newSocketWorld(options)
	defer w.close()
	sm := newSimulation(seed, Faults{}, w)
	w.sim = sm
	w.locked(func() {
		sm.build()
		w.At(firstRequestAt, sm.sendNext)
	})
	for {
		select {
		case <-ctx.Done():
			return Result{}, ctx.Err()
		case <-time.After(socketResultPoll):
		}
		over := false
		w.locked(func() { over = w.TrueTime() >= activeTime+settleTime || sm.result.Failure != "" || w.failed != nil })
		if over {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sm.checkFinalState()
	return sm.result, w.failed
}

// socketWorld is a world in real time with sockets on loopback. It implements world. mu is held during all callbacks.
type socketWorld struct {
	options   SocketOptions
	clock     *env.Real // for the time, timers and the check whether a process is ready
	startedAt float64   // by that clock, in ms

	mu        sync.Mutex
	sim       *simulation
	closed    bool
	failed    error // why the seed can't be played any further
	addresses map[string]string
	hosts     []*socketHost
	programs  map[*socketProgram]bool // processes that have not ended
}

// newSocketWorld returns a world whose time starts now.
func newSocketWorld(options SocketOptions) *socketWorld {
	clock := env.NewReal()
	return &socketWorld{
		options: options, clock: clock, startedAt: clock.Now(), addresses: map[string]string{}, programs: map[*socketProgram]bool{},
	}
}

// locked calls f as a callback, unless the world is closed.
func (w *socketWorld) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		f()
	}
}

// close ends all hosts and processes.
func (w *socketWorld) close() {
	w.mu.Lock()
	w.closed = true
	hosts, programs := w.hosts, slices.Collect(maps.Keys(w.programs))
	w.mu.Unlock()
	for _, p := range programs {
		_ = p.command.Process.Kill() // the error says that the process has already ended
		<-p.done
	}
	for _, h := range hosts {
		h.env.Close(closeTimeout)
	}
	w.clock.Close(closeTimeout)
}

// TrueTime implements world.
func (w *socketWorld) TrueTime() float64 { return w.clock.Now() - w.startedAt }

// UnixTime implements world.
func (w *socketWorld) UnixTime() float64 {
	return float64(time.Now().UnixNano()) / float64(time.Millisecond)
}

// At implements world.
func (w *socketWorld) At(ms float64, f func()) {
	w.clock.After(max(0, ms-w.TrueTime()), func() { w.locked(f) })
}

// EndDelay implements world.
func (w *socketWorld) EndDelay() float64 { return endDelay }

// Address implements world. The address belongs to this process: nothing else listens at it.
func (w *socketWorld) Address(name string) string {
	if w.addresses[name] == "" {
		number := int(socketAddresses.Add(1))
		w.addresses[name] = standin.LoopbackHost(number) + ":" + strconv.Itoa(firstSocketPort+number%socketPorts)
	}
	return w.addresses[name]
}

// SetCut implements world. Links on loopback can't be cut.
func (w *socketWorld) SetCut(string, string, bool) {}

// IsCut implements world.
func (w *socketWorld) IsCut(string, string) bool { return false }

// NewHost implements world.
func (w *socketWorld) NewHost(string) host {
	h := &socketHost{world: w}
	w.hosts = append(w.hosts, h)
	h.Start()
	return h
}

// socketHost is a host with its own sockets. Each incarnation has an environment, which is closed when the host is killed.
type socketHost struct {
	world *socketWorld
	env   *env.Real
}

// Start implements host.
func (h *socketHost) Start() {
	h.env = env.NewReal()
	h.env.WriteThrough = true
}

// Kill implements host. The peers see that their connections are closed.
func (h *socketHost) Kill(bool) { h.env.Close(0) }

// Vanish implements host. A machine can't vanish on loopback, where connections to it are refused.
func (h *socketHost) Vanish() { h.Kill(true) }

// callback returns a function that calls f with the lock held, unless the host's incarnation has ended by then.
func (h *socketHost) callback(f func()) func() {
	incarnation := h.env
	return func() {
		h.world.locked(func() {
			if h.env == incarnation {
				f()
			}
		})
	}
}

// Now implements env.Environment.
func (h *socketHost) Now() float64 { return h.env.Now() }

// WallClock implements env.Environment.
func (h *socketHost) WallClock() time.Time { return h.env.WallClock() }

// After implements env.Environment.
func (h *socketHost) After(ms float64, f func()) env.Timer { return h.env.After(ms, h.callback(f)) }

// StartLoop implements env.Environment. Simulated nodes, clients and journal services start no loops.
func (h *socketHost) StartLoop(turn func() float64) env.Loop { return h.env.StartLoop(turn) }

// ListenPacket implements env.Environment.
func (h *socketHost) ListenPacket(address string, onDatagram func([]byte)) (env.PacketConn, error) {
	return h.env.ListenPacket(address, onDatagram)
}

// Dial implements env.Environment.
func (h *socketHost) Dial(address string, timeoutMs float64, onDone func(env.Conn, error)) {
	h.env.Dial(address, timeoutMs, func(c env.Conn, err error) {
		h.callback(func() { onDone(h.wrap(c), err) })()
	})
}

// Listen implements env.Environment. It retries for a while if the address is still in use.
func (h *socketHost) Listen(address string, onAccept func(env.Conn)) (env.Listener, error) {
	l := &socketListener{address: address}
	h.listen(l, onAccept, listenTries)
	return l, nil
}

// listen listens at the address of l, and retries up to the given number of times.
func (h *socketHost) listen(l *socketListener, onAccept func(env.Conn), tries int) {
	listener, err := h.env.Listen(l.address, func(c env.Conn) { h.callback(func() { onAccept(h.wrap(c)) })() })
	switch {
	case err == nil:
		l.listener = listener
	case tries > 0:
		h.After(listenRetry, func() { h.listen(l, onAccept, tries-1) })
	default:
		h.world.failed = err
	}
}

// socketListener implements env.Listener.
type socketListener struct {
	address  string
	listener env.Listener // nil until listening succeeds
}

// Address implements env.Listener.
func (l *socketListener) Address() string { return l.address }

// Close implements env.Listener.
func (l *socketListener) Close() {
	if l.listener != nil {
		l.listener.Close()
	}
}

// wrap returns a connection whose events are callbacks of the host. It returns nil for nil.
func (h *socketHost) wrap(c env.Conn) env.Conn {
	if c == nil {
		return nil
	}
	return &socketConn{Conn: c, host: h}
}

// socketConn is a connection of a host.
type socketConn struct {
	env.Conn
	host *socketHost
}

// Start implements env.Conn.
func (c *socketConn) Start(handler env.ConnHandler, stallTimeoutMs float64) {
	c.Conn.Start(&socketHandler{handler: handler, host: c.host}, stallTimeoutMs)
}

// Reset breaks the connection. Unsent data is dropped.
func (c *socketConn) Reset(bool) { c.Close(false, nil) }

// Delivered returns 0: the kernel does not report how many bytes the scheduler has read.
func (c *socketConn) Delivered() uint64 { return 0 }

// socketHandler passes on the events of a connection as callbacks of its host.
type socketHandler struct {
	handler env.ConnHandler
	host    *socketHost
}

// OnData implements env.ConnHandler. It ignores the end of the peer's data: OnClose reports it, once this side has closed too.
func (s *socketHandler) OnData(b []byte) {
	if b != nil {
		s.host.callback(func() { s.handler.OnData(b) })()
	}
}

// OnClose implements env.ConnHandler.
func (s *socketHandler) OnClose(err error) { s.host.callback(func() { s.handler.OnClose(err) })() }

// socketProgram is a scheduler process. It implements program.
type socketProgram struct {
	world   *socketWorld
	sched   *scheduler
	command *exec.Cmd
	file    string // path of its configuration
	done    chan struct{}
}

// Launch implements world.
func (w *socketWorld) Launch(s *scheduler, config *platform.Configuration, ready func(program)) {
	p := &socketProgram{
		world: w, sched: s, file: filepath.Join(w.options.Dir, s.name+".json"), done: make(chan struct{}),
		command: exec.Command(w.options.Command[0], append(slices.Clone(w.options.Command[1:]), "platform")...),
	}
	if err := p.writeConfiguration(config); err != nil {
		w.failed = err
		return
	}
	log, err := os.OpenFile(filepath.Join(w.options.Dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.failed = err
		return
	}
	p.command.Env = append(os.Environ(), "GW_CONFIG="+p.file, "GW_NAME="+s.name, "GW_LISTEN="+s.address())
	p.command.Stderr = &socketLog{world: w, sched: s, file: log}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		w.failed = err
		return
	}
	w.programs[p] = true
	go p.wait(log)
	p.awaitReady(time.Now().Add(startTimeout), ready)
}

// wait waits until the process ends. An end with an error that no signal caused is a failure of the seed.
func (p *socketProgram) wait(log *os.File) {
	err := p.command.Wait()
	p.world.mu.Lock()
	delete(p.world.programs, p)
	var exit *exec.ExitError
	if killed := errors.As(err, &exit) && !exit.Exited(); err != nil && !killed && !p.world.closed {
		p.world.sim.fail(fmt.Sprintf("scheduler process %s ended: %v; its log is %s", p.sched.name, err, log.Name()))
	}
	p.world.mu.Unlock()
	_ = log.Close()
	close(p.done)
}

// awaitReady calls ready once clients can connect. The world fails if they can't until end.
func (p *socketProgram) awaitReady(end time.Time, ready func(program)) {
	w := p.world
	w.clock.Dial(p.sched.address(), float64(startTimeout/time.Millisecond), func(c env.Conn, err error) {
		if err == nil {
			c.Close(false, nil)
		}
		w.locked(func() {
			switch {
			case err == nil:
				ready(p)
			case time.Now().After(end):
				w.failed = fmt.Errorf("scheduler process %s did not accept connections in time: %w", p.sched.name, err)
			default:
				w.At(w.TrueTime()+float64(startPoll/time.Millisecond), func() { p.awaitReady(end, ready) })
			}
		})
	})
}

// writeConfiguration writes the configuration to the file that the process reads.
func (p *socketProgram) writeConfiguration(config *platform.Configuration) error {
	text, err := json.Marshal(map[string]any{
		"name": config.Name, "listen": config.Listen, "journal": config.Journal, "seed": strconv.FormatUint(config.Seed, 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": socketMemoryMB, "sockets": socketLimit},
		"known":    json.RawMessage(config.InitialEvents),
		"settings": json.RawMessage(p.sched.settings),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, text, 0o600)
}

// Stop implements program.
func (p *socketProgram) Stop() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Reload implements program.
func (p *socketProgram) Reload(config *platform.Configuration) {
	if err := p.writeConfiguration(config); err != nil {
		p.world.failed = err
		return
	}
	_ = p.command.Process.Signal(syscall.SIGHUP)
}

// Kill implements program.
func (p *socketProgram) Kill() { _ = p.command.Process.Kill() }

// Done implements program.
func (p *socketProgram) Done() <-chan struct{} { return p.done }

// Backlog implements program. It is unknown for a separate process.
func (p *socketProgram) Backlog() float64 { return 0 }

// socketLog writes a process's log to a file and checks it for lines that must not occur.
type socketLog struct {
	world *socketWorld
	sched *scheduler
	file  *os.File
}

// Write implements io.Writer.
func (l *socketLog) Write(b []byte) (int, error) {
	l.world.locked(func() { _, _ = l.sched.Write(b) })
	return l.file.Write(b)
}
