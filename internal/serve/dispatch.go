package serve

import (
	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
)

const (
	// dispatchInterval is the time between two periodic calls of dispatchQueued, ms.
	dispatchInterval = 100
	// dispatchHorizon is how far ahead, in ms, an extra call of dispatchQueued is planned. The periodic calls handle what is due later.
	dispatchHorizon = 200
	// withdrawAttempts is how many times the withdrawal of a request is tried at the same shard. A request that is handed back to the shard
	// that gave it away reaches that shard only a moment later.
	withdrawAttempts = 2
)

// allocate submits a request to the router, which assigns it to the shard that already owns its idempotency key, assigns it to another shard,
// puts it into a queue or rejects it.
func (s *shardSet) allocate(c *clientConn, r allocateRequest) {
	now := s.env.Now()
	s.routerMu.Lock()
	rejected := s.checkQuotaLease(now)
	decision := s.router.Submit(now, shardrouter.Arrival{ID: r.id, Request: r.request, ReadDelay: r.unread}, s.shardLoad(now))
	sh := s.recordRoute(c, decision)
	s.dispatchIfFree()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
	s.deliver(c, decision, sh)
}

// shardLoad returns a function that tells the router how long a shard has stalled and how many requests wait for it. The caller holds routerMu
// while that function is used.
func (s *shardSet) shardLoad(now float64) shardrouter.ShardLoad {
	return func(shard int) (float64, int) {
		sh := s.shards[shard]
		return sh.inbox.stalledFor(now), int(sh.queuedRequests.Load())
	}
}

// recordRoute records which shard a request is assigned to and returns that shard, or nil if there is none. The caller holds routerMu.
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

