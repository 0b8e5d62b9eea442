package sim

import (
	"io"

	"ravenpond/internal/env"
)

// Sizes in bytes.
const (
	sendWindow           = 16 << 10 // most bytes in flight on a connection
	maxSegment           = 1460
	readChunk            = 4096     // most bytes of one read
	synchronousReadChunk = 16 << 10 // most bytes of one read where writes are synchronous
)

// Times in ms.
const (
	maxWriterDelay  = 0.05 // until a writer hands queued bytes to the network
	retryInterval   = 200  // between two attempts to pass data on a link that is cut
	farewellTimeout = 50   // within which a closed connection may still send its last message
	lingerTimeout   = 1000 // for which a connection that was closed gracefully waits for its peer to close
)

// fullSegments is N where one segment in N has a random size; the others are as long as they can be.
const fullSegments = 4

// conn is one end of a connection. It implements env.Conn.
type conn struct {
	process *Process
	remote  *conn
	link    *link
	handler env.ConnHandler // nil until Start

	outgoing          []byte // queued and not handed to the network yet
	farewell          []byte // last message of a closed connection, not counted in sent
	sent              uint64 // bytes queued since the connection was opened
	handedOver        uint64 // bytes handed to the network
	handedOverKnown   uint64 // the part of handedOver that the process has been told of
	inFlight          int    // bytes handed over that the other end has not read
	lastArrival       float64
	transmitScheduled bool
	writeTimeout      float64
	lastProgress      float64 // time in ms when bytes were last handed to the network

	ended        bool // closed by its own process or by the network
	endReason    error
	closed       bool           // no data passes any more, except to a late reader
	late         env.LateReader // the handler of a connection that was closed gracefully and waits for its peer to close, else nil
	remoteClosed bool           // the other end's close has arrived; data that it sent before may be unread
	halfOpen     bool           // the other end no longer exists, and this one was not notified
	stalledUntil float64
	beforeStart  []func() // events that arrived before Start

	// Used where code takes time: the bytes that arrived and were not read, how many have arrived in all, and whether a read is scheduled.
	unread        []byte
	arrived       uint64
	reading       bool
	deliveryWaits []deliveryWait
}

// deliveryWait is a callback that runs once the other end has read a number of bytes.
type deliveryWait struct {
	upTo uint64
	call func()
}

// Start implements env.Conn.
func (c *conn) Start(handler env.ConnHandler, writeTimeout float64) {
	clock := c.process.clock
	c.handler, c.writeTimeout, c.lastProgress = handler, writeTimeout, clock.now
	if c.closed && !c.process.dead { // it was reset before
		clock.schedule(c.process, clock.now, func() { handler.OnClose(c.endReason) })
		return
	}
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
		c.scheduleTransmit()
	}
	return c.sent, len(c.outgoing), true
}

// Delivered returns how many of the sent bytes the other end has read.
func (c *conn) Delivered() uint64 { return c.handedOver - uint64(c.inFlight) }

// PeerName returns the name of the process at the other end.
func (c *conn) PeerName() string { return c.remote.process.Name }

// BytesWritten implements env.Conn.
func (c *conn) BytesWritten() uint64 { return c.handedOverKnown }

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

// Unread implements env.Conn. Where code takes no time, nothing lies unread.
func (c *conn) Unread(buffer []byte) (from uint64, unread []byte) {
	c.process.charge(func(cost *CPUCost) float64 { return cost.Read })
	return c.arrived - uint64(len(c.unread)), append(buffer, c.unread...)
}

// Close implements env.Conn.
func (c *conn) Close(soft bool, last []byte) {
	if c.ended || c.closed {
		return
	}
	c.ended, c.endReason = true, env.ErrClosed
	if !soft {
		c.sent -= uint64(len(c.outgoing))
		c.outgoing = nil
	} else if late, ok := c.handler.(env.LateReader); ok {
		c.late = late
		c.process.clock.schedule(c.process, c.process.clock.now+lingerTimeout, func() { c.endLate(false) })
	}
	c.farewell = append([]byte(nil), last...)
	c.scheduleTransmit()
	clock := c.process.clock
	clock.schedule(c.process, clock.now+farewellTimeout, c.finish)
}

