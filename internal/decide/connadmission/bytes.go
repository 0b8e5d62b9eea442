package connadmission

import "math"

const (
	defaultBytesPerSecond = 512 << 10 // default limit of a tenant; about 2,000 requests per second
	burstDuration         = 2000      // ms; a burst is what the rate allows in this time
	maxExcessBursts       = 2         // bursts beyond the first above which the connection is closed instead of throttled
)

// Verdict is the decision about bytes that were received.
type Verdict uint8

// Verdicts.
const (
	Accept   Verdict = iota // the bytes are within the tenant's limit
	Throttle                // the bytes are read, but the requests in them are shed, because the tenant has exceeded its limit
	Close                   // the connection is to be closed
)

// OnBytes decides about bytes that were received on a connection. With Throttle, retryAfter is the number of ms after which the tenant may send
// requests again.
func (c *Controller) OnBytes(now float64, id uint32, bytes int) (verdict Verdict, retryAfter float64) {
	conn := c.conns[id]
	if conn == nil {
		return Close, 0
	}
	if conn.slot < 0 {
		if conn.received += bytes; conn.received > maxUnauthenticatedBytes {
			return Close, 0
		}
		return Accept, 0
	}
	return c.tenants[conn.slot].onBytes(now, bytes)
}

// onBytes adds bytes to the tenant's leaky bucket and decides by its level.
func (t *tenantUsage) onBytes(now float64, bytes int) (Verdict, float64) {
	rate := t.limits.BytesPerSecond
	if rate <= 0 {
		rate = defaultBytesPerSecond
	}
	burstSize := max(rate*burstDuration/1000, maxUnauthenticatedBytes)
	t.level = max(0, t.level-max(0, now-t.updatedAt)/1000*rate) + float64(bytes)
	t.updatedAt = max(t.updatedAt, now)
	switch {
	case t.level <= burstSize:
		return Accept, 0
	case t.level > (1+maxExcessBursts)*burstSize:
		t.level = (1 + maxExcessBursts) * burstSize // the level is capped, so that further bytes do not lengthen the wait of a client that reconnects
		return Close, 0
	}
	return Throttle, math.Ceil((t.level - burstSize) / rate * 1000)
}
