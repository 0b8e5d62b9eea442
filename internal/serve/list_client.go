package serve

import (
	"fmt"
	"slices"
	"sync"

	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// listCall is a kind of request to the list server.
type listCall uint8

const (
	watchCall       listCall = iota // asks for the changes from now on
	unwatchCall                     // ends the watch
	fullCall                        // asks for the whole list once
	maintenanceCall                 // reports which nodes are under maintenance; it has no answer
)

// hasAnswer reports whether the list server answers the call immediately.
func (c listCall) hasAnswer() bool { return c == watchCall || c == fullCall }

// Times of the list connection in ms, and limits.
const (
	listDialTimeout   = 1000
	listAnswerTimeout = 3000
	listStuckTimeout  = 3000 // how long the list server may accept no byte before the connection is closed
	maxPendingCalls   = 8
	maxRetryDelay     = 3600e3 // a retry that is due later is not scheduled at all
)

// listHandler handles answers and failures of the list server. Its methods are called without a lock held.
type listHandler interface {
	// onListAnswer handles a complete answer. An error closes the connection.
	onListAnswer(listAnswer) error
	// onListFailed is called when a call was not answered.
	onListFailed()
}

// listClient sends calls to the list server over one connection at a time. If the list server pushes changes, the client keeps a watch open
// and reconnects by itself; otherwise it connects only to send calls.
//
// Calls may come from any goroutine; events of the connection come one at a time. The lock order is listClient, then maintenanceRunner or
// endpointList.
type listClient struct {
	*process
	endpoints   *endpointList
	maintenance *maintenanceRunner
	handler     listHandler
	watches     bool // whether the list server pushes changes

	mu          sync.Mutex // guards the fields below
	pacer       *reconnect.Pacer
	pending     []listCall
	conn        env.Conn // nil while there is no connection
	dialing     bool
	greeted     bool
	sentCall    bool // whether a call other than maintenanceCall is pending or was sent on this connection
	dialedAt    float64
	answerTimer env.Timer // runs while the client waits for an answer
	closed      bool

	// Only the events of the connection use these fields. They are reset between two connections.
	splitter line.Splitter
	answer   listAnswerReader
}

func newListClient(p *process, endpoints *endpointList, maintenance *maintenanceRunner, handler listHandler) *listClient {
	l := &listClient{
		process: p, endpoints: endpoints, maintenance: maintenance, handler: handler,
		watches: !p.config.Site.Cluster.PollsList, pacer: reconnect.New(p.config.Seed + 1),
	}
	l.answer = listAnswerReader{complete: l.onAnswer, failed: l.onFailure}
	return l
}

// start opens the watch if the list server pushes changes.
func (l *listClient) start() {
	if !l.watches {
		return
	}
	l.mu.Lock()
	l.pacer.SetEnabled(l.env.Now(), 0, true)
	l.mu.Unlock()
	l.dialWhenDue()
}

// call sends a call. It fails immediately while maxPendingCalls calls wait for a connection.
func (l *listClient) call(call listCall) {
	l.mu.Lock()
	full := len(l.pending) >= maxPendingCalls
	if !full {
		l.pending = append(l.pending, call)
	}
	l.mu.Unlock()
	if !full {
		l.async(l.flush)
	} else if call != maintenanceCall {
		l.async(l.handler.onListFailed)
	}
}

// dialWhenDue connects to open the watch, now or as soon as the pacer allows it.
func (l *listClient) dialWhenDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.dialing || l.conn != nil {
		return
	}
	now := l.env.Now()
	if _, ok := l.pacer.Next(now); ok {
		l.pending = append([]listCall{watchCall}, l.pending...)
		l.dial()
		return
	}
	if due := l.pacer.Due(); due < now+maxRetryDelay {
		l.env.After(max(1, due-now), l.dialWhenDue)
	}
}

// flush sends the pending calls. It opens a connection if there is none.
func (l *listClient) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
	case l.greeted:
		l.sendPending()
	case l.dialing || l.conn != nil:
	default:
		l.dropUnneeded()
		if len(l.pending) == 0 {
			return
		}
		if l.watches && !slices.Contains(l.pending, watchCall) {
			l.pending = append([]listCall{watchCall}, l.pending...)
		}
		l.dial()
	}
}

// dropUnneeded removes the pending calls that do not justify opening a connection. The caller holds mu.
func (l *listClient) dropUnneeded() {
	l.pending = slices.DeleteFunc(l.pending, func(call listCall) bool {
		if call == maintenanceCall && l.watches { // a connection begins with the watch; the maintenance marks are sent at the next poll
			l.maintenance.resendMarks()
			return true
		}
		return call == unwatchCall // without a connection there is no watch to end
	})
}

