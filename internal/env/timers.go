package env

import (
	"sync/atomic"
	"time"
)

type realTimer struct {
	env   *Real
	timer *time.Timer
}

// After calls f on a goroutine of its own.
func (r *Real) After(ms float64, f func()) Timer {
	t := &realTimer{env: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return t
	}
	r.goroutines.Add(1)
	r.timers[t] = true
	t.timer = time.AfterFunc(time.Duration(ms*1e6), func() {
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

func (t *realTimer) Stop() {
	t.env.mu.Lock()
	defer t.env.mu.Unlock()
	if t.timer != nil && t.env.timers[t] && t.timer.Stop() {
		delete(t.env.timers, t)
		t.env.goroutines.Done()
	}
}

type realLoop struct {
	wake  chan struct{}
	ended atomic.Bool
}

func (l *realLoop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *realLoop) HasEnded() bool { return l.ended.Load() }

// StartLoop runs turn on a goroutine of its own.
func (r *Real) StartLoop(turn func() (wait float64)) Loop {
	l := &realLoop{wake: make(chan struct{}, 1)}
	ok := r.spawn(func() {
		defer l.ended.Store(true)
		t := time.NewTimer(0)
		defer t.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-l.wake:
			case <-t.C:
			}
			wait := turn()
			if wait < 0 {
				return
			}
			t.Reset(time.Duration(wait * 1e6))
		}
	})
	if !ok {
		l.ended.Store(true)
	}
	return l
}
