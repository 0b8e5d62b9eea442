package serve

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/env"
	"ravenpond/internal/state"
)

// process is what all parts of a server share. Apart from stopped its fields do not change after Start.
type process struct {
	config      Config
	env         env.Environment
	log         zerolog.Logger
	folder      *state.Folder
	diagnostics besteffort.Guard // runs what only people read, so that a panic there ends nothing
	stopped     atomic.Bool      // set by Shutdown: no further timer, visit or round begins
}

func newProcess(e env.Environment, config Config, folder *state.Folder) *process {
	report := func(diagnostic, reason string) {
		config.Log.Error().Str("mode", "words").Str("what", diagnostic).Str("why", reason).Msg("switched off")
	}
	return &process{config: config, env: e, log: config.Log, folder: folder, diagnostics: besteffort.Guard{Report: report}}
}

// every calls f every interval ms until the server stops.
func (p *process) every(interval float64, f func()) {
	env.Every(p.env, interval, func() bool {
		if p.stopped.Load() {
			return false
		}
		f()
		return true
	})
}

// async calls f from a timer of its own. Callers may hold locks that f takes.
func (p *process) async(f func()) { p.env.After(0, f) }

// hostsTenants reports whether tenants come and go, as the site file's hosted tenants do.
func (p *process) hostsTenants() bool { return p.config.Site.MaxHostedTenants > 0 }
