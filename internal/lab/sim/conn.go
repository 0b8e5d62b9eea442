package sim

import (
	"io"

	"ravenpond/internal/env"
)

// Sizes in bytes.
const (
	sendWindow           = 16 << 10 // that may be on their way
	maxSegment           = 1460
	readChunk            = 4096     // that a reader takes at a time
	synchronousReadChunk = 16 << 10 // where writes are synchronous
)

// Times in ms.
const (
	maxWriterDelay  = 0.05 // until a writer hands over what was queued
	retryInterval   = 200  // between two tries on a link that is cut
	farewellTimeout = 50   // for the last message of a connection that was closed
)

// fullSegments is of how many segments one is shorter than it could be.
const fullSegments = 4

// conn is one end of a connection. It implements env.Conn.
type conn struct {
	process *Process
	remote  *conn
	link    *link
	handler env.ConnHandler // nil until Start

	outgoing        []byte // not handed over yet
	farewell        []byte // sent last, and not counted in sent
	sent            uint64 // bytes ever queued
	handedOver      uint64 // bytes handed to the network
	handedOverKnown uint64 // of those, what the process knows of
	inFlight        int    // bytes handed over that the other end has not read
	lastArrival     float64
	pumping         bool
	writeTimeout    float64
	lastProgress    float64 // when something was last handed over, ms

	ended        bool // closed by its own process, or by the network
	endReason    error
	closed       bool // nothing passes any more
	remoteClosed bool // the other end's close has arrived, though what it sent before may be unread
	halfOpen     bool // the other end is gone and this one was not told
	stalledUntil float64
	beforeStart  []func() // what arrived before Start

	// Where code takes time: what arrived and was not read, and whether a read is scheduled.
	unread        []byte
	reading       bool
	deliveryWaits []deliveryWait
}

// deliveryWait is a call for when the other end has read so many bytes.
type deliveryWait struct {
	upTo uint64
	call func()
}

// Start implements env.Conn.
func (c *conn) Start(handler env.ConnHandler, writeTimeout float64) {
	clock := c.process.clock
	c.handler, c.writeTimeout, c.lastProgress = handler, writeTimeout, clock.now
	if len(c.beforeStart) == 0 {
		return
	}
	clock.schedule(c.process, clock.now, func() {
		pending := c.beforeStart
		c.beforeStart = nil
		for _, call := range pending {
			if !c.closed {
				call()
			}
		}
	})
}

// Send implements env.Conn.
func (c *conn) Send(appendTo func(b []byte) []byte) (sent uint64, waits int, ok bool) {
	if c.ended || c.closed || !c.process.effect() {
		return c.sent, 0, false
	}
	before := len(c.outgoing)
	if before == 0 {
		c.lastProgress = c.process.clock.now
	}
	c.outgoing = appendTo(c.outgoing)
	c.sent += uint64(len(c.outgoing) - before)
	if c.process.SynchronousWrites {
		c.process.charge(func(cost *CPUCost) float64 { return cost.Write })
		c.process.afterWork(c.transmit)
	} else {
		c.pump()
	}
	return c.sent, len(c.outgoing), true
}

// Delivered returns how many of the bytes that were sent the other end has read.
func (c *conn) Delivered() uint64 { return c.handedOver - uint64(c.inFlight) }

// HandedOver implements env.Conn.
func (c *conn) HandedOver() uint64 { return c.handedOverKnown }

// Unsend implements env.Conn.
func (c *conn) Unsend(sent uint64, n int) bool {
	if c.ended || c.closed || sent != c.sent || len(c.outgoing) < n {
		return false
	}
	c.outgoing = c.outgoing[:len(c.outgoing)-n]
	c.sent -= uint64(n)
	return true
}

// PeerClosed implements env.Conn.
func (c *conn) PeerClosed() bool { return c.remoteClosed || c.closed }

// Close implements env.Conn.
func (c *conn) Close(soft bool, last []byte) {
	if c.ended || c.closed {
		return
	}
	c.ended, c.endReason = true, env.ErrClosed
	if !soft {
		c.sent -= uint64(len(c.outgoing))
		c.outgoing = nil
	}
	c.farewell = append([]byte(nil), last...)
	c.pump()
	clock := c.process.clock
	clock.schedule(c.process, clock.now+farewellTimeout, c.finish)
}