// deliver carries out the router's decision on a request. sh is the shard that recordRoute returned while routerMu was held for the decision:
// a later incarnation of the shard does not know the epoch.
func (s *shardSet) deliver(c *clientConn, decision shardrouter.Decision, sh *shard) {
	request := decision.Request
	switch {
	case decision.Queued:
	case decision.IsRejected() && s.env.Now() >= request.Deadline: // the process stalled, and the client has given up without an answer
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

// requester returns the client of a request. For one that has disconnected it returns a closed connection, so that no answer is sent; the
// shard detects the disconnect by itself.
func (s *shardSet) requester(decision shardrouter.Decision) *clientConn {
	if c := s.clients.byID(decision.Request.Client); c != nil {
		return c
	}
	return &clientConn{listener: s.clients, closed: true}
}

// submit posts a request to a shard.
func (s *shardSet) submit(c *clientConn, sh *shard, decision shardrouter.Decision) {
	request, id := decision.Request, decision.ID
	ok := sh.post(func(now float64) {
		if decision.Epoch > 0 {
			sh.roundRequests++
		}
		err := sh.engine.Allocate(now, engine.Request{
			ID: requestID(&request), Task: taskOf(id, &request), TimeLeft: request.Deadline - now, Epoch: s.currentEpoch(id, sh, decision.Epoch),
		})
		if err != nil && !sh.fenced.Load() { // the client did not use the ID twice: a fence has moved the request here already
			c.sendAnswer(request.Ref, shed(engine.ReasonAlreadyOpen))
		}
		if s.hostsTenants() && s.clients.byID(request.Client) == nil { // the client disconnected while the request waited in a queue
			sh.engine.OnClientDisconnected(now, request.Client)
		}
	})
	if !ok && decision.Epoch == 0 { // the shard was fenced just now; the fence has answered or reassigned only requests with an epoch
		c.sendAnswer(request.Ref, shed(reasonShardFenced))
	}
}

// currentEpoch returns the epoch of a request that reaches its shard, or 0 if the shard does not own it any more. While the request was in
// the inbox, a node may have reported an earlier attempt as running, which took the request's place, and then as ended.
func (s *shardSet) currentEpoch(id shardownership.ID, sh *shard, epoch uint32) uint32 {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if !s.router.IsOwner(shardownership.Claim{ID: id, Shard: sh.index, Epoch: epoch}) {
		return 0
	}
	return epoch
}

// dispatchQueued delivers the queued requests that the router releases.
func (s *shardSet) dispatchQueued() {
	now := s.env.Now()
	s.routerMu.Lock()
	s.dispatchPending = false
	decisions := append(s.checkQuotaLease(now), s.router.Dequeue(now, s.shardLoad(now))...)
	shards, clients := make([]*shard, len(decisions)), make([]*clientConn, len(decisions))
	for i, decision := range decisions {
		clients[i] = s.requester(decision)
		shards[i] = s.recordRoute(clients[i], decision)
	}
	due := s.router.Due(now)
	plan := due < now+dispatchHorizon && (s.plannedDispatch == 0 || due < s.plannedDispatch)
	if plan {
		s.plannedDispatch = due
	}
	s.routerMu.Unlock()
	for i, decision := range decisions {
		s.deliver(clients[i], decision, shards[i])
	}
	if plan { // only one call is planned at a time, otherwise each call would plan another
		s.env.After(max(1, due-now), func() { s.dispatchAsPlanned(due) })
	}
}

// dispatchAsPlanned is the call of dispatchQueued that was planned for a time.
func (s *shardSet) dispatchAsPlanned(due float64) {
	s.routerMu.Lock()
	if s.plannedDispatch == due {
		s.plannedDispatch = 0
	}
	s.routerMu.Unlock()
	s.dispatchQueued()
}

// dispatchIfFree schedules a call of dispatchQueued if there is capacity for a queued request. The caller holds routerMu.
func (s *shardSet) dispatchIfFree() {
	if !s.dispatchPending && s.router.MayDequeue(s.env.Now()) {
		s.dispatchPending = true
		s.async(s.dispatchQueued)
	}
}

// withdraw withdraws a client's request from its queue or its shard.
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

// withdrawQueued withdraws and answers a request that waits in a queue. It reports whether the request was there.
func (s *shardSet) withdrawQueued(c *clientConn, number uint64) bool {
	s.routerMu.Lock()
	ok := s.router.Withdraw(c.id, number)
	s.routerMu.Unlock()
	if ok {
		c.sendAnswer(number, shed(engine.ReasonWithdrawn))
	}
	return ok
}

// withdrawAt withdraws a request at its shard, or at the shard to which it was handed over in the meantime.
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
		} // else the request has just ended, and there is nothing to withdraw
	})
}

// onClientClosed withdraws all open requests of a client that disconnected.
func (s *shardSet) onClientClosed(clientID uint32) {
	s.routerMu.Lock()
	s.router.WithdrawClient(clientID)
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	for _, sh := range shards {
		sh.post(func(now float64) { sh.engine.OnClientDisconnected(now, clientID) })
	}
}

// duplicateRequest is an open request that has no entry of its own in the router.
type duplicateRequest struct {
	client *clientConn
	ref    uint64
}

// duplicateRequests returns the unanswered requests at a shard, with a deadline before a time, that have no entry in the router after the
// router's entries have been handled: requests for a key that another request had brought to the shard. No attempt was ever made for them.
// Those whose deadline has passed are closed without an answer. The caller holds routerMu.
func (s *shardSet) duplicateRequests(shard int, before float64) (all []duplicateRequest) {
	now := s.env.Now()
	var open map[shardownership.RequestKey]bool // looked up only for shards with a candidate, as most have none
	for _, c := range s.clients.connected() {
		for _, ref := range c.unanswered(shard, before) {
			if open == nil {
				open = s.router.OpenRequests(shard)
			}
			switch {
			case open[shardownership.RequestKey{Client: c.id, Ref: ref}]: // an attempt for it may be running
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

// setRequestShard records the shard that a client's request is at now.
func (s *shardSet) setRequestShard(clientID uint32, number uint64, shard int) {
	if c := s.clients.byID(clientID); c != nil {
		c.setShard(number, shard)
	}
}
