// Package result is the file that one run of the scale rig leaves: what was run, on which machine, and what each
// process read. Fits and plots read nothing else.
package result

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/renameio/v2"
)

// Schema is the version of the file. It grows when a field changes its meaning.
const Schema = 1

// Units of readings.
const (
	Cores        = "cores"       // CPU seconds used per second of time
	Microseconds = "us"          // of CPU time, mostly per attempt
	Milliseconds = "ms"          // of time that passed
	Seconds      = "s"           // of time that passed
	Bytes        = "B"           // of memory, or sent in the whole measurement
	BytesPerSec  = "B/s"         // on connections
	Messages     = "messages"    // in the whole measurement
	MessagesRate = "messages/s"  // on connections
	Count        = "count"       // descriptors, goroutines, nodes, tasks
	Ratio        = "part of one" // 0 to 1
	Attempts     = "attempts"    // offers to nodes
	PerSecond    = "1/s"         // starts and the like
	Connections  = "connections" // that are open
	Descriptors  = "descriptors" // of files
	Goroutines   = "goroutines"  // that live
)

// Sizes are the sizes of a run, as they were asked for. A real process holds its share of the running tasks and of the
// starts: both are of this one process.
type Sizes struct {
	Nodes               int     `json:"nodes"`
	Schedulers          int     `json:"schedulers"`   // known to a process, hollow ones with it
	RunningTasks        int     `json:"runningTasks"` // of this process
	Teams               int     `json:"teams"`
	Zones               int     `json:"zones"`
	Regions             int     `json:"regions"`
	ConfigChangesPerDay float64 `json:"configChangesPerDay"`
	StartsPerSecond     float64 `json:"startsPerSecond"` // asked of this process
}

// Machine is where a run was made.
type Machine struct {
	CPUs        int    `json:"cpus"`
	MemoryBytes uint64 `json:"memoryBytes"`
	GoVersion   string `json:"goVersion"`
	Kernel      string `json:"kernel"`
}

// Reading is one figure: a part of the program (control, placement, process, connections by kind), what of it was read,
// and the unit.
type Reading struct {
	Part  string  `json:"part"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Result is what one real process read in one run. A run of several real processes leaves one result a process.
type Result struct {
	Schema    int       `json:"schema"`
	Machine   Machine   `json:"machine"`
	Commit    string    `json:"commit"`
	Seed      uint64    `json:"seed"`
	Scenario  string    `json:"scenario"`  // rest, starts, rack, ...
	Dimension string    `json:"dimension"` // the size that is varied: nodes, schedulers, tasks, or off-axis
	Process   string    `json:"process"`   // name of the scheduler, s0 and on
	Run       int       `json:"run"`       // repetition, from 1
	Sizes     Sizes     `json:"sizes"`
	Seconds   float64   `json:"seconds"` // that were measured
	Readings  []Reading `json:"readings"`
}

// Value is the reading of a part by name, and whether there is one.
func (r *Result) Value(part, name string) (float64, bool) {
	for _, reading := range r.Readings {
		if reading.Part == part && reading.Name == name {
			return reading.Value, true
		}
	}
	return 0, false
}

// Write leaves the result in a file, whole or not at all.
func (r *Result) Write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("result of the scale run: %w", err)
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads a result from a file. One of another schema is refused.
func Read(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Schema != Schema {
		return nil, fmt.Errorf("%s: schema %d, not %d", path, r.Schema, Schema)
	}
	return r, nil
}
