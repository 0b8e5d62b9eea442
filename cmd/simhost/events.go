package main

import (
	"fmt"

	"ravenpond/internal/wire"
	"ravenpond/logic"
)

const nanosecondsPerMillisecond = 1e6

// listKinds and availabilities map the protocol's numbers.
var (
	listKinds      = [...]logic.ListKind{logic.ListFull, logic.ListCached, logic.ListChanges, logic.ListFailed}
	availabilities = [...]logic.Availability{logic.Unavailable, logic.Ready, logic.Draining}
)

// dispatch decodes an event record and calls the handler. Messages of peers are ignored: this program sends none.
func (s *server) dispatch(handler logic.EventHandler, code byte, now float64, r []byte) error {
	switch code {
	case wire.Echo:
		handler.OnProbeResult(now, logic.ProbeResult{
			Node: wire.Uint32(r, 3), Outcome: logic.Outcome(wire.Uint16(r, 7)),
			Duration: milliseconds(r, 9), Report: s.loadReport(r, 17),
		})
	case wire.Lapsed:
		handler.OnExpired(now, wire.Uint32(r, 3))
	case wire.Confirmed:
		handler.OnStarted(now, wire.Uint32(r, 3), r[15], milliseconds(r, 7))
	case wire.Task:
		handler.OnRequest(now, request(r, milliseconds(r, 18)))
	case wire.Found:
		handler.OnRecovered(now, logic.Recovered{Request: request(r, 0), Node: wire.Uint32(r, 51)})
	case wire.Settled:
		return s.dispatchOutcome(handler, now, r)
	case wire.Signal:
		handler.OnTaskMetric(now, logic.TaskSample{
			Allocation: wire.Uint32(r, 3), Attempt: r[11], Node: wire.Uint32(r, 12),
			Metric: logic.TaskMetric(r[16]), Value: wire.Float32(r, 7),
		})
	case wire.Bell:
		handler.OnTimer(now, wire.Uint64(r, 3))
	case wire.Sync:
		return s.dispatchList(handler, now, r)
	}
	return nil
}

// request decodes the fields that Task and Found records share.
func request(r []byte, deadline float64) logic.Request {
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
		Allocation: wire.Uint32(r, 3), Node: wire.Uint32(r, 7), Attempt: r[11], Duration: milliseconds(r, 12),
		Answered: r[20] != 0, Reason: logic.Reason(wire.Uint32(r, 21)), Outcome: logic.Outcome(outcome), Report: s.loadReport(r, 27),
	})
	return nil
}

// dispatchList delivers a message of the node list from the entries stored before.
func (s *server) dispatchList(handler logic.EventHandler, now float64, r []byte) error {
	mode, number := r[3], wire.Uint32(r, 8)
	if int(mode) >= len(listKinds) {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	kind := listKinds[mode]
	handler.OnListBegin(now, kind)
	if kind != logic.ListFailed {
		if number >= maxLists {
			return fmt.Errorf("impossible list number %d", number)
		}
		for e := s.lists[number]; len(e) >= wire.EntrySize; e = e[wire.EntrySize:] {
			if int(e[16]) >= len(availabilities) {
				return fmt.Errorf("unknown availability %d", e[16])
			}
			handler.OnListNode(now, logic.ListEntry{
				Node: wire.Uint32(e, 17), Availability: availabilities[e[16]], StartedAt: milliseconds(e, 8),
				FreeCores: wire.Float32(e, 4), FreeMemory: wire.Float32(e, 0),
				Zone: int(e[27]), Cell: int(wire.Uint16(e, 25)), Kind: int(e[28]),
			})
		}
	}
	handler.OnListEnd(now)
	return nil
}

// milliseconds reads a time or duration at a place of a record.
func milliseconds(b []byte, at int) float64 {
	return float64(wire.Uint64(b, at)) / nanosecondsPerMillisecond
}

// loadReport reads the load report at a place of a record; the slice is valid until the next call.
func (s *server) loadReport(b []byte, at int) []float64 {
	n := min(int(b[at]), len(s.reportBuffer))
	for i := range n {
		s.reportBuffer[i] = wire.Float32(b, at+1+4*i)
	}
	return s.reportBuffer[:n]
}
