package platformsim

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"ravenpond/internal/platform"
)

// abruptProgram is the argument with which the test binary runs as a scheduler that exits at once on SIGTERM.
const abruptProgram = "abrupt"

// TestMain lets the test binary run as the scheduler process that a soak test starts.
func TestMain(m *testing.M) {
	if os.Args[len(os.Args)-1] != "platform" {
		os.Exit(m.Run())
	}
	if os.Args[1] == abruptProgram {
		term := make(chan os.Signal, 1)
		signal.Notify(term, syscall.SIGTERM)
		go func() {
			<-term
			os.Exit(0)
		}()
	}
	if err := platform.Run(zerolog.New(os.Stderr).With().Timestamp().Logger()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// soakTestSeeds is how many seeds TestSoak plays, all of them concurrently; each takes 23 s.
const soakTestSeeds = 4

// TestSoak plays a few fixed seeds with real processes, signals and sockets. No rule may be violated, and the seeds must cover enough requests.
func TestSoak(t *testing.T) {
	var mu sync.Mutex
	var total Result
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(soakTestSeeds) {
			t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
				t.Parallel()
				r, err := PlayOnSockets(t.Context(), seed+1, SocketOptions{Command: []string{os.Args[0]}, Dir: filepath.Join(t.TempDir(), "run")})
				if err != nil {
					t.Fatal(err)
				}
				if r.Failure != "" {
					t.Errorf("%.1500s", r.Failure)
				}
				mu.Lock()
				defer mu.Unlock()
				total.add(&r)
			})
		}
	})
	if total.Requests < 200*soakTestSeeds || total.Served < total.Requests/2 || total.Restored == 0 {
		t.Errorf("got counts %+v, want at least 200 requests a seed, half of them served and a task restored", total)
	}
}

// TestSoakFindsAbruptEnd plays seeds with schedulers that exit at once on SIGTERM and lose the requests that they accepted. This has to be found.
func TestSoakFindsAbruptEnd(t *testing.T) {
	for seed := range uint64(6) {
		r, err := PlayOnSockets(t.Context(), seed+1, SocketOptions{Command: []string{os.Args[0], abruptProgram}, Dir: filepath.Join(t.TempDir(), "run")})
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(r.Failure, "rule 1") {
			t.Logf("found by seed %d: %s", seed+1, r.Failure)
			return
		}
	}
	t.Error("got no violation of rule 1 in 6 seeds, want one")
}
