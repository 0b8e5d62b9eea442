package platform

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/env"
)

// Environment variables through which the platform configures a scheduler.
const (
	fileVariable   = "GW_CONFIG"
	nameVariable   = "GW_NAME"
	listenVariable = "GW_LISTEN"
)

// exitTimeout bounds how long Run waits for the environment's goroutines before it returns.
const exitTimeout = time.Second

// Run runs a scheduler with the configuration file that the environment variables name. SIGTERM and SIGINT shut it down, SIGHUP reloads the
// configuration. Run returns when the shutdown is complete, or with an error if the scheduler can't start.
func Run(log zerolog.Logger) error {
	source := configurationSource{File: os.Getenv(fileVariable), Name: os.Getenv(nameVariable), Listen: os.Getenv(listenVariable)}
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	configuration, err := source.load()
	if err != nil {
		return err
	}
	environment := env.NewReal()
	environment.WriteThrough = true // Send writes a message at once instead of leaving it to a writer goroutine
	environment.ReadPause = connlimits.FullReadPause * time.Millisecond
	defer environment.Close(exitTimeout)
	s := New(environment, log.With().Str("scheduler", configuration.Name).Logger(), configuration)
	environment.MaxLingering = s.limits.LingeringConns
	runtime.GOMAXPROCS(1) // the platform gives a scheduler one core, on which more running threads would only wait for each other
	debug.SetMemoryLimit(int64(s.limits.MemorySoftLimit))
	if err := s.Start(configuration); err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			s.reload(source)
		case <-term:
			s.Stop()
		case <-s.Done():
			return nil
		}
	}
}

// reload reads the configuration again and applies it. An error is logged and changes nothing.
func (s *Server) reload(source configurationSource) {
	configuration, err := source.load()
	if err != nil {
		s.log.Error().Str("mode", "configuration").Err(err).Msg("configuration rejected; keeping the previous one")
		return
	}
	s.ApplyConfiguration(configuration)
}
