package outside

import (
	"sync/atomic"
	"time"
)

type timer struct {
	r *Real
	t *time.Timer
}

// After calls f on a goroutine of its own.
func (r *Real) After(ms float64, f func()) Timer {
	t := &timer{r: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return t
	}
	r.work.Add(1)
	r.timers[t] = true
	t.t = time.AfterFunc(time.Duration(ms*1e6), func() {
		defer r.work.Done()
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

func (t *timer) Stop() {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if t.t != nil && t.r.timers[t] && t.t.Stop() {
		delete(t.r.timers, t)
		t.r.work.Done()
	}
}

type loop struct {
	wake  chan struct{}
	ended atomic.Bool
}

func (l *loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *loop) HasEnded() bool { return l.ended.Load() }

// StartLoop runs turn on a goroutine of its own.
func (r *Real) StartLoop(turn func() (wait float64)) Loop {
	l := &loop{wake: make(chan struct{}, 1)}
	ok := r.goes(func() {
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
