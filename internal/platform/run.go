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

// Run runs a scheduler as the environment says, until it is told to end.
func Run(log zerolog.Logger) error {
	file, name, listen := os.Getenv("GW_CONFIG"), os.Getenv("GW_NAME"), os.Getenv("GW_LISTEN")
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	c, err := Load(file, name, listen)
	if err != nil {
		return err
	}
	log = log.With().Str("scheduler", c.Name).Logger()
	world := env.NewReal()
	world.WriteThrough = true // what is decided leaves at once, however many wait for their turn
	defer world.Close(time.Second)
	s := New(world, log, c)
	world.MaxLingering = s.limits.LingeringConns
	runtime.GOMAXPROCS(1) // the machine is one core; more threads at work only wait for each other
	debug.SetMemoryLimit(int64(s.limits.MemorySoftLimit))
	if err := s.Start(c); err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			s.reload(file, name, listen)
		case <-term:
			s.Stop()
		case <-s.Done():
			return nil
		}
	}
}

// reload reads the configuration anew: where the journal service is may have changed.
func (s *Server) reload(file, name, listen string) {
	c, err := Load(file, name, listen)
	if err != nil {
		s.log.Error().Str("mode", "configuration").Err(err).Msg("not taken, going on as before")
		return
	}
	s.ApplyConfiguration(c)
}

// ApplyConfiguration takes what may change in a configuration while a scheduler runs.
func (s *Server) ApplyConfiguration(c *Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setJournalAddress(c.Journal)
	s.wake()
}
