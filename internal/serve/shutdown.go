package serve

import (
	"errors"
	"sync"

	"ravenpond/internal/engine"
	"ravenpond/internal/env"
)

// Times of a shutdown in ms.
const (
	shardCloseTimeout    = 1000 // for the shards' last answers; a stalled one is not waited for longer
	clientFlushTimeout   = 500  // for answers to be handed to the network
	shutdownPollInterval = 5
)

// shutdown waits until all shards have answered what they hold and the answers have left, and then closes what is open. Its polls run one
// at a time, on a timer.
type shutdown struct {
	server    *Server
	done      func(error)
	startedAt float64
	flushed   bool // no answer was queued at an earlier poll; the polls alone use it

	mu      sync.Mutex // guards the fields below
	pending int        // shards that have not answered
	total   engine.Stats
}

// Shutdown answers all that is open and ends the scheduler. Clients go on sending on the connections that they have: what is read meanwhile is
// declined; once the shards have answered, nothing more is read. It returns at once, and calls done once all is closed and saved.
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

// closeShards has all shards answer what they hold.
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

// waitsForShards reports whether shards have not answered that are still waited for.
func (d *shutdown) waitsForShards(elapsed float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending > 0 && elapsed < shardCloseTimeout
}

// poll reports whether the shutdown goes on, and completes it else.
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
	if !d.flushed { // for an answer that was taken from a queue just now
		d.flushed = true
		return true
	}
	s.stopped.Store(true)
	s.disconnectAll()
	d.mu.Lock()
	total := d.total
	d.mu.Unlock()
	s.log.Info().Str("mode", "serve").Uint64("served", total.Served).Uint64("declined", total.Declined).
		Uint64("failed", total.Failed).Uint64("not_taken", total.Rejected).Uint64("offers", total.Offers).Msg("scheduler ends")
	d.done(errors.Join(s.endpoints.save(), s.folder.Close()))
	return false
}

// rejectWaiting answers the requests that wait for their tenant's turn.
func (s *Server) rejectWaiting() {
	s.routerMu.Lock()
	rejected := s.router.RejectWaiting()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
}

// disconnectAll closes all connections. What is queued at nodes' connections is still handed to the network: the last recalls go out.
func (s *Server) disconnectAll() {
	for _, sh := range s.liveShards() {
		sh.connections.close("scheduler ends", true)
		sh.loop.Wake()
	}
	s.listClient.close()
	s.clients.disconnectAll("scheduler ends")
}
