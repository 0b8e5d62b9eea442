package platform

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/env"
)

// Variables of the process environment by which the platform configures a scheduler.
const (
	fileVariable   = "GW_CONFIG"
	nameVariable   = "GW_NAME"
	listenVariable = "GW_LISTEN"
)

// exitTimeout bounds how long the environment's goroutines are waited for at the end.
const exitTimeout = time.Second

// Run runs a scheduler with the configuration that the process environment names. SIGTERM and SIGINT shut it down, SIGHUP has it read the
// configuration anew. Run returns when the shutdown is complete, or with an error if the scheduler can't start.
func Run(log zerolog.Logger) error {
	source := configurationSource{File: os.Getenv(fileVariable), Name: os.Getenv(nameVariable), Listen: os.Getenv(listenVariable)}
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	configuration, err := source.load()
	if err != nil {
		return err
	}
	machine := env.NewReal()
	machine.WriteThrough = true // a decision is sent at once, however many others wait for their turn
	defer machine.Close(exitTimeout)
	s := New(machine, log.With().Str("scheduler", configuration.Name).Logger(), configuration)
	machine.MaxLingering = s.limits.LingeringConns
	runtime.GOMAXPROCS(1) // the platform gives a scheduler one core: more running threads would only wait for each other
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

// reload reads the configuration anew. An error is logged, and changes nothing.
func (s *Server) reload(source configurationSource) {
	configuration, err := source.load()
	if err != nil {
		s.log.Error().Str("mode", "configuration").Err(err).Msg("not taken, going on as before")
		return
	}
	s.ApplyConfiguration(configuration)
}
