// Package watchdog decides when a shard is to be fenced and started again: it has panicked, or it stands still while the
// process runs. It guards against a shard that holds its share of the allocations and answers none; and against
// fencing all shards when it was the whole process that stood still.
package watchdog

import "math"

// Times in milliseconds.
const (
	stallTimeout     = 2000  // without a sign of life, while the process runs
	silenceThreshold = 250   // without a sign of life: still to be expected on a busy machine
	checkInterval    = 100   // between two looks
	pauseThreshold   = 400   // between two looks: then the process itself stood still, and every shard gets a new start
	minRestartDelay  = 250   // before a fenced shard is started again, doubled each time up to
	maxRestartDelay  = 10000 //
	stableAfter      = 30000 // a shard that runs so long is trusted again
)

// CheckInterval is how often Look is to be called.
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

// New watches so many shards from a time on.
func New(now float64, shards int) *Watchdog {
	d := &Watchdog{lastCheckAt: now, shards: make([]shard, shards)}
	for i := range d.shards {
		d.shards[i].lastBeatAt, d.shards[i].startedAt = now, now
	}
	return d
}

// Check takes the time of each shard's last sign of life. It returns the shards to be fenced, and those to be
// started again.
func (d *Watchdog) Check(now float64, beats []float64) (fence, start []int) {
	paused := now-d.lastCheckAt > pauseThreshold
	d.lastCheckAt = now
	for i := range d.shards {
		s := &d.shards[i]
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
			d.Fence(now, i)
			fence = append(fence, i)
		}
	}
	return fence, start
}

// Fence notes that a shard was fenced, as after a panic, and plans its next start.
func (d *Watchdog) Fence(now float64, at int) {
	s := &d.shards[at]
	if s.fenced {
		return
	}
	if now-s.startedAt > stableAfter {
		s.failures = 0
	}
	s.fenced = true
	s.restartAt = now + min(maxRestartDelay, minRestartDelay*math.Pow(2, float64(min(s.failures, 10))))
	s.failures++
}

// Unwatch takes a shard out of the watch: it has ended, or has not begun. Begin takes it in.
func (d *Watchdog) Unwatch(at int) { d.shards[at].unwatched = true }

// Watch notes that a shard begins.
func (d *Watchdog) Watch(now float64, at int) { d.shards[at] = shard{lastBeatAt: now, startedAt: now} }

// IsSilent tells whether a shard has given no sign of life for longer than its housekeeping comes: what is about to
// expire there can't wait for it.
func IsSilent(now, beat float64) bool { return now-beat > silenceThreshold }

// IsFenced tells whether a shard is.
func (d *Watchdog) IsFenced(at int) bool { return d.shards[at].fenced }
