package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"ravenpond/logic"
)

// Entry takes a node of the list: its cell and start in Unix ms, 0 for long ago, and what nobody has asked for.
type Entry func(name, address, zone, kind string, cell int, avail logic.Availability, since, freeCores, freeMemory float64)

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

// ReadLine reads a line of the journal service: an event, or the last number alone. All of an event is checked before the
// first of its entries is given, so that half of one is never taken.
func ReadLine(line []byte, begin func(pos uint64, whole bool) bool, entry Entry) (last uint64, err error) {
	line = bytes.TrimSpace(line)
	if len(line) > 0 && line[0] != '{' {
		last, err = strconv.ParseUint(string(line[:min(len(line), 32)]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: line %.40q of the journal", ErrUnreadable, line)
		}
		return last, nil
	}
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, fmt.Errorf("%w: event of the journal: %w", ErrUnreadable, err)
	}
	if e.Hosts == nil && e.Pos > 0 { // the count of every second
		return e.Pos, nil
	}
	return e.Pos, e.apply(begin, entry)
}

// ReadInitialEvents reads the events that a scheduler is given at its start.
func ReadInitialEvents(text []byte, begin func(pos uint64, whole bool) bool, entry Entry) (last uint64, err error) {
	var k struct {
		Pos     uint64
		Entries []event
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return 0, fmt.Errorf("%w: known events: %w", ErrUnreadable, err)
	}
	for i := range k.Entries {
		if err := k.Entries[i].apply(begin, entry); err != nil {
			return 0, err
		}
	}
	return k.Pos, nil
}

// Words of a node's state, in the module's order.
var availabilityWords = [...]string{"gone", "ready", "draining"}

func (e *event) apply(begin func(pos uint64, whole bool) bool, entry Entry) error {
	if e.Pos == 0 || e.Hosts == nil {
		return fmt.Errorf("%w: event %d of the journal without number or nodes", ErrUnreadable, e.Pos)
	}
	avail := make([]logic.Availability, len(e.Hosts.Endpoints))
	for i, x := range e.Hosts.Endpoints {
		a := -1
		for s, word := range availabilityWords {
			if x.Status == word {
				a = s
			}
		}
		if a < 0 || x.Name == "" || x.Address == "" && x.Status != "gone" {
			return fmt.Errorf("%w: event %d of the journal: node %.40q in state %.40q", ErrUnreadable, e.Pos, x.Name, x.Status)
		}
		avail[i] = logic.Availability(a)
	}
	if !begin(e.Pos, e.Hosts.Snapshot) {
		return nil
	}
	for i, x := range e.Hosts.Endpoints {
		var free [2]float64
		copy(free[:], x.Room)
		entry(x.Name, x.Address, x.Zone, x.Type, x.Group, avail[i], x.Since, free[0], free[1])
	}
	return nil
}
