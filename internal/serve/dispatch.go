package serve

import (
	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
)

const (
	// pumpInterval is the time between two calls of pump, ms.
	pumpInterval = 100
	// pumpHorizon is how far ahead, in ms, another call of pump is planned. What is due later finds another occasion.
	pumpHorizon = 200
	// withdrawAttempts is at how many shards in turn a request is withdrawn that is handed back to the shard that gave it: it is there
	// only a moment later.
	withdrawAttempts = 2
)

// allocate has a request go to the shard that acts for its idempotency key already, else where the router puts it, or wait in a queue.
func (s *shardSet) allocate(c *clientConn, r allocateRequest) {
	now := s.env.Now()
	s.routerMu.Lock()
	rejected := s.checkQuotaLease(now)
	decision := s.router.Submit(now, shardrouter.Arrival{ID: r.id, Request: r.request, Unread: r.unread}, s.shardLoad(now))
	sh := s.recordRoute(c, decision)
	s.pumpIfFree()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
	s.deliver(c, decision, sh)
}

// shardLoad tells the router of a shard's queue. The caller holds routerMu while the result is used.
func (s *shardSet) shardLoad(now float64) shardrouter.ShardLoad {
	return func(shard int) (float64, int) {
		sh := s.shards[shard]
		return sh.inbox.stalledFor(now), int(sh.queuedRequests.Load())
	}
}

// recordRoute notes where a request goes, and returns the shard, nil if it goes to none. The caller holds routerMu.
func (s *shardSet) recordRoute(c *clientConn, decision shardrouter.Decision) *shard {
	if decision.Queued || decision.IsRejected() {
		return nil
	}
	sh := s.shards[decision.Shard]
	if decision.Epoch > 0 {
		sh.queuedRequests.Add(1)
	}
	c.setShard(decision.Request.Ref, decision.Shard)
	return sh
}

// deliver carries out the router's decision on a request. sh is the shard that recordRoute returned under the same hold of routerMu: a
// later incarnation of it knows nothing of the epoch.
func (s *shardSet) deliver(c *clientConn, decision shardrouter.Decision, sh *shard) {
	request := decision.Request
	switch {
	case decision.Queued:
	case decision.IsRejected() && s.env.Now() >= request.Deadline: // the process stalled: the client has given up by itself
		c.closeRequest(request.Ref)
	case decision.IsRejected():
		c.sendAnswer(request.Ref, engine.Answer{Kind: engine.Declined, Reason: engine.AnswerReason(decision.Reason.String()), RetryAfter: decision.RetryAfter})
	default:
		s.submit(c, sh, decision)
	}
}

// rejectAll answers requests that the router rejects.
func (s *shardSet) rejectAll(rejected []shardrouter.Decision) {
	for _, decision := range rejected {
		s.deliver(s.requester(decision), decision, nil)
	}
}

// requester returns the client of a request. One that has disconnected gets no answer; its shard finds that out by itself.
func (s *shardSet) requester(decision shardrouter.Decision) *clientConn {
	if c := s.clients.byID(decision.Request.Client); c != nil {
		return c
	}
	return &clientConn{listener: s.clients, closed: true}
}

// submit hands a request to a shard.
func (s *shardSet) submit(c *clientConn, sh *shard, decision shardrouter.Decision) {
	request, id := decision.Request, decision.ID
	ok := sh.post(func(now float64) {
		if decision.Epoch > 0 {
			sh.roundRequests++
		}
		err := sh.engine.Allocate(now, engine.Request{
			ID: requestID(&request), Task: taskOf(id, &request), TimeLeft: request.Deadline - now, Epoch: s.currentEpoch(id, sh, decision.Epoch),
		})
		if err != nil && !sh.fenced.Load() { // no id is taken twice from a client: it was moved here by a fence
			c.sendAnswer(request.Ref, shed(engine.ReasonAlreadyOpen))
		}
		if s.hostsTenants() && s.clients.byID(request.Client) == nil { // it waited in a queue, and its client has disconnected meanwhile
			sh.engine.OnClientDisconnected(now, request.Client)
		}
	})
	if !ok && decision.Epoch == 0 { // the shard was fenced just now; what was assigned to it, the fence has answered or moved
		c.sendAnswer(request.Ref, shed(reasonShardFenced))
	}
}

// currentEpoch returns the epoch of a request that reaches its shard: 0 if the shard does not act for it any more. While it was on its
// way, a node may have reported an earlier attempt as running, which took its place, and then as ended.
func (s *shardSet) currentEpoch(id shardownership.ID, sh *shard, epoch uint32) uint32 {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if !s.router.IsOwner(shardownership.Claim{ID: id, Shard: sh.index, Epoch: epoch}) {
		return 0
	}
	return epoch
}

