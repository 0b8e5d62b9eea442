// Package list is the protocol between a scheduler and the node list, as docs/protocols/list.md has it.
package list

import (
	"fmt"

	"ravenpond/internal/proto/line"
)

// GreetingLine is the first line of both sides.
const GreetingLine = "RAVENPOND-LIST 1"

// KindNames of an answer: the whole list, or what changed since the version that was named.
var KindNames = []string{"whole", "changes"}

// Places in Kinds.
const (
	KindFull = iota
	KindChanges
)

// AvailabilityNames in the order of the module's.
var AvailabilityNames = []string{"gone", "ready", "draining"}

// SchedulerHandler is what the list hears.
type SchedulerHandler interface {
	OnFullRequest() error
	OnWatch(since uint64) error
	OnUnwatch() error
	OnMaintenance(id uint32, lasts float64) error
	OnMaintenanceEnd(id uint32) error
	OnBye(why string) error
}

// ListHandler is what a scheduler hears: Begin, so many entries, End; or Failed.
type ListHandler interface {
	OnBegin(kind int, version uint64) error
	OnEntry(id uint32, address string, availability int, startedAt, freeCores, freeMemory float64,
		zone, cell, kind string) error
	OnEnd() error
	OnFailed(why string) error
	OnBye(why string) error
}

// AppendFullRequest asks for the whole list once.
func AppendFullRequest(b []byte) []byte { return append(b, "WHOLE\n"...) }

// AppendWatch asks for all changes after a version, and those to come.
func AppendWatch(b []byte, since uint64) []byte {
	return append(line.AppendInt(append(b, "WATCH"...), since), '\n')
}

// AppendUnwatch ends the watch.
func AppendUnwatch(b []byte) []byte { return append(b, "UNWATCH\n"...) }

// AppendMaintenance tells that a node is out for maintenance for so many ms, if no more is heard.
func AppendMaintenance(b []byte, id uint32, duration float64) []byte {
	return append(line.AppendNumber(line.AppendInt(append(b, "OUT"...), uint64(id)), duration), '\n')
}

// AppendMaintenanceEnd tells that a node is out no more.
func AppendMaintenanceEnd(b []byte, id uint32) []byte {
	return append(line.AppendInt(append(b, "BACK"...), uint64(id)), '\n')
}

// AppendBye says why the connection is closed.
func AppendBye(b []byte, why string) []byte {
	return append(line.AppendText(append(b, "BYE"...), line.EscapeText(why)), '\n')
}

// AppendBegin opens an answer.
func AppendBegin(b []byte, kind int, version uint64) []byte {
	return append(line.AppendInt(line.AppendText(append(b, "LIST"...), KindNames[kind]), version), '\n')
}

// AppendEntry appends a node; startedAt is in ms of the wall clock, 0 for long ago.
func AppendEntry(b []byte, id uint32, address string, availability int, startedAt, freeCores, freeMemory float64,
	zone, cell, kind string,
) []byte {
	b = line.AppendInt(append(b, "NODE"...), uint64(id))
	b = line.AppendText(b, address)
	b = line.AppendText(b, AvailabilityNames[availability])
	b = line.AppendNumber(b, startedAt)
	b = line.AppendNumber(line.AppendNumber(b, freeCores), freeMemory)
	b = line.AppendText(line.AppendText(line.AppendText(b, zone), cell), kind)
	return append(b, '\n')
}

// AppendEnd closes an answer.
func AppendEnd(b []byte) []byte { return append(b, "END\n"...) }

// AppendFailed tells that a call failed.
func AppendFailed(b []byte, why string) []byte {
	return append(line.AppendText(append(b, "FAILED"...), line.EscapeText(why)), '\n')
}

// DecodeScheduler hands a scheduler's line to the list.
func DecodeScheduler(fields [][]byte, to SchedulerHandler) error {
	f := line.NewFields(fields)
	switch keyword := string(fields[0]); keyword {
	case "WHOLE":
		if err := f.End(); err != nil {
			return fmt.Errorf("WHOLE: %w", err)
		}
		return to.OnFullRequest()
	case "WATCH":
		since := f.Uint("version", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("WATCH: %w", err)
		}
		return to.OnWatch(since)
	case "UNWATCH":
		return to.OnUnwatch()
	case "OUT":
		id, duration := uint32(f.Uint("node", 32)), f.Float("time")
		if err := f.End(); err != nil {
			return fmt.Errorf("OUT: %w", err)
		}
		return to.OnMaintenance(id, duration)
	case "BACK":
		id := uint32(f.Uint("node", 32))
		if err := f.End(); err != nil {
			return fmt.Errorf("BACK: %w", err)
		}
		return to.OnMaintenanceEnd(id)
	case "BYE":
		return to.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", keyword)
	}
}

// DecodeList hands the list's line to a scheduler.
func DecodeList(fields [][]byte, to ListHandler) error {
	f := line.NewFields(fields)
	switch keyword := string(fields[0]); keyword {
	case "LIST":
		kind, version := f.Keyword("kind", KindNames), f.Uint("version", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("LIST: %w", err)
		}
		return to.OnBegin(kind, version)
	case "NODE":
		id, address, avail := uint32(f.Uint("node", 32)), f.Text(), f.Keyword("availability", AvailabilityNames)
		started, cores, memory := f.Float("start"), f.Float("cores"), f.Float("memory")
		zone, cell, kind := f.Text(), f.Text(), f.Text()
		if err := f.End(); err != nil {
			return fmt.Errorf("NODE: %w", err)
		}
		return to.OnEntry(id, address, avail, started, cores, memory, zone, cell, kind)
	case "END":
		return to.OnEnd()
	case "FAILED":
		return to.OnFailed(f.Text())
	case "BYE":
		return to.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", keyword)
	}
}
