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

// listCall is a request to the list server.
type listCall uint8

const (
	watchCall       listCall = iota // send changes from now on
	unwatchCall                     // send no more changes
	fullCall                        // send the whole list once
	maintenanceCall                 // take note of nodes under maintenance; it has no answer
)

// hasAnswer reports whether the list server answers a call at once.
func (c listCall) hasAnswer() bool { return c == watchCall || c == fullCall }

// Times of the list connection in ms, and bounds.
const (
	listDialTimeout   = 1000
	listAnswerTimeout = 3000
	listStuckTimeout  = 3000 // for which the list server may take no byte
	maxPendingCalls   = 8
	maxRetryDelay     = 3600e3 // a later retry means never
)

// listHandler takes what the list server says. It is called without a lock held.
type listHandler interface {
	// onListAnswer takes a complete answer. An error closes the connection.
	onListAnswer(listAnswer) error
	// onListFailed is called when a call was not answered.
	onListFailed()
}

// listClient makes calls to the list server over one connection at a time. Where the list server pushes changes, it keeps a watch and
// connects again by itself; elsewhere it connects only for calls.
//
// Calls may come from any goroutine, events of the connection come one at a time. The lock order is listClient, then maintenance or
// endpointList.
type listClient struct {
	*process
	endpoints   *endpointList
	maintenance *maintenanceRunner
	handler     listHandler
	watches     bool // the list server pushes changes

	mu          sync.Mutex // guards the fields below
	pacer       *reconnect.Pacer
	pending     []listCall
	conn        env.Conn // nil while there is none
	dialing     bool
	greeted     bool
	sentCall    bool // a call other than maintenanceCall is pending or was sent on this connection
	dialedAt    float64
	answerTimer env.Timer // runs while an answer is due
	closed      bool

	// The events of the connection alone use these; they are reset between two connections.
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

// start opens the watch where the list server pushes changes.
func (l *listClient) start() {
	if !l.watches {
		return
	}
	l.mu.Lock()
	l.pacer.SetEnabled(l.env.Now(), 0, true)
	l.mu.Unlock()
	l.dialWhenDue()
}

// call makes a call. It fails at once while maxPendingCalls wait for a connection.
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

// dialWhenDue connects for the watch, now or when the pace allows it.
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

// flush sends the pending calls, over a new connection if there is none.
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

// dropUnneeded removes the pending calls for which no connection is opened. The caller holds mu.
func (l *listClient) dropUnneeded() {
	l.pending = slices.DeleteFunc(l.pending, func(call listCall) bool {
		if call == maintenanceCall && l.watches { // a connection begins with the watch; the marks follow at the next poll
			l.maintenance.resendMarks()
			return true
		}
		return call == unwatchCall // there is no connection, hence no watch
	})
}

// dial connects. The caller holds mu.
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
		l.onLost(fmt.Errorf("no connection: %w", err))
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

// startAnswerTimer closes the connection unless an answer comes in time. The caller holds mu.
func (l *listClient) startAnswerTimer() {
	l.stopAnswerTimer()
	conn := l.conn
	l.answerTimer = l.env.After(listAnswerTimeout, func() { conn.Close(false, nil) })
}

// stopAnswerTimer stops the timer, if it runs. The caller holds mu.
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

// OnData takes bytes of the list server.
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

// onAnswer takes a complete answer.
func (l *listClient) onAnswer(answer listAnswer) error {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	return l.handler.onListAnswer(answer)
}

// onFailure takes the list server's answer that a call has failed.
func (l *listClient) onFailure() {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	l.handler.onListFailed()
}

// OnClose takes the end of the connection.
func (l *listClient) OnClose(err error) {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.conn, l.greeted = nil, false
	l.mu.Unlock()
	l.onLost(err)
}

// onLost fails the calls of a connection that ended or was never made, and plans the next one.
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
	l.log.Debug().Str("why", fmt.Sprint(err)).Msg("node list connection ended")
	if sentCall {
		l.handler.onListFailed()
	}
	if l.watches {
		l.dialWhenDue()
	}
}

// close ends the connection and opens no other.
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
