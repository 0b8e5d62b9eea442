package serve

import (
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
	"ravenpond/internal/proto/node"
	"ravenpond/logic"
)

// shardEffects carries out the effects of a shard's engine: it queues messages and calls the router. It is called on the shard's loop.
// Effects of a fenced shard are dropped, and the router rejects its claims to own tasks.
type shardEffects struct{ shard *shard }

func (e shardEffects) fenced() bool { return e.shard.fenced.Load() }

// ownerID converts a task's key to the router's ID.
func ownerID(key engine.TaskKey) shardownership.ID { return shardownership.ID(key) }

// claim returns the shard's claim to own a task.
func (sh *shard) claim(task engine.OwnedTask) shardownership.Claim {
	return shardownership.Claim{ID: ownerID(task.TaskKey), Shard: sh.index, Epoch: task.Epoch}
}

// routerAttempt converts an attempt's ID to the router's form.
func routerAttempt(node uint32, id engine.AttemptID) shardownership.Attempt {
	return shardownership.Attempt{Node: node, Ticket: id.Ticket, Number: id.Number}
}

// Dial connects to a node, unless a connection exists or is being made.
func (e shardEffects) Dial(node uint32, address string) {
	if !e.fenced() {
		e.shard.connections.dial(node, address)
	}
}

// Disconnect closes the connection to a node.
func (e shardEffects) Disconnect(node uint32, reason string) {
	if l := e.shard.links[node]; l != nil && !e.fenced() {
		l.disconnect(reason, false)
	}
}

// Offer queues an offer with a mark, so that an offer whose last byte was not sent can be told from one that may have arrived.
//
// A shard that paused after it got the permit may have been fenced since, and its task answered elsewhere; nothing may be sent for the
// task then. routerMu orders a fence before this call or after it.
func (e shardEffects) Offer(nodeID uint32, o engine.Offer) {
	s, id := e.shard.set, o.Attempt
	s.log.Debug().Uint64("allocation", id.Ticket).Uint8("try", id.Number).Uint32("node", nodeID).Int("tenant", o.Task.Tenant).Msg("offer")
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if e.fenced() && !s.config.Faults.PermitAnyEpoch {
		return
	}
	if l := e.shard.links[nodeID]; l != nil {
		l.sendMarked(func(b []byte) []byte {
			return node.AppendOffer(b, node.Offer{
				Attempt: node.AttemptID(id), Epoch: o.Epoch, SentAt: s.env.Now(), Timeout: o.Timeout, Task: node.Task(o.Task),
			})
		}, sendMark{ticket: id.Ticket, attempt: id.Number})
	}
}

// send queues a message to a node.
func (e shardEffects) send(node uint32, appendTo func([]byte) []byte) {
	if l := e.shard.links[node]; l != nil && !e.fenced() {
		l.send(appendTo)
	}
}

// Recall queues the request to give an attempt back unless its task runs.
func (e shardEffects) Recall(nodeID uint32, id engine.AttemptID) {
	e.send(nodeID, func(b []byte) []byte { return node.AppendRecall(b, node.AttemptID(id)) })
}

// Stop queues the request to stop a task.
func (e shardEffects) Stop(nodeID uint32, id engine.AttemptID) {
	e.send(nodeID, func(b []byte) []byte { return node.AppendStop(b, node.AttemptID(id)) })
}

// Claim queues the query for the state or outcome of an attempt, which an earlier incarnation may have made.
func (e shardEffects) Claim(nodeID uint32, id engine.AttemptID) {
	if l := e.shard.links[nodeID]; l != nil {
		l.expectClaimAnswer(id.Ticket, e.shard)
	}
	e.send(nodeID, func(b []byte) []byte { return node.AppendClaim(b, node.AttemptID(id)) })
}

// Probe queues the request for a load report. The lowest bits of the sequence number hold the shard's index, because several shards may
// send probes over one connection.
func (e shardEffects) Probe(nodeID uint32, sequence uint64) {
	e.send(nodeID, func(b []byte) []byte { return node.AppendProbe(b, sequence<<shardBits|uint64(e.shard.index)) })
}

