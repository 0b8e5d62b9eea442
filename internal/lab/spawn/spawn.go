// Package spawn starts scheduler processes for tests and measurements on real sockets.
package spawn

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"

	"ravenpond/internal/serve"
	"ravenpond/internal/site"
)

const (
	pollInterval = 10 * time.Millisecond
	startTimeout = 10 * time.Second
)

// Scheduler starts a scheduler command and waits until it has written the address for its clients to a file. The output of the process goes to
// log. The process is killed if it writes no address within 10 s, and when this process ends.
func Scheduler(ctx context.Context, command []string, log *os.File, addressFile string) (*exec.Cmd, string, error) {
	_ = os.Remove(addressFile) // an earlier process may have written it
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, "", fmt.Errorf("starting the scheduler: %w", err)
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if b, err := os.ReadFile(addressFile); err == nil && len(b) > 0 {
			return cmd, strings.TrimSpace(string(b)), nil
		}
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if err := ctx.Err(); err != nil {
		return nil, "", err
	}
	return nil, "", fmt.Errorf("scheduler wrote no address within %s; see its log %s", startTimeout, log.Name())
}

// Main runs tests and exits. If the first argument is `serve`, it runs a scheduler instead: tests start their own binary this way.
func Main(tests func() int) {
	if len(os.Args) < 2 || os.Args[1] != "serve" {
		os.Exit(tests())
	}
	if err := runFromFlags(os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// logTime adds the time to each line of a log.
type logTime struct{}

// Run implements zerolog.Hook.
func (logTime) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Float64("logged_unix_ms", float64(time.Now().UnixMicro())/1e3)
}

// runFromFlags runs a scheduler with the flags of `ravenpond serve` until it receives SIGTERM or an interrupt.
func runFromFlags(args []string) error {
	flags := map[string]string{}
	for i := 0; i+1 < len(args); i += 2 {
		flags[args[i]] = args[i+1]
	}
	config, err := site.Load(flags["--site"])
	if err != nil {
		return err
	}
	var index int
	var seed uint64
	if _, err := fmt.Sscan(flags["--index"]+" "+flags["--seed"], &index, &seed); err != nil {
		return fmt.Errorf("flags --index and --seed: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var failed error
	err = serve.Run(ctx, serve.Config{
		Site: config, Name: flags["--name"], Index: index, Folder: flags["--state"], Seed: seed, Zone: flags["--zone"],
		Log: zerolog.New(os.Stderr).Hook(logTime{}), Ready: func(a string) {
			failed = renameio.WriteFile(flags["--address-file"], []byte(a+"\n"), 0o600)
		},
	})
	return errors.Join(err, failed)
}
