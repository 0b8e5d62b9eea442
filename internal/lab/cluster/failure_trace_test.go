package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// keepTrace copies the logs of the schedulers and the audit records of a rig that has ended to a directory that outlives the test, if the test
// has failed. The first line of the records gives the Unix time of the records' zero.
func keepTrace(t *testing.T, r *Rig) {
	t.Helper()
	if !t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "ravenpond-failure-")
	if err != nil {
		t.Log(err)
		return
	}
	var records strings.Builder
	fmt.Fprintf(&records, "{\"UnixMs\":%.1f}\n", float64(time.Now().UnixMicro())/1e3-r.testbed.Now())
	encoder := json.NewEncoder(&records)
	r.mu.Lock()
	for _, record := range r.trace {
		_ = encoder.Encode(record) // a strings.Builder returns no errors
	}
	r.mu.Unlock()
	files := map[string][]byte{"records.txt": []byte(records.String())}
	for _, p := range r.processes {
		log, err := os.ReadFile(filepath.Join(r.Dir, p.name+".log"))
		if err != nil {
			t.Log(err)
		}
		files[p.name+".log"] = log
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Log(err)
		}
	}
	t.Logf("trace of %s: %s", t.Name(), dir)
}
