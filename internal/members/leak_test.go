package members

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine is left when the tests have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
