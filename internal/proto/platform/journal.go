package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"ravenpond/logic"
)

// Endpoint is the state of a node as an event of the journal describes it.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Availability              logic.Availability
	StartedAt                 float64 // Unix time in ms; 0: long ago
	FreeCores, FreeMemory     float64 // unallocated
}

// EventReader receives the events of the journal.
type EventReader interface {
	// BeginEvent starts an event, which is a snapshot of the full list or holds changes. It returns false to skip the endpoints of the event.
	BeginEvent(position uint64, snapshot bool) bool
	// AddEndpoint receives one endpoint of the event.
	AddEndpoint(endpoint Endpoint)
}

// event is the JSON form of an event of the journal. The JSON keys are the field names in lower case, unless a tag gives another one.
type event struct {
	Pos   uint64
	Hosts *struct {
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Zone, Type, Status string
			Group                             int
			Since                             float64 `json:"since_ms"`
			Room                              []float64
		}
	}
}

// ReadLine reads a line from the journal service, which is an event or only the last position, and returns the position. An event is checked
// completely before any of it is passed to the reader. The error wraps ErrUnreadable.
func ReadLine(line []byte, reader EventReader) (last uint64, err error) {
	line = bytes.TrimSpace(line)
	if len(line) > 0 && line[0] != '{' {
		last, err = strconv.ParseUint(string(line[:min(len(line), maxNumberText)]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: journal line %.*q is not a position", ErrUnreadable, maxQuotedInput, line)
		}
		return last, nil
	}
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, fmt.Errorf("%w: journal event: %w", ErrUnreadable, err)
	}
	if e.Hosts == nil && e.Pos > 0 { // the last position, which the service sends every second
		return e.Pos, nil
	}
	return e.Pos, e.deliver(reader)
}

// ReadInitialEvents reads the events that a scheduler is configured with and returns the position of the last. The error wraps ErrUnreadable;
// the events before the malformed one have then been passed to the reader.
func ReadInitialEvents(text []byte, reader EventReader) (last uint64, err error) {
	var initial struct {
		Pos     uint64
		Entries []event
	}
	if err := json.Unmarshal(text, &initial); err != nil {
		return 0, fmt.Errorf("%w: initial events: %w", ErrUnreadable, err)
	}
	for i := range initial.Entries {
		if err := initial.Entries[i].deliver(reader); err != nil {
			return 0, err
		}
	}
	return initial.Pos, nil
}

// availabilityNames are the values of an endpoint's status, indexed by logic.Availability.
var availabilityNames = []string{"gone", "ready", "draining"}

// deliver checks an event and passes it to the reader.
func (e *event) deliver(reader EventReader) error {
	if e.Pos == 0 || e.Hosts == nil {
		return fmt.Errorf("%w: journal event %d has no position or no nodes", ErrUnreadable, e.Pos)
	}
	endpoints := make([]Endpoint, len(e.Hosts.Endpoints))
	for i, x := range e.Hosts.Endpoints {
		availability := slices.Index(availabilityNames, x.Status)
		if availability < 0 || x.Name == "" || x.Address == "" && x.Status != "gone" {
			return fmt.Errorf("%w: journal event %d: invalid endpoint: name %.*q, status %.*q", ErrUnreadable, e.Pos, maxQuotedInput, x.Name, maxQuotedInput,
				x.Status)
		}
		var free [2]float64 // cores and memory
		copy(free[:], x.Room)
		endpoints[i] = Endpoint{
			Name: x.Name, Address: x.Address, Zone: x.Zone, Kind: x.Type, Cell: x.Group, Availability: logic.Availability(availability),
			StartedAt: x.Since, FreeCores: free[0], FreeMemory: free[1],
		}
	}
	if !reader.BeginEvent(e.Pos, e.Hosts.Snapshot) {
		return nil
	}
	for _, endpoint := range endpoints {
		reader.AddEndpoint(endpoint)
	}
	return nil
}