// updateHandedOver tells the process how many bytes were handed to the network. If the process has a separate writer, the writer does so in
// an event of its own.
func (c *conn) updateHandedOver() {
	if c.process.cpu == nil || c.process.SynchronousWrites {
		c.handedOverKnown = c.handedOver
		return
	}
	clock := c.process.clock
	clock.schedule(c.process, clock.now, func() { c.handedOverKnown = c.handedOver })
}

// scheduleTransmit schedules the writer, which hands queued bytes to the network after a short random delay.
func (c *conn) scheduleTransmit() {
	if c.transmitScheduled || c.closed {
		return
	}
	c.transmitScheduled = true
	clock := c.process.clock
	writer := c.process
	if writer.cpu == nil || writer.SynchronousWrites {
		writer = nil // the network does the work
	}
	clock.schedule(writer, clock.now+maxWriterDelay*clock.rng.Float64(), func() {
		c.transmitScheduled = false
		if writer != nil {
			writer.charge(func(cost *CPUCost) float64 { return cost.Write })
			writer.afterWork(c.transmit)
			return
		}
		c.transmit()
	})
}

// transmit hands queued bytes to the network, then the last message of a connection that was closed. It retries the remaining bytes until
// the write time-out.
func (c *conn) transmit() {
	clock := c.process.clock
	if c.closed {
		return
	}
	if c.isUnknownToPeer() && len(c.outgoing)+len(c.farewell) > 0 { // the other host answers with a reset
		clock.schedule(c.process, clock.now+clock.delay(c.link), func() { c.close(errReset) })
		return
	}
	c.sendSegments()
	if c.ended && len(c.outgoing) == 0 && len(c.farewell) > 0 && !c.link.cut {
		farewell := c.farewell
		c.farewell = nil
		c.scheduleArrival(farewell)
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

// isUnknownToPeer reports whether the other host is there and does not know the connection.
func (c *conn) isUnknownToPeer() bool { return c.halfOpen && !c.remote.process.unreachable }

// sendSegments hands queued bytes to the network in segments of varying size, as far as the send window allows.
func (c *conn) sendSegments() {
	clock := c.process.clock
	for len(c.outgoing) > 0 && c.inFlight < sendWindow && !c.link.cut && !c.remote.process.unreachable {
		n := min(len(c.outgoing), 1+clock.rng.IntN(maxSegment), sendWindow-c.inFlight)
		if clock.rng.IntN(fullSegments) > 0 {
			n = min(len(c.outgoing), maxSegment, sendWindow-c.inFlight)
		}
		segment := append([]byte(nil), c.outgoing[:n]...)
		c.outgoing = c.outgoing[:copy(c.outgoing, c.outgoing[n:])]
		c.handedOver += uint64(n)
		c.updateHandedOver()
		c.lastProgress = clock.now
		c.scheduleArrival(segment)
	}
}

// scheduleArrival schedules the arrival of a segment at the other end, after all segments that were sent before it.
func (c *conn) scheduleArrival(segment []byte) {
	clock, remote := c.process.clock, c.remote
	c.inFlight += len(segment)
	c.lastArrival = max(c.lastArrival, clock.now+clock.delay(c.link))
	clock.schedule(nil, c.lastArrival, func() { remote.arriveSegment(segment) })
}

// arriveSegment accepts a segment at this end. While the link is cut or this end is stalled, the segment waits.
func (c *conn) arriveSegment(segment []byte) {
	clock := c.process.clock
	if c.isDeaf() {
		return
	}
	if c.link.cut || clock.now < c.stalledUntil {
		clock.schedule(nil, max(clock.now+retryInterval, c.stalledUntil), func() { c.arriveSegment(segment) })
		return
	}
	if c.process.cpu != nil { // one read takes all segments that wait
		c.arrived += uint64(len(segment))
		if c.unread = append(c.unread, segment...); !c.reading {
			c.reading = true
			c.dispatch(c.read)
		}
		return
	}
	c.dispatch(func() { c.deliver(segment) })
}

// read reads all bytes that have arrived, a chunk at a time.
func (c *conn) read() {
	unread := c.unread
	c.unread, c.reading = nil, false
	chunk := readChunk
	if c.process.SynchronousWrites {
		chunk = synchronousReadChunk
	}
	for len(unread) > 0 && !c.isDeaf() {
		n := min(len(unread), chunk)
		c.process.charge(func(cost *CPUCost) float64 { return cost.Read + float64(n)*cost.Byte })
		c.deliver(unread[:n])
		unread = unread[n:]
	}
}

// deliver hands bytes to the handler.
func (c *conn) deliver(b []byte) {
	c.remote.onDelivered(len(b))
	switch {
	case !c.ended:
		c.process.clock.tracef("%s<%s %d\n", c.process.Name, c.remote.process.Name, len(b))
		c.handler.OnData(b)
	case c.late != nil:
		c.process.clock.tracef("%s<%s %d late\n", c.process.Name, c.remote.process.Name, len(b))
		c.late.OnLateData(b)
	}
}

// isDeaf reports whether nothing that arrives is delivered any more.
func (c *conn) isDeaf() bool { return c.closed && c.late == nil }

// endLate ends a connection that was closed gracefully, as an event of its process. complete says that its peer has closed it too.
func (c *conn) endLate(complete bool) {
	late := c.late
	if c.late = nil; late == nil || c.process.dead {
		return
	}
	c.process.clock.schedule(c.process, c.process.clock.now, func() { late.OnPeerDone(complete) })
}

// dispatch calls f as an event of this end's process once the connection is started.
func (c *conn) dispatch(f func()) {
	clock := c.process.clock
	clock.schedule(c.process, clock.now, func() {
		switch {
		case c.isDeaf():
		case c.handler == nil || len(c.beforeStart) > 0:
			c.beforeStart = append(c.beforeStart, f)
		default:
			f()
		}
	})
}

// finish closes this end after its last message and notifies the other end.
func (c *conn) finish() {
	if c.closed {
		return
	}
	c.sendClose()
	c.close(c.endReason)
}

// sendClose notifies the other end, after all data that was sent, that this end is closed.
func (c *conn) sendClose() {
	clock := c.process.clock
	c.lastArrival = max(c.lastArrival, clock.now+clock.delay(c.link))
	clock.schedule(nil, c.lastArrival, c.remote.arriveClose)
}

// arriveClose handles the arrival of the other end's close.
func (c *conn) arriveClose() {
	clock := c.process.clock
	if c.isDeaf() {
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
		if c.remote.late != nil && !c.closed { // it waits for this end to close, and receives what was sent before
			c.sendSegments()
			c.sendClose()
		}
		c.close(io.EOF)
		c.endLate(true)
	})
}

// close closes this end and notifies its handler once, with the reason of the process's own Close if it was called.
func (c *conn) close(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	if c.endReason != nil {
		reason = c.endReason
	}
	c.ended, c.endReason = true, reason
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

// dropWithProcess closes this end when its process dies. After a power loss the other end is not notified and detects the loss itself.
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

// Reset resets the connection; data in flight is lost. If only this end is notified, the other end detects the reset when it sends.
func (c *conn) Reset(both bool) {
	if c.isDeaf() {
		return
	}
	c.close(errReset)
	c.endLate(false)
	if both {
		c.remote.close(errReset)
		c.remote.endLate(false)
	} else {
		c.remote.halfOpen = true
	}
}

// Stall stops all reads at this end for the given time in ms.
func (c *conn) Stall(ms float64) { c.stalledUntil = max(c.stalledUntil, c.process.clock.now+ms) }

// notifyDelivered calls f once the other end has read all bytes that were sent so far. If it never reads them, f is not called.
func (c *conn) notifyDelivered(f func()) {
	c.deliveryWaits = append(c.deliveryWaits, deliveryWait{c.sent, f})
}

// onDelivered records that the other end has read n bytes, and runs the callbacks that waited for them.
func (c *conn) onDelivered(n int) {
	c.inFlight -= n
	c.scheduleTransmit()
	for len(c.deliveryWaits) > 0 && int64(c.handedOver)-int64(c.inFlight) >= int64(c.deliveryWaits[0].upTo) {
		call := c.deliveryWaits[0].call
		c.deliveryWaits = c.deliveryWaits[1:]
		call()
	}
}
