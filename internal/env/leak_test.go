package env

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain holds that every goroutine has come to its end when the tests have.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
