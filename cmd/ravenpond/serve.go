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
	"sync"
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

// serveCommand runs one of the schedulers of a site.
type serveCommand struct {
	Site          string `required:"" type:"existingfile" help:"Site file."`
	State         string `required:"" type:"path" help:"State folder, which holds the state that is kept across restarts."`
	Name          string `default:"s0" help:"Name of the scheduler, which must be the same at each start."`
	Index         int    `default:"0" help:"Number of the scheduler among those of the site, from 0."`
	Seed          uint64 `default:"0" help:"Seed of the random numbers; 0: a random seed."`
	ClientListen  string `name:"owners" help:"Listen for clients at this address instead of the one in the site file."`
	AddressFile   string `type:"path" help:"Write the address for clients to this file once clients can connect."`
	Log           string `enum:"json,plain" default:"json" help:"Format of the log: json or plain."`
	Keys          string `type:"path" help:"Folder of certificates and keys; required if the site file requires TLS."`
	KeyName       string `default:"server" help:"Name of the server's certificate in the folder of --keys."`
	Profile       string `type:"path" xor:"profile" help:"Write a CPU profile of the whole run to this file."`
	Level         string `enum:"debug,info,warn" default:"info" help:"Minimum level of the log; debug logs each attempt."`
	ProfileWindow string `type:"path" xor:"profile" help:"Write a CPU profile of the time between two SIGUSR1 signals to this file, and a heap profile to the same name with .heap appended."`
	Zone          string `help:"Zone in which the scheduler runs, as named in the site file."`
}

// errKeysExpected reports that the site file requires TLS but --keys was not given.
var errKeysExpected = errors.New("--keys is required: the site file requires TLS for clients or for the administration API")

// newLogger returns a logger that writes messages of at least the given level, as plain text if form is "plain", else as JSON.
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

// Run runs the scheduler until the context ends.
func (c *serveCommand) Run(ctx context.Context) (err error) {
	config, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	if c.Index < 0 || c.Index >= config.Cluster.Schedulers {
		return fmt.Errorf("--index %d: the schedulers of the site file are numbered 0 to %d", c.Index, config.Cluster.Schedulers-1)
	}
	fromFile := *config // without changes by flags, to compare later versions of the file with it
	if c.ClientListen != "" {
		config.ClientsListen = c.ClientListen
	}
	log, err := newLogger(c.Log, c.Level, os.Stderr)
	if err != nil {
		return err
	}
	schedulerLog := log.With().Str("scheduler", c.Name).Logger()

	stopProfile, err := c.startProfile(ctx, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stopProfile()) }()

	clientTLS, stopAdmin, err := c.startAdmin(ctx, config, schedulerLog)
	if err != nil {
		return err
	}
	defer stopAdmin()

	resize, stopWatch := c.watchSiteFile(ctx, &fromFile, log)
	defer stopWatch()

	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	var addressErr error
	scheduler := serve.Config{
		Site: config, Name: c.Name, Index: c.Index, Zone: c.Zone, Folder: c.State, Seed: seed, TLS: clientTLS, Resize: resize,
		Log: schedulerLog, Ready: func(address string) { addressErr = c.writeAddress(address) },
	}
	return errors.Join(serve.Run(ctx, scheduler), addressErr)
}

// writeAddress writes the address for clients to the file of --address-file, if that was given.
func (c *serveCommand) writeAddress(address string) error {
	if c.AddressFile == "" {
		return nil
	}
	return renameio.WriteFile(c.AddressFile, []byte(address+"\n"), 0o640)
}

// startProfile starts the profile that the flags request. stop ends it and waits until it is written.
func (c *serveCommand) startProfile(ctx context.Context, log zerolog.Logger) (stop func() error, err error) {
	switch {
	case c.Profile != "":
		return startCPUProfile(c.Profile)
	case c.ProfileWindow != "":
		ctx, cancel := context.WithCancel(ctx)
		var running sync.WaitGroup
		running.Go(func() {
			profileOnSignals(ctx, c.ProfileWindow, func(err error) { log.Error().Str("mode", "profile").Err(err).Msg("could not write the profile") })
		})
		return func() error { cancel(); running.Wait(); return nil }, nil
	}
	return func() error { return nil }, nil
}

// startAdmin loads the keys if the site file requires TLS, and starts the administration API if the site file has an address for it.
// clientTLS is the TLS configuration of the client listener, nil without TLS. stop stops the API and waits until it has ended.
func (c *serveCommand) startAdmin(ctx context.Context, config *site.Config, log zerolog.Logger) (clientTLS *tls.Config, stop func(), err error) {
	if config.AdminListen == "" && !config.ClientsTLS {
		return nil, func() {}, nil
	}
	if c.Keys == "" {
		return nil, nil, errKeysExpected
	}
	guard, err := keys.NewGuard(c.Keys, c.KeyName)
	if err != nil {
		return nil, nil, err
	}
	if config.ClientsTLS {
		clientTLS = guard.ServerConfig()
	}
	stop, err = c.serveAdmin(ctx, config, guard, log)
	return clientTLS, stop, err
}

// serveAdmin rereads the keys at intervals, and serves the administration API if it has an address. It returns once the API accepts
// calls. stop stops both and waits until they have ended.
func (c *serveCommand) serveAdmin(ctx context.Context, config *site.Config, guard *keys.Guard, log zerolog.Logger) (stop func(), err error) {
	openStore := func() (*tenants.Store, error) { return tenants.Open(c.State, config.MaxHostedTenants) }
	api := &admin.Server{Open: openStore, Guard: guard, Log: log, Now: time.Now}
	ctx, cancel := context.WithCancel(ctx)
	done, ready := make(chan error, 1), make(chan struct{})
	go func() {
		if config.AdminListen == "" {
			close(ready)
			guard.Watch(ctx, time.Now, func(_ bool, line string) { log.Warn().Str("mode", "keys").Msg(line) })
			done <- nil
			return
		}
		done <- api.Serve(ctx, config.AdminListen, func(string) { close(ready) })
	}()
	select {
	case <-ready:
	case err := <-done:
		cancel()
		return nil, err
	}
	return func() {
		cancel()
		if err := <-done; err != nil {
			log.Error().Str("mode", "admin").Err(err).Msg("administration API failed")
		}
	}, nil
}

// watchSiteFile rereads the site file at each SIGHUP and sends its number of shards. A file with an error, or one that differs in anything
// else from the file at the start, is logged and ignored. stop ends the watch and waits until it has ended.
func (c *serveCommand) watchSiteFile(ctx context.Context, atStart *site.Config, log zerolog.Logger) (shards <-chan int, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	resize := make(chan int)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	var running sync.WaitGroup
	running.Go(func() {
		defer signal.Stop(hangup)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			}
			count, err := c.shardsInSiteFile(atStart)
			if err != nil {
				log.Error().Str("mode", "shards").Err(err).Msg("site file rejected; continuing with the previous number of shards")
				continue
			}
			select {
			case resize <- count:
			case <-ctx.Done():
			}
		}
	})
	return resize, func() { cancel(); running.Wait() }
}

// shardsInSiteFile reads the number of shards from the site file. The file may differ from the one at the start only in this number.
func (c *serveCommand) shardsInSiteFile(atStart *site.Config) (int, error) {
	config, err := site.Load(c.Site)
	if err != nil {
		return 0, err
	}
	return atStart.Resized(config)
}
