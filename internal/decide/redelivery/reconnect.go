package redelivery

// Limits of Reconnect, in ms.
const (
	minDialInterval = 400   // between the first two dials
	maxDialInterval = 3000  // the interval doubles up to this
	calmTime        = 10000 // without a dial, after which the interval is the shortest again
	giveUpAfter     = 30000 // from the last loss
)

// Reconnect decides when a connection to a node is made anew because an earlier one may have taken messages of the node with it. The zero value stands
// for a node none of whose messages are lost.
type Reconnect struct {
	pending  bool
	lostAt   float64 // when messages were last lost
	dialedAt float64
	interval float64 // until the next dial after the last one, 0 if there was none
}

// OnMessagesLost records that a connection has ended and that messages which the node has sent on it may not have been received.
func (r *Reconnect) OnMessagesLost(now float64) { r.pending, r.lostAt = true, now }

// OnConnected records that a connection was made that was dialed at a time. If that was after the loss, the node sends its reports once more on it.
func (r *Reconnect) OnConnected(dialedAt float64) {
	if dialedAt >= r.lostAt {
		r.pending = false
	}
}

// IsDue reports whether to dial the node now. wanted says that something depends on it: tasks run there, or messages wait to be sent there. dialedAt is
// when the newest connection that is still being made was dialed, for whatever reason, below 0 if none is.
func (r *Reconnect) IsDue(now float64, wanted bool, dialedAt float64) bool {
	if r.pending && now-r.lostAt >= giveUpAfter {
		r.pending = false
	}
	return r.pending && wanted && dialedAt < r.lostAt && (r.interval == 0 || now >= r.dialedAt+r.interval)
}

// OnDial records that the node is dialed for this reason.
func (r *Reconnect) OnDial(now float64) {
	if r.interval == 0 || now-r.dialedAt >= calmTime {
		r.interval = minDialInterval
	} else {
		r.interval = min(2*r.interval, maxDialInterval)
	}
	r.dialedAt = now
}
