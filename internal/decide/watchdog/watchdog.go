// Package watchdog decides when a shard is to be fenced and started again: it has panicked, or it stands still while the
// process runs. It guards against a shard that holds its share of the allocations and answers none; and against
// fencing all shards when it was the whole process that stood still.
package watchdog

import "math"

// Times in milliseconds.
const (
	standsAt = 2000  // without a sign of life, while the process runs
	quiet    = 250   // without a sign of life: still to be expected on a busy machine
	lookEach = 100   // between two looks
	stood    = 400   // between two looks: then the process itself stood still, and every shard gets a new start
	again    = 250   // before a fenced shard is started again, doubled each time up to
	longest  = 10000 //
	steady   = 30000 // a shard that runs so long is trusted again
)

// LookEach is how often Look is to be called.
func LookEach() float64 { return lookEach }

// Watchdog watches the shards of a process.
type Watchdog struct {
	last   float64
	shards []shard
}

type shard struct {
	beat, began float64
	fenced      bool
	rests       bool // it is not to run
	fails       int
	startAt     float64
}

// New watches so many shards from a time on.
func New(now float64, shards int) *Watchdog {
	d := &Watchdog{last: now, shards: make([]shard, shards)}
	for i := range d.shards {
		d.shards[i].beat, d.shards[i].began = now, now
	}
	return d
}

// Look takes the time of each shard's last sign of life. It returns the shards to be fenced, and those to be
// started again.
func (d *Watchdog) Look(now float64, beats []float64) (fence, start []int) {
	paused := now-d.last > stood
	d.last = now
	for i := range d.shards {
		s := &d.shards[i]
		if i < len(beats) {
			s.beat = max(s.beat, beats[i])
		}
		if paused {
			s.beat = now
		}
		switch {
		case s.rests:
		case s.fenced && now >= s.startAt:
			s.fenced, s.beat, s.began = false, now, now
			start = append(start, i)
		case !s.fenced && now-s.beat > standsAt:
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
	if now-s.began > steady {
		s.fails = 0
	}
	s.fenced = true
	s.startAt = now + min(longest, again*math.Pow(2, float64(min(s.fails, 10))))
	s.fails++
}

// Rest takes a shard out of the watch: it has ended, or has not begun. Begin takes it in.
func (d *Watchdog) Rest(at int) { d.shards[at].rests = true }

// Begin notes that a shard begins.
func (d *Watchdog) Begin(now float64, at int) { d.shards[at] = shard{beat: now, began: now} }

// Quiet tells whether a shard has given no sign of life for longer than its housekeeping comes: what is about to
// expire there can't wait for it.
func Quiet(now, beat float64) bool { return now-beat > quiet }

// Fenced tells whether a shard is.
func (d *Watchdog) Fenced(at int) bool { return d.shards[at].fenced }