// pump hands queued requests on whose turn has come.
func (s *shardSet) pump() {
	now := s.env.Now()
	s.routerMu.Lock()
	s.pumping = false
	decisions := append(s.checkQuotaLease(now), s.router.Dequeue(now, s.shardLoad(now))...)
	shards, clients := make([]*shard, len(decisions)), make([]*clientConn, len(decisions))
	for i, decision := range decisions {
		clients[i] = s.requester(decision)
		shards[i] = s.recordRoute(clients[i], decision)
	}
	due := s.router.Due(now)
	plan := due < now+pumpHorizon && (s.plannedPump == 0 || due < s.plannedPump)
	if plan {
		s.plannedPump = due
	}
	s.routerMu.Unlock()
	for i, decision := range decisions {
		s.deliver(clients[i], decision, shards[i])
	}
	if plan { // one plan at a time, or each call would bring another
		s.env.After(max(1, due-now), func() { s.pumpAsPlanned(due) })
	}
}

// pumpAsPlanned is the call of pump that was planned for a time.
func (s *shardSet) pumpAsPlanned(due float64) {
	s.routerMu.Lock()
	if s.plannedPump == due {
		s.plannedPump = 0
	}
	s.routerMu.Unlock()
	s.pump()
}

// pumpIfFree hands queued requests on if there is capacity for one. The caller holds routerMu.
func (s *shardSet) pumpIfFree() {
	if !s.pumping && s.router.MayDequeue(s.env.Now()) {
		s.pumping = true
		s.async(s.pump)
	}
}

// withdraw gives up a client's request, in its queue or at its shard.
func (s *shardSet) withdraw(c *clientConn, number uint64) error {
	if s.withdrawQueued(c, number) {
		return nil
	}
	shard, ok := c.requestShard(number)
	if !ok || shard < 0 {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: no ask %d", number)
	}
	s.withdrawAt(c, number, shard, withdrawAttempts)
	return nil
}

// withdrawQueued answers a request that waits in a queue. It reports whether it does.
func (s *shardSet) withdrawQueued(c *clientConn, number uint64) bool {
	s.routerMu.Lock()
	ok := s.router.Withdraw(c.id, number)
	s.routerMu.Unlock()
	if ok {
		c.sendAnswer(number, shed(engine.ReasonWithdrawn))
	}
	return ok
}

// withdrawAt gives up a request at the shard that it is at, or that it was handed to meanwhile.
func (s *shardSet) withdrawAt(c *clientConn, number uint64, shard, attempts int) {
	s.routerMu.Lock()
	sh := s.shards[shard]
	s.routerMu.Unlock()
	sh.post(func(now float64) {
		if sh.engine.Withdraw(now, engine.RequestID{Client: c.id, Number: number}) == nil {
			return
		}
		if next, ok := c.requestShard(number); ok && next >= 0 && (next != shard || attempts > 1) {
			s.withdrawAt(c, number, next, attempts-1)
		} // else it has just ended, which needs nothing
	})
}

// onClientClosed gives up all that a client that disconnected has open.
func (s *shardSet) onClientClosed(clientID uint32) {
	s.routerMu.Lock()
	s.router.WithdrawClient(clientID)
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	for _, sh := range shards {
		sh.post(func(now float64) { sh.engine.OnClientDisconnected(now, clientID) })
	}
}

// duplicateRequest is a request that has no entry of its own in the router.
type duplicateRequest struct {
	client *clientConn
	ref    uint64
}

// duplicateRequests returns the requests at a shard, with a deadline before a time, that neither the router nor an answer accounts for once
// all that the router holds is dealt with: requests for a key that another request had brought there. No attempt was ever made for them.
// Those whose deadline has passed are closed without an answer.
func (s *shardSet) duplicateRequests(shard int, before float64) (all []duplicateRequest) {
	now := s.env.Now()
	var open map[shardownership.RequestKey]bool // most shards have no candidate, and need none
	for _, c := range s.clients.connected() {
		for _, ref := range c.unanswered(shard, before) {
			if open == nil {
				open = s.router.OpenRequests(shard)
			}
			switch {
			case open[shardownership.RequestKey{Client: c.id, Ref: ref}]: // an attempt may be out for it
			case c.isOverdue(ref, now):
				c.closeRequest(ref)
			default:
				all = append(all, duplicateRequest{c, ref})
			}
		}
	}
	return all
}

// answerClient answers a request, if its client is still connected.
func (s *shardSet) answerClient(request engine.RequestID, answer engine.Answer) {
	s.log.Debug().Uint32("owner", request.Client).Uint64("ref", request.Number).Stringer("answer", answer.Kind).
		Uint32("node", answer.Node).Msg(string(answer.Reason))
	if c := s.clients.byID(request.Client); c != nil {
		c.sendAnswer(request.Number, answer)
	}
}

// setRequestShard notes which shard a client's request is at now.
func (s *shardSet) setRequestShard(clientID uint32, number uint64, shard int) {
	if c := s.clients.byID(clientID); c != nil {
		c.setShard(number, shard)
	}
}
