// Package nodeidentity decides which node of the node list is behind an address, and behind a connection to it. Messages name no node: whatever
// process accepts a connection at an address answers what it is sent. A node that has ended may be replaced by another one at its address, before or
// after the list tells of either. What is believed about a node, such as its zone, holds for an attempt only if the attempt reached that node.
//
// Addresses decides which of several listed nodes has an address. Identity decides whether a connection is known to lead to the process of the node
// that it was made for.
//
// The inputs are the entries of the list, the events of connections and the time in ms; the package does no I/O and returns no errors. Its types are
// not safe for concurrent use.
package nodeidentity

import (
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/logic"
)

// Times in milliseconds.
const (
	// slowConnect is the time that a connection takes to come up if the first packet for it was lost or the machine did not answer: the process that
	// accepts it may have started meanwhile.
	slowConnect = 100
	// listNoticeTime is the time after the start of a node by which the list tells of it.
	listNoticeTime = 3000
	// confirmationTime is longer than a list takes to notice a silent machine and is late together.
	confirmationTime = 30000
	// proofTime is the time without proof that a process lives after which its tasks count as ended while the list tells nothing: clients are to be
	// notified within 8 s.
	proofTime = 7600
)

// Identity tells whether connections to a node's address are known to lead to the node. They are not once there is a sign that its process may have
// ended, until there is proof that it has not, or the list has had time to tell. The zero value stands for a node without such a sign.
type Identity struct {
	inDoubt   bool
	displaced bool    // the list says that another node has the address
	aliveAt   float64 // the last time at which the node's process is known to have lived before the sign
	reachedAt float64 // when the first connection after the sign was made; 0: none since
}

// OnConnectFailed records that a connection was refused or did not come up. contactAt is when the node last answered or accepted another one, 0 if never.
func (i *Identity) OnConnectFailed(c *nodefailure.Connection, contactAt float64) {
	aliveAt := c.DialedAt
	if contactAt > 0 {
		aliveAt = min(aliveAt, contactAt)
	}
	i.doubt(aliveAt)
}

// OnConnected records that a connection was made.
func (i *Identity) OnConnected(c *nodefailure.Connection) {
	if c.EstablishedAt-c.DialedAt >= slowConnect {
		i.doubt(c.DialedAt)
	}
	if i.inDoubt && i.reachedAt == 0 {
		i.reachedAt = c.EstablishedAt
	}
}

// OnDisconnected records that a connection was closed or reset by the node. While others are open its process lives, as all end with the process.
func (i *Identity) OnDisconnected(c *nodefailure.Connection, othersOpen bool) {
	if !othersOpen {
		i.doubt(c.LastSignAt())
	}
}

// OnUnanswered records that the node did not answer on a connection in time.
func (i *Identity) OnUnanswered(c *nodefailure.Connection) { i.doubt(c.LastSignAt()) }

// doubt records a sign that the process may have ended after a time. What was reached before the sign confirms nothing.
func (i *Identity) doubt(aliveAt float64) {
	i.reachedAt = 0
	if !i.inDoubt {
		i.inDoubt, i.aliveAt = true, aliveAt
		return
	}
	i.aliveAt = min(i.aliveAt, aliveAt)
}

// clear records that the process has not ended. That another node has its address stays true.
func (i *Identity) clear() {
	if !i.displaced {
		*i = Identity{}
	}
}

// OnDisplaced records that the list names another node at the address, whose process started no earlier than at a time; 0: unknown. Connections that were
// made before lead to this node.
func (i *Identity) OnDisplaced(now, earliestStart float64) {
	aliveAt := now
	if earliestStart > 0 {
		aliveAt = earliestStart
	}
	i.doubt(aliveAt)
	i.displaced = true
}

// OnReceived records that something was received on a connection. On one that was made before the sign it proves that the process has not ended.
func (i *Identity) OnReceived(c *nodefailure.Connection) {
	if i.inDoubt && c.EstablishedAt <= i.aliveAt {
		i.clear()
	}
}

// OnTaskReported records a message about a task that started at the node at a time. If that was before the sign, the process has not ended.
func (i *Identity) OnTaskReported(startedAt float64) {
	if i.inDoubt && startedAt <= i.aliveAt {
		i.clear()
	}
}

// OnStartListed records that the list has told of a later start of the node, or of another address: the process there is known again.
func (i *Identity) OnStartListed() { *i = Identity{} }

// OnAddressOwned records that the list gives the node its address, as the only one there. Which process answers is still as uncertain as before.
func (i *Identity) OnAddressOwned() { i.displaced = false }

// Confirm ends the doubt once the node was reached for long enough, without another sign, for the list to have told of another process. toldUpTo is the
// time up to which the list is current.
func (i *Identity) Confirm(toldUpTo float64) {
	if i.reachedAt > 0 && toldUpTo-i.reachedAt >= confirmationTime {
		i.clear()
	}
}

// Knows reports whether a connection is known to lead to the node. What the list, which is current up to toldUpTo, can't have told yet may have happened
// before the connection was made.
func (i *Identity) Knows(toldUpTo float64, c *nodefailure.Connection) bool {
	return c.EstablishedAt > 0 && c.EstablishedAt+listNoticeTime <= toldUpTo && i.IsFromBefore(c)
}

// IsFromBefore reports whether a connection was made before any sign that the node's process may have ended.
func (i *Identity) IsFromBefore(c *nodefailure.Connection) bool {
	return !i.inDoubt || c.EstablishedAt <= i.aliveAt
}

// InDoubt reports whether there was a sign that the node's process may have ended, and no proof since that it lives.
func (i *Identity) InDoubt() bool { return i.inDoubt }

// HasPresumablyEnded reports whether a task that started at the node at a time counts as ended because nothing proves that its process lives: the list
// is not current, so that it tells nothing, or the node is out of reach again. That some process has accepted connections at the address meanwhile
// proves nothing.
func (i *Identity) HasPresumablyEnded(now float64, listCurrent, outOfReach bool, startedAt float64) bool {
	return i.inDoubt && (!listCurrent || outOfReach) && startedAt <= i.aliveAt && now-i.aliveAt >= proofTime
}

// MaySend reports whether an attempt of a request may be sent on a connection. Once an attempt of a request may have run whose repeats are recognised
// by some nodes only, the connection must be known to lead to its node.
func MaySend(class *logic.JobClass, mayHaveRun, known bool) bool {
	return known || !mayHaveRun || !class.IsScoped()
}
