package platform

import (
	"fmt"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// runVariable is the environment variable that makes the test binary run a scheduler instead of the tests.
const runVariable = "RAVENPOND_TEST_RUNS"

// TestMain runs a scheduler if runVariable is set. Else it runs the tests and checks that they leak no goroutines.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		if err := Run(zerolog.New(os.Stderr)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}
