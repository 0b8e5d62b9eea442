package env

import (
	"sync/atomic"
	"time"
)

// realTimer is a scheduled call. Real.mu guards it.
type realTimer struct {
	env   *Real
	timer *time.Timer
}

// After implements Environment. The call runs on its own goroutine.
func (r *Real) After(ms float64, f func()) Timer {
	t := &realTimer{env: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return t
	}
	r.goroutines.Add(1)
	r.timers[t] = true
	t.timer = time.AfterFunc(time.Duration(ms*msToNs), func() {
		defer r.goroutines.Done()
		r.mu.Lock()
		delete(r.timers, t)
		closed := r.closed
		r.mu.Unlock()
		if !closed {
			f()
		}
	})
	return t
}

// Stop implements Timer.
func (t *realTimer) Stop() {
	t.env.mu.Lock()
	defer t.env.mu.Unlock()
	if t.timer != nil && t.env.timers[t] && t.timer.Stop() {
		delete(t.env.timers, t)
		t.env.goroutines.Done()
	}
}

// realLoop is a loop that runs on its own goroutine.
type realLoop struct {
	wake  chan struct{} // holds one signal
	ended atomic.Bool
}

// StartLoop implements Environment.
func (r *Real) StartLoop(step func() (wait float64)) Loop {
	l := &realLoop{wake: make(chan struct{}, 1)}
	if !r.spawn(func() { l.run(r, step) }) {
		l.ended.Store(true)
	}
	return l
}

// run calls step until it returns a negative number or the environment is closed.
func (l *realLoop) run(r *Real, step func() (wait float64)) {
	defer l.ended.Store(true)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		wait := step()
		if wait < 0 {
			return
		}
		timer.Reset(time.Duration(wait * msToNs))
	}
}

// Wake implements Loop.
func (l *realLoop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// HasEnded implements Loop.
func (l *realLoop) HasEnded() bool { return l.ended.Load() }
