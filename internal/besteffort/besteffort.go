// Package besteffort keeps what is only said to people apart from what serves: counts, traces, figures in the log. It guards
// against a word that ends a process which holds work.
package besteffort

import (
	"fmt"
	"runtime/debug"
	"sync"
)

// Fence runs what is only said. What panics is told once, with its stack, and is not run again. The zero value works;
// it may be used by several goroutines.
type Fence struct {
	// Tell says what was switched off and why. It may be nil.
	Tell func(what, why string)

	mu  sync.Mutex
	off map[string]bool
}

// Do runs something said under a name, unless one of that name has panicked. It reports whether it went through.
func (f *Fence) Do(what string, say func()) (ok bool) {
	f.mu.Lock()
	off := f.off[what]
	f.mu.Unlock()
	if off {
		return false
	}
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		f.mu.Lock()
		first := !f.off[what]
		if f.off == nil {
			f.off = map[string]bool{}
		}
		f.off[what] = true
		f.mu.Unlock()
		if first && f.Tell != nil {
			f.Tell(what, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	say()
	return true
}