// dial starts to connect to the list server. The caller holds mu.
func (l *listClient) dial() {
	l.dialing, l.dialedAt = true, l.env.Now()
	l.sentCall = slices.ContainsFunc(l.pending, func(call listCall) bool { return call != maintenanceCall })
	l.env.Dial(l.config.Site.ListAddress, listDialTimeout, l.onDialed)
}

func (l *listClient) onDialed(conn env.Conn, err error) {
	l.mu.Lock()
	l.dialing = false
	if err == nil && l.closed {
		conn.Close(false, nil)
	}
	if err != nil || l.closed {
		l.mu.Unlock()
		l.onLost(fmt.Errorf("cannot connect: %w", err))
		return
	}
	l.conn, l.greeted = conn, false
	l.splitter, l.answer.open = line.Splitter{}, false
	l.startAnswerTimer()
	l.mu.Unlock()
	conn.Start(l, listStuckTimeout)
	conn.Send(func(b []byte) []byte {
		return line.AppendGreeting(b, list.GreetingLine, "Scheduler", l.config.Name)
	})
}

// startAnswerTimer closes the connection unless an answer arrives within listAnswerTimeout. The caller holds mu.
func (l *listClient) startAnswerTimer() {
	l.stopAnswerTimer()
	conn := l.conn
	l.answerTimer = l.env.After(listAnswerTimeout, func() { conn.Close(false, nil) })
}

// stopAnswerTimer stops the answer timer if it is running. The caller holds mu.
func (l *listClient) stopAnswerTimer() {
	if l.answerTimer != nil {
		l.answerTimer.Stop()
		l.answerTimer = nil
	}
}

// sendPending sends the pending calls. The caller holds mu.
func (l *listClient) sendPending() {
	for _, call := range l.pending {
		l.sentCall = l.sentCall || call != maintenanceCall
		if call.hasAnswer() {
			l.startAnswerTimer()
		}
		l.conn.Send(func(b []byte) []byte { return l.appendCall(b, call) })
	}
	l.pending = l.pending[:0]
}

func (l *listClient) appendCall(b []byte, call listCall) []byte {
	switch call {
	case watchCall:
		return list.AppendWatch(b, l.endpoints.version())
	case fullCall:
		return list.AppendFullRequest(b)
	case unwatchCall:
		return list.AppendUnwatch(b)
	default:
		return l.maintenance.appendMarks(b)
	}
}

// OnData handles bytes received from the list server.
func (l *listClient) OnData(b []byte) {
	l.mu.Lock()
	if !l.greeted {
		header, rest, err := l.splitter.Greeting(b, list.GreetingLine)
		if err != nil {
			l.conn.Close(false, nil)
		}
		if err != nil || header == nil {
			l.mu.Unlock()
			return
		}
		l.greeted, b = true, rest
		l.stopAnswerTimer()
		l.sendPending()
	}
	conn := l.conn
	l.mu.Unlock()
	if err := l.splitter.Feed(b, func(fields [][]byte) error { return list.DecodeList(fields, &l.answer) }); err != nil {
		conn.Close(false, list.AppendBye(nil, err.Error()))
	}
}

// onAnswer handles a complete answer.
func (l *listClient) onAnswer(answer listAnswer) error {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	return l.handler.onListAnswer(answer)
}

// onFailure handles the list server's answer that a call has failed.
func (l *listClient) onFailure() {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	l.handler.onListFailed()
}

// OnClose handles the end of the connection.
func (l *listClient) OnClose(err error) {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.conn, l.greeted = nil, false
	l.mu.Unlock()
	l.onLost(err)
}

// onLost fails the calls of a connection that ended or could not be opened, and schedules the next one.
func (l *listClient) onLost(err error) {
	l.mu.Lock()
	closed, sentCall, now := l.closed, l.sentCall, l.env.Now()
	l.pending = l.pending[:0]
	if l.watches && now-l.dialedAt > 2*listAnswerTimeout {
		l.pacer.OnConnected(now, 0)
		l.pacer.OnDisconnected(now, 0)
	} else if l.watches {
		l.pacer.OnDialFailed(now, 0)
	}
	l.mu.Unlock()
	if closed {
		return
	}
	l.log.Debug().Str("why", fmt.Sprint(err)).Msg("connection to list server ended")
	if sentCall {
		l.handler.onListFailed()
	}
	if l.watches {
		l.dialWhenDue()
	}
}

// close closes the connection and opens no further one.
func (l *listClient) close() {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	l.stopAnswerTimer()
	l.mu.Unlock()
	if conn != nil {
		conn.Close(false, list.AppendBye(nil, "scheduler ends"))
	}
}
