package connadmission

import "math"

const (
	defaultBytesPerSecond = 512 << 10 // of a tenant that has no limit: some 2,000 requests
	burstDuration         = 2000      // ms at that rate that may arrive at once
	maxExcessBursts       = 2         // bursts beyond the first from which a connection is closed instead of throttled
)

// Verdict is the decision about received bytes.
type Verdict uint8

// Verdicts.
const (
	Accept   Verdict = iota
	Throttle         // they are read, but requests in them are shed: the tenant has sent more than it may
	Close            // the connection is closed
)

// OnBytes decides about bytes that a connection has received. With Throttle it returns after how many ms the tenant may send requests
// again.
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

// onBytes fills the tenant's leaky bucket.
func (t *tenantUsage) onBytes(now float64, bytes int) (Verdict, float64) {
	rate := t.limits.BytesPerSecond
	if rate <= 0 {
		rate = defaultBytesPerSecond
	}
	full := max(rate*burstDuration/1000, maxUnauthenticatedBytes)
	t.level = max(0, t.level-max(0, now-t.updatedAt)/1000*rate) + float64(bytes)
	t.updatedAt = max(t.updatedAt, now)
	switch {
	case t.level <= full:
		return Accept, 0
	case t.level > (1+maxExcessBursts)*full:
		t.level = (1 + maxExcessBursts) * full // a client that reconnects finds it no fuller
		return Close, 0
	}
	return Throttle, math.Ceil((t.level - full) / rate * 1000)
}
