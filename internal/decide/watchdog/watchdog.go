// Package watchdog decides when a shard is fenced and started again: it has panicked, or it stalls while the process runs. It guards
// against a shard that holds its part of the allocations and answers none, and against fencing all shards when the whole process was
// paused.
//
// The shards' last signs of life and the time go in; the shards to fence and to start come out. The package does no I/O and returns no
// errors. A Watchdog is not safe for concurrent use.
package watchdog

import "math"

// Times in milliseconds.
const (
	stallTimeout    = 2000  // without a sign of life while the process runs
	checkInterval   = 100   // between two checks
	pauseThreshold  = 400   // between two checks, beyond which the process itself was paused
	minRestartDelay = 250   // before a fenced shard is started again, doubled with each failure
	maxRestartDelay = 10000 // limit of the doubling
	stableAfter     = 30000 // after which earlier failures of a shard are forgotten
	maxDoublings    = 10
)

// CheckInterval returns the time between two calls of Check, in ms.
func CheckInterval() float64 { return checkInterval }

// Watchdog watches the shards of a process.
type Watchdog struct {
	lastCheckAt float64
	shards      []shard
}

type shard struct {
	lastBeatAt, startedAt float64
	fenced                bool
	unwatched             bool // it is not to run
	failures              int
	restartAt             float64
}

// New returns a watchdog over a number of shards that run.
func New(now float64, shards int) *Watchdog {
	w := &Watchdog{lastCheckAt: now, shards: make([]shard, shards)}
	for i := range w.shards {
		w.Watch(now, i)
	}
	return w
}

// Check takes the time of each shard's last sign of life. It returns the shards to fence and the fenced ones to start again.
func (w *Watchdog) Check(now float64, beats []float64) (fence, start []int) {
	paused := now-w.lastCheckAt > pauseThreshold
	w.lastCheckAt = now
	for i := range w.shards {
		s := &w.shards[i]
		if i < len(beats) {
			s.lastBeatAt = max(s.lastBeatAt, beats[i])
		}
		if paused {
			s.lastBeatAt = now
		}
		switch {
		case s.unwatched:
		case s.fenced && now >= s.restartAt:
			s.fenced, s.lastBeatAt, s.startedAt = false, now, now
			start = append(start, i)
		case !s.fenced && now-s.lastBeatAt > stallTimeout:
			w.Fence(now, i)
			fence = append(fence, i)
		}
	}
	return fence, start
}

// Fence records that a shard was fenced, for example after a panic, and schedules its next start.
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

// Watch records that a shard runs from now on. Its earlier failures count until it has run for a while.
func (w *Watchdog) Watch(now float64, index int) {
	w.shards[index] = shard{lastBeatAt: now, startedAt: now, failures: w.shards[index].failures}
}

// Unwatch records that a shard has ended or does not run yet: no sign of life is expected of it.
func (w *Watchdog) Unwatch(index int) { w.shards[index].unwatched = true }
