package list

import (
	"fmt"

	"ravenpond/internal/proto/line"
)

// DecodeScheduler decodes a line that a scheduler sent and calls the handler's method for the message.
func DecodeScheduler(fields [][]byte, handler SchedulerHandler) error {
	f := line.NewFields(fields)
	switch keyword := string(fields[0]); keyword {
	case "WHOLE":
		if err := f.End(); err != nil {
			return fmt.Errorf("WHOLE: %w", err)
		}
		return handler.OnFullRequest()
	case "WATCH":
		since := f.Uint("version", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("WATCH: %w", err)
		}
		return handler.OnWatch(since)
	case "UNWATCH":
		return handler.OnUnwatch()
	case "OUT":
		id, duration := uint32(f.Uint("node", 32)), f.Float("time")
		if err := f.End(); err != nil {
			return fmt.Errorf("OUT: %w", err)
		}
		return handler.OnMaintenance(id, duration)
	case "BACK":
		id := uint32(f.Uint("node", 32))
		if err := f.End(); err != nil {
			return fmt.Errorf("BACK: %w", err)
		}
		return handler.OnMaintenanceEnd(id)
	case "BYE":
		return handler.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", keyword)
	}
}

// DecodeList decodes a line that the list server sent and calls the handler's method for the message.
func DecodeList(fields [][]byte, handler Handler) error {
	f := line.NewFields(fields)
	switch keyword := string(fields[0]); keyword {
	case "LIST":
		kind, version := f.Keyword("kind", KindNames), f.Uint("version", 64)
		if err := f.End(); err != nil {
			return fmt.Errorf("LIST: %w", err)
		}
		return handler.OnBegin(kind, version)
	case "NODE":
		entry := readEntry(&f)
		if err := f.End(); err != nil {
			return fmt.Errorf("NODE: %w", err)
		}
		return handler.OnEntry(entry)
	case "END":
		return handler.OnEnd()
	case "FAILED":
		return handler.OnFailed(f.Text())
	case "BYE":
		return handler.OnBye(f.Text())
	default:
		return fmt.Errorf("unknown word %.20q", keyword)
	}
}

func readEntry(f *line.Fields) Entry {
	return Entry{
		ID:           uint32(f.Uint("node", 32)),
		Address:      f.Text(),
		Availability: f.Keyword("availability", AvailabilityNames),
		StartedAt:    f.Float("start"),
		FreeCores:    f.Float("cores"),
		FreeMemory:   f.Float("memory"),
		Zone:         f.Text(),
		Cell:         f.Text(),
		Kind:         f.Text(),
	}
}
