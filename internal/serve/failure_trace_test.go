package serve

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// failureTrace collects what the schedulers and clients of a test cluster log. It is written to files if the test fails.
type failureTrace struct {
	now func() float64 // ms since the start of the cluster

	mu    sync.Mutex
	lines []string
}

// Write adds a line to the trace.
func (f *failureTrace) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, fmt.Sprintf("%.1f %s", f.now(), line))
	return len(line), nil
}

// logger returns a logger of a scheduler, with all levels.
func (f *failureTrace) logger(scheduler string) zerolog.Logger {
	return zerolog.New(f).Level(zerolog.DebugLevel).With().Str("scheduler", scheduler).Logger()
}

// save writes the trace and the cluster's audit records to a directory that outlives the test, if the test has failed.
func (f *failureTrace) save(s *testCluster) {
	if !s.t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "ravenpond-failure-")
	if err != nil {
		s.t.Log(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var records strings.Builder
	encoder := json.NewEncoder(&records)
	for _, record := range s.testbed.Trace.Records() {
		_ = encoder.Encode(record) // a strings.Builder returns no errors
	}
	for name, text := range map[string]string{"log.txt": strings.Join(f.lines, ""), "records.txt": records.String()} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("trace of %s: %s", s.t.Name(), dir)
}

// logNotifications prints what the client was sent if the test has failed.
func (c *testClient) logNotifications(t *testing.T) {
	t.Helper()
	if t.Failed() {
		t.Logf("the client received: %s", strings.Join(c.notifications(), "\n"))
	}
}
