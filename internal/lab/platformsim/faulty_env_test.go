package platformsim

import (
	"strings"

	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// lateCloseEnv has clients' closes read 1.5 s late, and answers whether they have closed, or does not.
type lateCloseEnv struct {
	env.Environment
	answersPeerClosed bool
}

func (d lateCloseEnv) Listen(address string, accept func(env.Conn)) (env.Listener, error) {
	return d.Environment.Listen(address, func(c env.Conn) { accept(&lateCloseConn{Conn: c, env: d}) })
}

type lateCloseConn struct {
	env.Conn
	env lateCloseEnv
}

func (l *lateCloseConn) PeerClosed() bool { return l.env.answersPeerClosed && l.Conn.PeerClosed() }

func (l *lateCloseConn) Start(p env.ConnHandler, stuck float64) {
	l.Conn.Start(lateCloseHandler{p, l.env}, stuck)
}

type lateCloseHandler struct {
	env.ConnHandler
	env lateCloseEnv
}

func (l lateCloseHandler) OnData(b []byte) {
	if b != nil {
		l.ConnHandler.OnData(b)
	}
}

func (l lateCloseHandler) OnClose(err error) {
	l.env.After(1500, func() { l.ConnHandler.OnClose(err) })
}

// forgetfulEnv drops notes of nodes, and has every end of a task that was not answered look like a reset without a reason.
type forgetfulEnv struct{ env.Environment }

func (f forgetfulEnv) Dial(address string, within float64, done func(env.Conn, error)) {
	f.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil && !strings.HasPrefix(address, "journal") { // which speaks another protocol
			c = &forgetfulConn{Conn: c}
		}
		done(c, err)
	})
}

type forgetfulConn struct{ env.Conn }

func (c *forgetfulConn) Start(p env.ConnHandler, stuck float64) {
	c.Conn.Start(&forgetfulHandler{ConnHandler: p, answered: map[uint64]bool{}}, stuck)
}

type forgetfulHandler struct {
	env.ConnHandler
	in       []byte
	answered map[uint64]bool
}

func (p *forgetfulHandler) OnData(b []byte) {
	if b == nil {
		p.ConnHandler.OnData(nil)
		return
	}
	p.in = append(p.in, b...)
	var out []byte
	for {
		msg, took, err := codec.Next(p.in)
		if err != nil || took == 0 {
			break
		}
		out = append(out, p.filter(msg, p.in[:took])...)
		p.in = p.in[took:]
	}
	if len(out) > 0 {
		p.ConnHandler.OnData(out)
	}
}

func (p *forgetfulHandler) filter(msg, whole []byte) []byte {
	task := codec.Task(msg)
	switch cause, _ := codec.CauseOf(msg); codec.Kind(msg) {
	case codec.KindAnswer:
		p.answered[task] = true
	case codec.KindNote:
		return nil
	case codec.KindEnd:
		if !p.answered[task] && (cause == codec.CauseNormal || cause == codec.CauseReset) {
			return codec.AppendEnd(nil, task, codec.CauseReset)
		}
	}
	return whole
}

// firstJournalEnv dials the first address of the journal service whatever address is asked for.
type firstJournalEnv struct {
	env.Environment
	journal string
}

func (o *firstJournalEnv) Dial(address string, within float64, done func(env.Conn, error)) {
	if strings.HasPrefix(address, "journal") {
		if o.journal == "" {
			o.journal = address
		}
		address = o.journal
	}
	o.Environment.Dial(address, within, done)
}

// slowWriterEnv has connections hand over what is sent 200 ms later.
type slowWriterEnv struct{ env.Environment }

func (s slowWriterEnv) Dial(address string, within float64, done func(env.Conn, error)) {
	s.Environment.Dial(address, within, func(c env.Conn, err error) {
		if err == nil {
			c = &slowWriterConn{Conn: c, w: s.Environment}
		}
		done(c, err)
	})
}

type slowWriterConn struct {
	env.Conn
	w    env.Environment
	sent uint64
}

func (b *slowWriterConn) Send(f func([]byte) []byte) (uint64, int, bool) {
	msg := f(nil)
	b.sent += uint64(len(msg))
	b.w.After(200, func() { b.Conn.Send(func(q []byte) []byte { return append(q, msg...) }) })
	return b.sent, len(msg), true
}

func (b *slowWriterConn) Unsend(uint64, int) bool { return false }

// closingEnv closes a client's connection at every thirtieth message, whatever is open on it.
type closingEnv struct{ env.Environment }

func (c closingEnv) Listen(address string, accept func(env.Conn)) (env.Listener, error) {
	return c.Environment.Listen(address, func(x env.Conn) { accept(&closingConn{Conn: x}) })
}

type closingConn struct {
	env.Conn
	n int
}

func (s *closingConn) Send(f func([]byte) []byte) (uint64, int, bool) {
	if s.n++; s.n%30 == 0 {
		s.Close(true, nil)
	}
	return s.Conn.Send(f)
}

// lossyEnv loses every hundredth message to clients.
type lossyEnv struct{ env.Environment }

func (l lossyEnv) Listen(address string, accept func(env.Conn)) (env.Listener, error) {
	return l.Environment.Listen(address, func(c env.Conn) { accept(&lossyConn{Conn: c}) })
}

type lossyConn struct {
	env.Conn
	n int
}

func (l *lossyConn) Send(f func([]byte) []byte) (uint64, int, bool) {
	if l.n++; l.n%100 == 0 {
		return 0, 0, true
	}
	return l.Conn.Send(f)
}