// updateHandedOver lets the process know what was handed over: a writer of its own tells it in its turn.
func (c *conn) updateHandedOver() {
	if c.process.cpu == nil || c.process.SynchronousWrites {
		c.handedOverKnown = c.handedOver
		return
	}
	clock := c.process.clock
	clock.schedule(c.process, clock.now, func() { c.handedOverKnown = c.handedOver })
}

// pump has a writer hand over what is queued in a moment.
func (c *conn) pump() {
	if c.pumping || c.closed {
		return
	}
	c.pumping = true
	clock := c.process.clock
	writer := c.process
	if writer.cpu == nil || writer.SynchronousWrites {
		writer = nil // the network's own work
	}
	clock.schedule(writer, clock.now+maxWriterDelay*clock.rng.Float64(), func() {
		c.pumping = false
		if writer != nil {
			writer.charge(func(cost *CPUCost) float64 { return cost.Write })
			writer.afterWork(c.transmit)
			return
		}
		c.transmit()
	})
}

// transmit hands over what is queued, then the last message of a connection that was closed. What is left is tried again, until the write
// time-out.
func (c *conn) transmit() {
	clock := c.process.clock
	if c.closed {
		return
	}
	if c.halfOpen && len(c.outgoing)+len(c.farewell) > 0 { // the other host knows of no such connection, and says so
		clock.schedule(c.process, clock.now+clock.delay(c.link), func() { c.close(errReset) })
		return
	}
	c.sendSegments()
	if c.ended && len(c.outgoing) == 0 && len(c.farewell) > 0 && !c.link.cut {
		farewell := c.farewell
		c.farewell = nil
		c.carry(farewell)
	}
	switch {
	case c.ended && len(c.outgoing) == 0 && c.inFlight == 0:
		c.finish()
	case len(c.outgoing) > 0 && c.writeTimeout > 0 && clock.now-c.lastProgress >= c.writeTimeout:
		c.close(env.ErrStalled)
	case len(c.outgoing) > 0:
		clock.schedule(nil, clock.now+retryInterval, c.transmit)
	}
}

// sendSegments hands queued bytes to the network in segments of any size, as far as the window allows.
func (c *conn) sendSegments() {
	clock := c.process.clock
	for len(c.outgoing) > 0 && c.inFlight < sendWindow && !c.link.cut {
		n := min(len(c.outgoing), 1+clock.rng.IntN(maxSegment), sendWindow-c.inFlight)
		if clock.rng.IntN(fullSegments) > 0 {
			n = min(len(c.outgoing), maxSegment, sendWindow-c.inFlight)
		}
		segment := append([]byte(nil), c.outgoing[:n]...)
		c.outgoing = c.outgoing[:copy(c.outgoing, c.outgoing[n:])]
		c.handedOver += uint64(n)
		c.updateHandedOver()
		c.lastProgress = clock.now
		c.carry(segment)
	}
}

// carry brings a segment to the other end, after all that was sent before it.
func (c *conn) carry(segment []byte) {
	clock, remote := c.process.clock, c.remote
	c.inFlight += len(segment)
	c.lastArrival = max(c.lastArrival, clock.now+clock.delay(c.link))
	clock.schedule(nil, c.lastArrival, func() { remote.arrive(segment) })
}

// arrive takes a segment at this end; on a link that is cut, or where nothing is read, it waits.
func (c *conn) arrive(segment []byte) {
	clock := c.process.clock
	if c.closed {
		return
	}
	if c.link.cut || clock.now < c.stalledUntil {
		clock.schedule(nil, max(clock.now+retryInterval, c.stalledUntil), func() { c.arrive(segment) })
		return
	}
	if c.process.cpu != nil { // what waits to be read is read together
		if c.unread = append(c.unread, segment...); !c.reading {
			c.reading = true
			c.dispatch(c.read)
		}
		return
	}
	c.dispatch(func() { c.deliver(segment) })
}

