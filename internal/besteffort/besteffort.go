// Package besteffort runs diagnostics that may fail, such as statistics, traces and log lines, so that a panic in one of them does not end a
// process that holds allocations.
package besteffort

import (
	"fmt"
	"runtime/debug"
	"sync"
)

// Guard runs diagnostics. A diagnostic that panics is reported once, with its stack, and not run again. The zero value is ready to use. A Guard
// is safe for concurrent use.
type Guard struct {
	// Report is called when a diagnostic is switched off, with its name and the reason. It may be nil.
	Report func(what, why string)

	mu          sync.Mutex
	switchedOff map[string]bool // by name; guarded by mu
}

// Do runs the named diagnostic unless it has panicked before. It returns whether the diagnostic completed.
func (g *Guard) Do(name string, run func()) (ok bool) {
	g.mu.Lock()
	off := g.switchedOff[name]
	g.mu.Unlock()
	if off {
		return false
	}
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		g.mu.Lock()
		first := !g.switchedOff[name]
		if g.switchedOff == nil {
			g.switchedOff = map[string]bool{}
		}
		g.switchedOff[name] = true
		g.mu.Unlock()
		if first && g.Report != nil {
			g.Report(name, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	run()
	return true
}
