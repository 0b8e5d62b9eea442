package serve

import (
	"errors"
	"sync"

	"ravenpond/internal/engine"
	"ravenpond/internal/env"
)

// Time limits and intervals of a shutdown, ms.
const (
	shardCloseTimeout    = 1000 // for the shards' last answers; a stalled shard is not waited for any longer
	clientFlushTimeout   = 500  // for handing the answers to the network
	shutdownPollInterval = 5
)

// shutdown waits until all shards have answered their open requests and the answers have been handed to the network, and then closes all
// connections. Its polls run one at a time, on a timer.
type shutdown struct {
	server    *Server
	done      func(error)
	startedAt float64
	flushed   bool // no answer was queued at an earlier poll; only the polls use this field

	mu      sync.Mutex // guards the fields below
	pending int        // number of shards that have not yet closed
	total   engine.Stats
}

// Shutdown answers all open requests and stops the scheduler. Clients may go on sending on their connections: requests that are read before
// the shards have closed are declined, and after that no more input is handled. It returns at once, and calls done when everything is closed
// and saved.
func (s *Server) Shutdown(done func(error)) {
	s.clients.stopAccepting()
	s.metrics.close()
	s.clusterControl.stop()
	s.membership.stop()
	d := &shutdown{server: s, done: done}
	d.closeShards()
	d.startedAt = s.env.Now()
	env.Every(s.env, shutdownPollInterval, d.poll)
}

// closeShards has all shards answer their open requests.
func (d *shutdown) closeShards() {
	shards := d.server.liveShards()
	d.pending = len(shards)
	for _, sh := range shards {
		posted := sh.post(func(now float64) {
			sh.engine.Close(now)
			d.onShardClosed(sh.engine.Stats())
		})
		if !posted {
			d.onShardClosed(engine.Stats{})
		}
	}
}

func (d *shutdown) onShardClosed(stats engine.Stats) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending--
	addStats(&d.total, stats)
}

// waitsForShards reports whether the shutdown still waits for shards that have not closed.
func (d *shutdown) waitsForShards(elapsed float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending > 0 && elapsed < shardCloseTimeout
}

// poll completes the shutdown if nothing is left to wait for. It reports whether the shutdown goes on.
func (d *shutdown) poll() (goesOn bool) {
	s := d.server
	elapsed := s.env.Now() - d.startedAt
	if d.waitsForShards(elapsed) {
		return true
	}
	s.rejectWaiting()
	s.clients.stopReading()
	if s.clients.hasOpenRequests() && elapsed < shardCloseTimeout+clientFlushTimeout {
		return true
	}
	if s.clients.hasQueuedAnswers() && elapsed < shardCloseTimeout+clientFlushTimeout {
		return true
	}
	if !d.flushed { // one more poll, for an answer that was taken from a queue just now
		d.flushed = true
		return true
	}
	s.stopped.Store(true)
	s.disconnectAll()
	d.mu.Lock()
	total := d.total
	d.mu.Unlock()
	s.log.Info().Str("mode", "serve").Uint64("served", total.Served).Uint64("declined", total.Declined).
		Uint64("failed", total.Failed).Uint64("not_taken", total.Rejected).Uint64("offers", total.Offers).Msg("scheduler stopped")
	d.done(errors.Join(s.endpoints.save(), s.folder.Close()))
	return false
}

// rejectWaiting rejects the requests that wait in their tenants' queues.
func (s *Server) rejectWaiting() {
	s.routerMu.Lock()
	rejected := s.router.RejectWaiting()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
}

// disconnectAll closes all connections. Messages that are queued for nodes are still handed to the network, so that the last recalls are sent.
func (s *Server) disconnectAll() {
	for _, sh := range s.liveShards() {
		sh.connections.close("scheduler ends", true)
		sh.loop.Wake()
	}
	s.listClient.close()
	s.clients.disconnectAll("scheduler ends")
}