// shardBits is the number of lowest bits of a probe's sequence number that hold the shard's index.
const shardBits = 8

// WatchList starts or ends the watch of the node list.
func (e shardEffects) WatchList(active bool) {
	if active {
		e.shard.set.listClient.call(watchCall)
	} else {
		e.shard.set.listClient.call(unwatchCall)
	}
}

// ReloadList requests the full node list.
func (e shardEffects) ReloadList() { e.shard.set.listClient.call(fullCall) }

// PermitAttempt asks the router whether the shard still owns the task.
func (e shardEffects) PermitAttempt(task engine.OwnedTask, node uint32, id engine.AttemptID) bool {
	s := e.shard.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.PermitAttempt(e.shard.claim(task), routerAttempt(node, id))
}

// RecordOutcome tells the router that an attempt has ended.
func (e shardEffects) RecordOutcome(task engine.OwnedTask, neverRan bool) {
	s := e.shard.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	s.router.CompleteAttempt(e.shard.claim(task), neverRan)
}

// RecoverTask asks the router to make the shard the owner of a task that was found running.
func (e shardEffects) RecoverTask(running engine.RunningTask) (recovered engine.RecoveredTask, ok bool) {
	s, t := e.shard.set, &running.Task
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	if e.fenced() {
		return engine.RecoveredTask{}, false
	}
	request := shardownership.Request{JobClass: t.JobClass, Service: t.Service, Cores: t.Cores, Memory: t.Memory}
	recovery, ok := s.router.Recover(ownerID(t.Key()), e.shard.index, request, routerAttempt(running.Node, running.Attempt))
	if ok && recovery.Client > 0 {
		s.setRequestShard(recovery.Client, recovery.Ref, e.shard.index)
	}
	return engine.RecoveredTask{
		Epoch: recovery.Epoch, Request: engine.RequestID{Client: recovery.Client, Number: recovery.Ref},
	}, ok
}

// SetClient tells the router whose request is notified when the task ends.
func (e shardEffects) SetClient(task engine.OwnedTask, request engine.RequestID) {
	s := e.shard.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	s.router.SetClient(e.shard.claim(task), request.Client, request.Number)
}

// ReleaseTask tells the router that the shard no longer holds the task.
func (e shardEffects) ReleaseTask(task engine.OwnedTask, service uint64) {
	s := e.shard.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	s.router.Remove(e.shard.claim(task), service)
	s.dispatchIfFree()
}

// PermitAnswer asks the router whether the shard still owns the task.
func (e shardEffects) PermitAnswer(task engine.OwnedTask, served bool) bool {
	s := e.shard.set
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	defer s.dispatchIfFree()
	return s.router.PermitAnswer(s.env.Now(), e.shard.claim(task), served)
}

// Answer sends the final answer to a request.
func (e shardEffects) Answer(request engine.RequestID, a engine.Answer) {
	if !e.fenced() {
		e.shard.set.answerClient(request, a)
	}
}

// NotifyEnd tells the client of a served request that its task has ended.
func (e shardEffects) NotifyEnd(request engine.RequestID, result logic.Outcome, reason logic.Reason) {
	if e.fenced() {
		return
	}
	if c := e.shard.set.clients.byID(request.Client); c != nil {
		c.sendEnd(request.Number, result, reason)
	}
}

// ExpireRequest closes a request whose deadline has passed.
func (e shardEffects) ExpireRequest(request engine.RequestID) {
	if c := e.shard.set.clients.byID(request.Client); c != nil && !e.fenced() {
		c.closeRequest(request.Number)
	}
}

// Log writes a diagnostic line of the engine to the log.
func (e shardEffects) Log(line string) {
	e.shard.set.log.Info().Str("mode", "engine").Int("shard", e.shard.index).Msg(line)
}
