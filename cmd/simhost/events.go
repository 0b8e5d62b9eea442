package main

import (
	"fmt"

	"ravenpond/internal/wire"
	"ravenpond/logic"
)

const nanosecondsPerMillisecond = 1e6

// listKinds and availabilities are indexed by the numbers that the protocol uses.
var (
	listKinds      = [...]logic.ListKind{logic.ListFull, logic.ListCached, logic.ListChanges, logic.ListFailed}
	availabilities = [...]logic.Availability{logic.Unavailable, logic.Ready, logic.Draining}
)

// dispatch decodes an event record and calls the handler. Messages of peers are ignored, as this program sends none.
func (s *server) dispatch(handler logic.EventHandler, code byte, now float64, r []byte) error {
	switch code {
	case wire.ProbeResult:
		handler.OnProbeResult(now, logic.ProbeResult{
			Node: wire.Uint32(r, 3), Outcome: logic.Outcome(wire.Uint16(r, 7)),
			Duration: readMilliseconds(r, 9), Report: s.readLoadReport(r, 17),
		})
	case wire.RequestExpired:
		handler.OnExpired(now, wire.Uint32(r, 3))
	case wire.TaskStarted:
		handler.OnStarted(now, wire.Uint32(r, 3), r[15], readMilliseconds(r, 7))
	case wire.TaskRequested:
		handler.OnRequest(now, decodeRequest(r, readMilliseconds(r, 18)))
	case wire.TaskRecovered:
		handler.OnRecovered(now, logic.Recovered{Request: decodeRequest(r, 0), Node: wire.Uint32(r, 51)})
	case wire.AttemptOutcome:
		return s.dispatchOutcome(handler, now, r)
	case wire.TaskMetric:
		handler.OnTaskMetric(now, logic.TaskSample{
			Allocation: wire.Uint32(r, 3), Attempt: r[11], Node: wire.Uint32(r, 12),
			Metric: logic.TaskMetric(r[16]), Value: wire.Float32(r, 7),
		})
	case wire.TimerFired:
		handler.OnTimer(now, wire.Uint64(r, 3))
	case wire.ListUpdate:
		return s.dispatchList(handler, now, r)
	}
	return nil
}

// decodeRequest decodes the fields that TaskRequested and TaskRecovered records share.
func decodeRequest(r []byte, deadline float64) logic.Request {
	return logic.Request{
		Allocation: wire.Uint32(r, 3), Class: int(r[7]), Tenant: int(wire.Uint16(r, 8)), Deadline: deadline,
		Service: wire.Uint64(r, 34), Cores: wire.Float32(r, 42), Memory: wire.Float32(r, 46),
	}
}

func (s *server) dispatchOutcome(handler logic.EventHandler, now float64, r []byte) error {
	outcome := wire.Uint16(r, 25)
	if outcome > uint16(logic.NotSent) {
		return fmt.Errorf("unknown outcome %d", outcome)
	}
	handler.OnOutcome(now, logic.AttemptResult{
		Allocation: wire.Uint32(r, 3), Node: wire.Uint32(r, 7), Attempt: r[11], Duration: readMilliseconds(r, 12),
		Answered: r[20] != 0, Reason: logic.Reason(wire.Uint32(r, 21)), Outcome: logic.Outcome(outcome), Report: s.readLoadReport(r, 27),
	})
	return nil
}

// dispatchList delivers a message of the node list, whose entries storeList has stored.
func (s *server) dispatchList(handler logic.EventHandler, now float64, r []byte) error {
	mode, number := r[3], wire.Uint32(r, 8)
	if int(mode) >= len(listKinds) {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	kind := listKinds[mode]
	handler.OnListBegin(now, kind)
	if kind != logic.ListFailed {
		if number >= maxLists {
			return fmt.Errorf("list number %d out of range", number)
		}
		for entries := s.lists[number]; len(entries) >= wire.EntrySize; entries = entries[wire.EntrySize:] {
			if int(entries[16]) >= len(availabilities) {
				return fmt.Errorf("unknown availability %d", entries[16])
			}
			handler.OnListNode(now, logic.ListEntry{
				Node: wire.Uint32(entries, 17), Availability: availabilities[entries[16]], StartedAt: readMilliseconds(entries, 8),
				FreeCores: wire.Float32(entries, 4), FreeMemory: wire.Float32(entries, 0),
				Zone: int(entries[27]), Cell: int(wire.Uint16(entries, 25)), Kind: int(entries[28]),
			})
		}
	}
	handler.OnListEnd(now)
	return nil
}

// readMilliseconds returns the time or duration at an offset of a record.
func readMilliseconds(b []byte, offset int) float64 {
	return float64(wire.Uint64(b, offset)) / nanosecondsPerMillisecond
}

// readLoadReport returns the load report at an offset of a record. The slice is valid until the next call.
func (s *server) readLoadReport(b []byte, offset int) []float64 {
	n := min(int(b[offset]), len(s.reportBuffer))
	for i := range n {
		s.reportBuffer[i] = wire.Float32(b, offset+1+4*i)
	}
	return s.reportBuffer[:n]
}
