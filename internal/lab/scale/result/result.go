// Package result defines the result file of a run of the scale rig: what was run, on which machine, and the readings of a process. Fits and
// plots read these files alone.
package result

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/renameio/v2"
)

// Schema is the version of the file format. It is incremented when the meaning of a field changes.
const Schema = 1

// Units of readings.
const (
	Cores        = "cores"       // CPU seconds used per second
	Microseconds = "us"          // of CPU time, mostly per attempt
	Milliseconds = "ms"          // of elapsed time
	Seconds      = "s"           // of elapsed time
	Bytes        = "B"           // of memory, or sent during the whole measurement
	BytesPerSec  = "B/s"         // on connections
	Messages     = "messages"    // during the whole measurement
	MessagesRate = "messages/s"  // on connections
	Count        = "count"       // of descriptors, goroutines, nodes or tasks
	Ratio        = "part of one" // 0 to 1
	Attempts     = "attempts"    // attempts, each an offer to a node
	PerSecond    = "1/s"         // rates, such as starts per second
	Connections  = "connections" // open connections
	Descriptors  = "descriptors" // open file descriptors
	Goroutines   = "goroutines"  // running goroutines
)

// Sizes are the requested sizes of a run. A real scheduler process holds its share of the running tasks and of the starts: both figures are
// those of one process.
type Sizes struct {
	Nodes               int     `json:"nodes"`
	Schedulers          int     `json:"schedulers"`   // schedulers that a process knows, hollow ones included
	RunningTasks        int     `json:"runningTasks"` // of this process
	Teams               int     `json:"teams"`
	Zones               int     `json:"zones"`
	Regions             int     `json:"regions"`
	ConfigChangesPerDay float64 `json:"configChangesPerDay"`
	StartsPerSecond     float64 `json:"startsPerSecond"` // requested of this process
}

// Machine describes the machine on which a run was made.
type Machine struct {
	CPUs        int    `json:"cpus"`
	MemoryBytes uint64 `json:"memoryBytes"`
	GoVersion   string `json:"goVersion"`
	Kernel      string `json:"kernel"`
}

// Reading is one measured figure: the part of the program (control, placement, process, connections by kind), the name of the quantity, its
// unit and its value.
type Reading struct {
	Part  string  `json:"part"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Result holds the readings of one real process in one run. A run of several real processes gives one result per process.
type Result struct {
	Schema    int       `json:"schema"`
	Machine   Machine   `json:"machine"`
	Commit    string    `json:"commit"`
	Seed      uint64    `json:"seed"`
	Scenario  string    `json:"scenario"`  // rest, starts, rack, ...
	Dimension string    `json:"dimension"` // the varied size: nodes, schedulers, tasks, or off-axis
	Process   string    `json:"process"`   // name of the scheduler: s0, s1, ...
	Run       int       `json:"run"`       // number of the repetition, from 1
	Sizes     Sizes     `json:"sizes"`
	Seconds   float64   `json:"seconds"` // length of the measurement
	Readings  []Reading `json:"readings"`
}

// Value returns the value of a reading by part and name, and whether there is such a reading.
func (r *Result) Value(part, name string) (float64, bool) {
	for _, reading := range r.Readings {
		if reading.Part == part && reading.Name == name {
			return reading.Value, true
		}
	}
	return 0, false
}

// Write writes the result to a file atomically.
func (r *Result) Write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result of the scale run: %w", err)
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads a result from a file. It returns an error for another schema.
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
		return nil, fmt.Errorf("%s: result has schema %d, want %d", path, r.Schema, Schema)
	}
	return r, nil
}
