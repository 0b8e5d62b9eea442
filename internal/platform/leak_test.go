package platform

import (
	"fmt"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// runs, in the environment, has the tests' binary be a scheduler.
const runs = "RAVENPOND_TEST_RUNS"

// TestMain checks that every goroutine has ended when the tests have.
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
