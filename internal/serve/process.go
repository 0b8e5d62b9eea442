package serve

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/env"
	"ravenpond/internal/state"
)

// process holds what all parts of a server share. Only stopped changes after Start.
type process struct {
	config      Config
	env         env.Environment
	log         zerolog.Logger
	folder      *state.Folder
	diagnostics besteffort.Guard // runs diagnostics that only people read, so that a panic there does not end the process
	stopped     atomic.Bool      // set by Shutdown: no timer, visit or round starts any more
}

func newProcess(e env.Environment, config Config, folder *state.Folder) *process {
	report := func(diagnostic, reason string) {
		config.Log.Error().Str("mode", "words").Str("what", diagnostic).Str("why", reason).Msg("diagnostic switched off")
	}
	return &process{config: config, env: e, log: config.Log, folder: folder, diagnostics: besteffort.Guard{Report: report}}
}

// every calls f at an interval, in ms, until the server stops.
func (p *process) every(interval float64, f func()) {
	env.Every(p.env, interval, func() bool {
		if p.stopped.Load() {
			return false
		}
		f()
		return true
	})
}

// async calls f from a timer, so that its caller may hold locks that f takes.
func (p *process) async(f func()) { p.env.After(0, f) }

// hostsTenants reports whether the site file allows hosted tenants, which are added and removed while the scheduler runs.
func (p *process) hostsTenants() bool { return p.config.Site.MaxHostedTenants > 0 }
