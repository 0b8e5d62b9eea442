package platform

import (
	"bytes"
	"strconv"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/env"
)

// maxLineBytes bounds an incomplete line of the journal. No valid list of nodes is longer.
const maxLineBytes = 4 << 20

// watchConn is a connection to the journal service that is open, closed or being established. It implements env.ConnHandler. Server.mu guards it.
type watchConn struct {
	watch   *endpointWatch
	conn    env.Conn // nil while the connection is being established
	partial []byte   // the received part of an incomplete line
	closed  bool
}

// onDialed processes the result of a dial, and requests the events after the last one that was applied.
func (c *watchConn) onDialed(conn env.Conn, err error) {
	w := c.watch
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	now := w.server.env.Now()
	switch {
	case c.closed && err == nil:
		conn.Close(false, nil)
	case c.closed:
	case err != nil:
		c.closed = true
		w.retrier.OnDisconnected(now)
	default:
		c.conn = conn
		w.retrier.OnConnected(now)
		conn.Start(c, connlimits.WriteTimeout)
		conn.Send(func(b []byte) []byte {
			return append(strconv.AppendUint(append(b, "tail "...), w.position, 10), '\n')
		})
	}
}

// OnData applies the lines in received bytes; nil means that the service has closed its side.
func (c *watchConn) OnData(b []byte) {
	w := c.watch
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	if c.closed {
		return
	}
	now := w.server.env.Now()
	if b == nil {
		c.close(now)
		return
	}
	w.retrier.OnBytes(now)
	c.partial = append(c.partial, b...)
	if err := c.applyLines(now); err != nil {
		w.server.log.Warn().Str("mode", "journal").Uint64("pos", w.position).Err(err).Msg("can't apply an event of the journal service; reconnecting")
		c.close(now)
		return
	}
	if len(c.partial) > maxLineBytes {
		c.close(now)
		return
	}
	w.server.loop.wake()
}

// applyLines applies the complete lines in the received bytes.
func (c *watchConn) applyLines(now float64) error {
	consumed := false
	for {
		line, rest, complete := bytes.Cut(c.partial, []byte("\n"))
		if !complete {
			break
		}
		if err := c.watch.applyLine(now, line); err != nil {
			return err
		}
		c.watch.retrier.OnEvent(now)
		c.partial, consumed = rest, true
	}
	if consumed { // the rest is copied to free the buffer, but not while a line arrives in small parts
		c.partial = append([]byte(nil), c.partial...)
	}
	return nil
}

// OnClose is called when the connection has ended.
func (c *watchConn) OnClose(error) {
	w := c.watch
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	c.close(w.server.env.Now())
}

// close closes the connection. The retrier decides when another one is made.
func (c *watchConn) close(now float64) {
	if c.closed {
		return
	}
	c.closed, c.partial = true, nil
	c.conn.Close(false, nil)
	c.watch.retrier.OnDisconnected(now)
}

// discard closes the connection, or abandons the dial, without informing the retrier.
func (c *watchConn) discard() {
	c.closed = true
	if c.conn != nil {
		c.conn.Close(false, nil)
	}
}
