// Package watchdog decides when to fence a shard and when to restart it: a shard is fenced if it has panicked or if it stalls while the
// process runs. The package protects against a shard that holds its part of the allocations but answers no requests, and against fencing all
// shards after a pause of the whole process.
//
// The inputs are the time and the last heartbeat of each shard; the outputs are the shards to fence and to restart. The package does no I/O and
// returns no errors. A Watchdog is not safe for concurrent use.
package watchdog

import "math"

// Times in milliseconds.
const (
	heartbeatTimeout = 2000  // time without a heartbeat after which a shard is fenced
	checkInterval    = 100   // interval between two checks
	pauseThreshold   = 400   // interval between two checks above which the whole process counts as paused
	minRestartDelay  = 250   // delay of the first restart of a fenced shard, doubled with each failure
	maxRestartDelay  = 10000 // limit of the delay
	stableAfter      = 30000 // time since its start after which the earlier failures of a shard no longer count
	maxDoublings     = 10    // limit of the exponent
)

// CheckInterval returns the interval in ms at which Check is to be called.
func CheckInterval() float64 { return checkInterval }

// Watchdog monitors the shards of a process.
type Watchdog struct {
	lastCheckAt float64
	shards      []shard
}

type shard struct {
	lastHeartbeatAt, startedAt float64
	fenced                     bool
	unwatched                  bool // the shard does not run, so that no heartbeat is expected
	failures                   int
	restartAt                  float64
}

// New returns a watchdog for a number of running shards.
func New(now float64, shards int) *Watchdog {
	w := &Watchdog{lastCheckAt: now, shards: make([]shard, shards)}
	for i := range w.shards {
		w.Watch(now, i)
	}
	return w
}

// Check evaluates the time of each shard's last heartbeat. It returns the shards to fence and the fenced shards to restart.
func (w *Watchdog) Check(now float64, heartbeats []float64) (fence, start []int) {
	paused := now-w.lastCheckAt > pauseThreshold
	w.lastCheckAt = now
	for i := range w.shards {
		s := &w.shards[i]
		if i < len(heartbeats) {
			s.lastHeartbeatAt = max(s.lastHeartbeatAt, heartbeats[i])
		}
		if paused {
			s.lastHeartbeatAt = now
		}
		switch {
		case s.unwatched:
		case s.fenced && now >= s.restartAt:
			s.fenced, s.lastHeartbeatAt, s.startedAt = false, now, now
			start = append(start, i)
		case !s.fenced && now-s.lastHeartbeatAt > heartbeatTimeout:
			w.Fence(now, i)
			fence = append(fence, i)
		}
	}
	return fence, start
}

// Fence records that a shard is fenced, for example after a panic, and schedules its restart.
func (w *Watchdog) Fence(now float64, index int) {
	s := &w.shards[index]
	if s.fenced {
		return
	}
	if now-s.startedAt > stableAfter {
		s.failures = 0
	}
	s.fenced = true
	s.restartAt = now + min(maxRestartDelay, minRestartDelay*math.Pow(2, float64(min(s.failures, maxDoublings))))
	s.failures++
}

// IsFenced reports whether a shard is fenced.
func (w *Watchdog) IsFenced(index int) bool { return w.shards[index].fenced }

// Watch records that a shard runs from now on. Its earlier failures count until it has run for stableAfter.
func (w *Watchdog) Watch(now float64, index int) {
	w.shards[index] = shard{lastHeartbeatAt: now, startedAt: now, failures: w.shards[index].failures}
}

// Unwatch records that a shard has ended or does not run yet, so that no heartbeat is expected of it.
func (w *Watchdog) Unwatch(index int) { w.shards[index].unwatched = true }