// read takes all that arrived, a chunk at a time.
func (c *conn) read() {
	unread := c.unread
	c.unread, c.reading = nil, false
	chunk := readChunk
	if c.process.SynchronousWrites {
		chunk = synchronousReadChunk
	}
	for len(unread) > 0 && !c.closed {
		n := min(len(unread), chunk)
		c.process.charge(func(cost *CPUCost) float64 { return cost.Read + float64(n)*cost.Byte })
		c.deliver(unread[:n])
		unread = unread[n:]
	}
}

// deliver hands bytes to the handler.
func (c *conn) deliver(b []byte) {
	c.remote.onDelivered(len(b))
	if !c.ended {
		c.process.clock.tracef("%s<%s %d\n", c.process.Name, c.remote.process.Name, len(b))
		c.handler.OnData(b)
	}
}

// dispatch calls f as an event of this end's process, once the connection was started.
func (c *conn) dispatch(f func()) {
	clock := c.process.clock
	clock.schedule(c.process, clock.now, func() {
		switch {
		case c.closed:
		case c.handler == nil || len(c.beforeStart) > 0:
			c.beforeStart = append(c.beforeStart, f)
		default:
			f()
		}
	})
}

// finish closes this end after its last message, and tells the other.
func (c *conn) finish() {
	if c.closed {
		return
	}
	c.sendClose()
	c.close(c.endReason)
}

// sendClose tells the other end, after all that was sent, that this one is closed.
func (c *conn) sendClose() {
	clock := c.process.clock
	c.lastArrival = max(c.lastArrival, clock.now+clock.delay(c.link))
	clock.schedule(nil, c.lastArrival, c.remote.arriveClose)
}

// arriveClose takes the other end's close.
func (c *conn) arriveClose() {
	clock := c.process.clock
	if c.closed {
		return
	}
	if c.link.cut || clock.now < c.stalledUntil {
		clock.schedule(nil, max(clock.now+retryInterval, c.stalledUntil), c.arriveClose)
		return
	}
	c.remoteClosed = true
	c.dispatch(func() {
		if !c.ended {
			c.handler.OnData(nil)
		}
		c.close(io.EOF)
	})
}

// close ends this end. Its handler is told once, with the reason of its own Close if there was one.
func (c *conn) close(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	if c.endReason != nil {
		reason = c.endReason
	}
	c.ended = true
	c.handedOverKnown = c.handedOver
	c.unregister()
	clock := c.process.clock
	if c.handler != nil && !c.process.dead {
		clock.schedule(c.process, clock.now, func() { c.handler.OnClose(reason) })
	}
}

func (c *conn) unregister() {
	for i, other := range c.process.conns {
		if other == c {
			c.process.conns = append(c.process.conns[:i], c.process.conns[i+1:]...)
			return
		}
	}
}

// dropWithProcess ends this end with its process. After a power loss the other end finds out by itself.
func (c *conn) dropWithProcess(powerLoss bool) {
	if c.closed {
		return
	}
	if powerLoss {
		c.remote.halfOpen = true
	} else {
		c.sendClose()
	}
	c.closed = true
}

// Reset breaks a connection; what is on its way is lost. If only this end is told, the other finds out when it sends.
func (c *conn) Reset(both bool) {
	if c.closed {
		return
	}
	c.close(errReset)
	if both {
		c.remote.close(errReset)
	} else {
		c.remote.halfOpen = true
	}
}

// Stall has nothing read at this end for so many ms.
func (c *conn) Stall(ms float64) { c.stalledUntil = max(c.stalledUntil, c.process.clock.now+ms) }

// notifyDelivered calls f when the other end has read all that was sent so far; never if it does not.
func (c *conn) notifyDelivered(f func()) {
	c.deliveryWaits = append(c.deliveryWaits, deliveryWait{c.sent, f})
}

// onDelivered notes that the other end has read n bytes.
func (c *conn) onDelivered(n int) {
	c.inFlight -= n
	c.pump()
	for len(c.deliveryWaits) > 0 && int64(c.handedOver)-int64(c.inFlight) >= int64(c.deliveryWaits[0].upTo) {
		call := c.deliveryWaits[0].call
		c.deliveryWaits = c.deliveryWaits[1:]
		call()
	}
}
