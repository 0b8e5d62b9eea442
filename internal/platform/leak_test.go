package platform

import (
	"fmt"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// runs is the environment variable that makes the test binary run a scheduler instead of the tests.
const runs = "RAVENPOND_TEST_RUNS"

// TestMain runs a scheduler if the variable runs is set. Else it runs the tests and checks that they leak no goroutines.
func TestMain(m *testing.M) {
	if os.Getenv(runs) != "" {
		if err := Run(zerolog.New(os.Stderr)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}
