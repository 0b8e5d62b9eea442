package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"

	"ravenpond/internal/admin"
	"ravenpond/internal/keys"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/state/tenants"
)

type serveCommand struct {
	Site          string `required:"" type:"existingfile" help:"The site file."`
	State         string `required:"" type:"path" help:"Folder for what outlives the process."`
	Name          string `default:"s0" help:"The scheduler's name, the same at each start."`
	Index         int    `default:"0" help:"Its number among all schedulers, from 0."`
	Seed          uint64 `default:"0" help:"Seed of its chance; 0 draws one."`
	ClientListen  string `name:"owners" help:"Listen for owners here instead of where the site file says."`
	AddressFile   string `type:"path" help:"Write the owners' address to this file once they may connect."`
	Log           string `enum:"json,plain" default:"json" help:"Form of the log: json or plain."`
	Keys          string `type:"path" help:"Folder of keys of the administration, where the site file has its address."`
	KeyName       string `default:"server" help:"Name of the server's certificate there."`
	Profile       string `type:"path" xor:"profile" help:"Write a CPU profile of the whole run to this file."`
	Level         string `enum:"debug,info,warn" default:"info" help:"debug adds a line for each try."`
	ProfileWindow string `type:"path" xor:"profile" help:"Write a CPU profile of the time between two signals SIGUSR1 to this file, and a heap profile beside it."`
	Zone          string `help:"The zone in which the scheduler runs, one of the site file's."`
}

func newLogger(form, level string, out io.Writer) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	if form == "plain" {
		out = zerolog.ConsoleWriter{Out: out}
	}
	return zerolog.New(out).Level(minLevel).With().Timestamp().Logger(), nil
}

func (c *serveCommand) Run(ctx context.Context) error {
	deployment, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	if c.Index < 0 || c.Index >= deployment.Cluster.Schedulers {
		return fmt.Errorf("index %d: the site file has schedulers 0 to %d", c.Index, deployment.Cluster.Schedulers-1)
	}
	initial := *deployment
	if c.ClientListen != "" {
		deployment.ClientsListen = c.ClientListen
	}
	log, err := newLogger(c.Log, c.Level, os.Stderr)
	if err != nil {
		return err
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if c.Profile != "" {
		stopProfile, err := startCPUProfile(c.Profile)
		if err != nil {
			return err
		}
		defer stopProfile()
	}
	if c.ProfileWindow != "" {
		windowDone := make(chan struct{})
		window, closeWindow := context.WithCancel(ctx)
		go func() {
			defer close(windowDone)
			profileOnSignals(window, c.ProfileWindow, func(err error) { log.Error().Str("mode", "profile").Err(err).Msg("not written") })
		}()
		defer func() {
			closeWindow()
			<-windowDone
		}()
	}
	var clientTLS *tls.Config
	if deployment.AdminListen != "" || deployment.ClientsTLS {
		if c.Keys == "" {
			return errors.New("the site file wants TLS, for owners or for the administration: --keys is expected")
		}
		guard, err := keys.NewGuard(c.Keys, c.KeyName)
		if err != nil {
			return err
		}
		if deployment.ClientsTLS {
			clientTLS = guard.ServerConfig()
		}
		stopProfile, err := c.serveAdmin(ctx, deployment, guard, log.With().Str("scheduler", c.Name).Logger())
		if err != nil {
			return err
		}
		defer stopProfile()
	}
	var addressErr error
	resize := make(chan int)
	go c.watchSiteFile(ctx, &initial, log, resize)
	scheduler := serve.Config{
		Resize: resize, TLS: clientTLS, Site: deployment, Name: c.Name, Index: c.Index, Folder: c.State, Seed: seed, Zone: c.Zone,
		Log: log.With().Str("scheduler", c.Name).Logger(), Ready: func(owners string) {
			if c.AddressFile != "" {
				addressErr = renameio.WriteFile(c.AddressFile, []byte(owners+"\n"), 0o640)
			}
		},
	}
	return errors.Join(serve.Run(ctx, scheduler), addressErr)
}

// serveAdmin looks after the keys, and serves the administration API where it has an address, until the scheduler ends; ended
// waits for that.
func (c *serveCommand) serveAdmin(ctx context.Context, place *site.Config, guard *keys.Guard, log zerolog.Logger) (ended func(), err error) {
	api := &admin.Server{Open: func() (*tenants.Store, error) { return tenants.Open(c.State, place.MaxHostedTenants) }, Guard: guard, Log: log, Now: time.Now}
	ctx, stop := context.WithCancel(ctx)
	done, ready := make(chan error, 1), make(chan struct{})
	go func() {
		if place.AdminListen == "" {
			close(ready)
			guard.Watch(ctx, time.Now, func(_ bool, line string) { log.Warn().Str("mode", "keys").Msg(line) })
			done <- nil
			return
		}
		done <- api.Serve(ctx, place.AdminListen, func(string) { close(ready) })
	}()
	select {
	case <-ready:
	case err := <-done:
		stop()
		return nil, err
	}
	return func() {
		stop()
		if err := <-done; err != nil {
			log.Error().Str("mode", "admin").Err(err).Msg("administration ended")
		}
	}, nil
}

// watchSiteFile follows the count of shards in the site file, which is read anew at each SIGHUP, until the context ends.
func (c *serveCommand) watchSiteFile(ctx context.Context, first *site.Config, log zerolog.Logger, resize chan<- int) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		n := 0
		place, err := site.Load(c.Site)
		if err == nil {
			n, err = first.Resized(place)
		}
		if err != nil {
			log.Error().Str("mode", "shards").Err(err).Msg("site file not taken, going on as before")
			continue
		}
		select {
		case resize <- n:
		case <-ctx.Done():
		}
	}
}
