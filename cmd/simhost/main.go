// Simhost plays many schedulers on the bench's wire: each instance is one decision module, and nothing is
// shared between them.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ravenpond/internal/settings"
	"ravenpond/internal/wire"
	"ravenpond/logic"
)

func main() {
	out := bufio.NewWriterSize(os.Stdout, 1<<16)
	if err := serve(os.Stdin, out); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance hosts one scheduler and writes what it decides as actions.
type instance struct {
	scheduler  logic.EventHandler
	out        *wire.Writer
	number     uint16
	jobClasses int    // number of job types
	round      uint64 // the last batch with an event of this instance
}

const nsPerMs = 1e6

type server struct {
	in           *wire.Reader
	out          *wire.Writer
	instances    []*instance // by number; nil where none lives
	lists        [16][]byte
	round        uint64
	active       []*instance // instances with an event in this batch, in order of the first
	reportBuffer [4]float64
}

// serve answers batch after batch until the input ends.
func serve(in io.Reader, out *bufio.Writer) error {
	h := &server{in: wire.NewReader(in), out: wire.NewWriter(out)}
	for {
		clock, records, err := h.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.round++
		h.active = h.active[:0]
		now := float64(clock) / nsPerMs
		for i := range records {
			if err := h.handleRecord(now, h.in.Record(i)); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		for _, inst := range h.active {
			if h.instances[inst.number] == inst {
				inst.recoverPanic(func() { inst.scheduler.Decide(now) })
			}
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// handleRecord hands one record to the instance it is for.
func (h *server) handleRecord(now float64, rec []byte) error {
	code := rec[0]
	if code == wire.Table {
		page := wire.Uint32(rec, 1)
		if page >= uint32(len(h.lists)) {
			return fmt.Errorf("impossible list number %d", page)
		}
		entries, err := h.in.Tail(rec, 5, wire.EntrySize)
		if err != nil {
			return err
		}
		h.lists[page] = append(h.lists[page][:0], entries...)
		return nil
	}
	who := wire.Uint16(rec, 1)
	if code == wire.Create {
		return h.create(now, who, rec)
	}
	if code > wire.Bell {
		return fmt.Errorf("unknown event code %d", code)
	}
	if int(who) >= len(h.instances) || h.instances[who] == nil {
		return nil // news for an instance that is no more
	}
	inst := h.instances[who]
	if code == wire.Down {
		h.instances[who] = nil
		return nil
	}
	if inst.round != h.round {
		inst.round = h.round
		h.active = append(h.active, inst)
	}
	if (code == wire.Task || code == wire.Found) && int(rec[7]) >= inst.jobClasses {
		return fmt.Errorf("unknown job type %d", rec[7])
	}
	var err error
	inst.recoverPanic(func() { err = h.dispatch(inst.scheduler, code, now, rec) })
	return err
}

func (h *server) create(now float64, who uint16, rec []byte) error {
	text, err := h.in.Tail(rec, 11, 1)
	if err != nil {
		return err
	}
	known, err := settings.Read(text)
	if err != nil {
		return err
	}
	cl := known.Cluster
	for int(who) >= len(h.instances) {
		h.instances = append(h.instances, nil)
	}
	inst := &instance{out: h.out, number: who, jobClasses: len(cl.JobClasses), round: h.round}
	inst.recoverPanic(func() { inst.scheduler = logic.New(inst, now, wire.Uint64(rec, 3), cl) })
	h.instances[who] = inst
	h.active = append(h.active, inst)
	return nil
}

// dispatch turns one event into a call.
func (h *server) dispatch(s logic.EventHandler, code byte, now float64, r []byte) error {
	switch code {
	case wire.Echo:
		s.OnProbeResult(now, logic.ProbeResult{
			Node: wire.Uint32(r, 3), Outcome: logic.Outcome(wire.Uint16(r, 7)),
			Duration: milliseconds(r, 9), Report: h.loadReport(r, 17),
		})
	case wire.Lapsed:
		s.OnExpired(now, wire.Uint32(r, 3))
	case wire.Confirmed:
		s.OnStarted(now, wire.Uint32(r, 3), r[15], milliseconds(r, 7))
	case wire.Task:
		s.OnRequest(now, logic.Request{
			Allocation: wire.Uint32(r, 3), Class: int(r[7]), Tenant: int(wire.Uint16(r, 8)),
			Deadline: milliseconds(r, 18), Service: wire.Uint64(r, 34), Cores: wire.Float32(r, 42), Memory: wire.Float32(r, 46),
		})

	case wire.Found:
		s.OnRecovered(now, logic.Recovered{Request: logic.Request{
			Allocation: wire.Uint32(r, 3), Class: int(r[7]),
			Tenant: int(wire.Uint16(r, 8)), Service: wire.Uint64(r, 34), Cores: wire.Float32(r, 42),
			Memory: wire.Float32(r, 46),
		}, Node: wire.Uint32(r, 51)})

	case wire.Settled:
		verdict := wire.Uint16(r, 25)
		if verdict > uint16(logic.NotSent) {
			return fmt.Errorf("unknown outcome %d", verdict)
		}
		s.OnOutcome(now, logic.AttemptResult{
			Allocation: wire.Uint32(r, 3), Node: wire.Uint32(r, 7), Attempt: r[11],
			Duration: milliseconds(r, 12), Answered: r[20] != 0, Reason: logic.Reason(wire.Uint32(r, 21)),
			Outcome: logic.Outcome(verdict), Report: h.loadReport(r, 27),
		})

	case wire.Signal:
		s.OnTaskMetric(now, logic.TaskSample{
			Allocation: wire.Uint32(r, 3), Attempt: r[11], Node: wire.Uint32(r, 12),
			Metric: logic.TaskMetric(r[16]), Value: wire.Float32(r, 7),
		})
	case wire.Bell:
		s.OnTimer(now, wire.Uint64(r, 3))
	case wire.Sync:
		return h.dispatchList(s, now, r[3], wire.Uint32(r, 8))
	}
	return nil // a peer's message: this service has none
}

// listKinds and availabilities give the module's word for each of the wire's numbers.
var (
	listKinds      = [...]logic.ListKind{logic.ListFull, logic.ListCached, logic.ListChanges, logic.ListFailed}
	availabilities = [...]logic.Availability{logic.Unavailable, logic.Ready, logic.Draining}
)

func (h *server) dispatchList(s logic.EventHandler, now float64, mode byte, page uint32) error {
	if int(mode) >= len(listKinds) {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	kind := listKinds[mode]
	s.OnListBegin(now, kind)
	if kind != logic.ListFailed {
		if page >= uint32(len(h.lists)) {
			return fmt.Errorf("impossible list number %d", page)
		}
		for e := h.lists[page]; len(e) >= wire.EntrySize; e = e[wire.EntrySize:] {
			if int(e[16]) >= len(availabilities) {
				return fmt.Errorf("unknown availability %d", e[16])
			}
			s.OnListNode(now, logic.ListEntry{
				Node: wire.Uint32(e, 17), Availability: availabilities[e[16]],
				StartedAt: milliseconds(e, 8), FreeCores: wire.Float32(e, 4), FreeMemory: wire.Float32(e, 0),
				Zone: int(e[27]), Cell: int(wire.Uint16(e, 25)), Kind: int(e[28]),
			})

		}
	}
	s.OnListEnd(now)
	return nil
}

func milliseconds(b []byte, at int) float64 { return float64(wire.Uint64(b, at)) / nsPerMs }

// loadReport reads the load report at the given place; the slice holds until the next call.
func (h *server) loadReport(b []byte, at int) []float64 {
	n := min(int(b[at]), len(h.reportBuffer))
	for i := range n {
		h.reportBuffer[i] = wire.Float32(b, at+1+4*i)
	}
	return h.reportBuffer[:n]
}

// recoverPanic reports a panic in a decision as the wire asks.
func (i *instance) recoverPanic(call func()) {
	defer func() {
		if p := recover(); p != nil {
			i.out.Text(wire.Fault, i.number, fmt.Sprint("panic in a decision: ", p))
		}
	}()
	call()
}

func (i *instance) StartAttempt(alloc, node uint32, timeout float64) {
	r := i.out.Action(wire.Bind, i.number)
	wire.PutUint32(r, 3, alloc)
	wire.PutUint32(r, 7, node)
	wire.PutUint64(r, 11, nanoseconds(timeout))
}

func (i *instance) Shed(alloc uint32, holdOff float64) {
	r := i.out.Action(wire.Refuse, i.number)
	wire.PutUint32(r, 3, alloc)
	wire.PutUint64(r, 7, nanoseconds(holdOff))
}

func (i *instance) Fail(alloc uint32)    { i.writeID(wire.Lose, alloc) }
func (i *instance) Migrate(alloc uint32) { i.writeID(wire.Shift, alloc) }
func (i *instance) Probe(node uint32)    { i.writeID(wire.Test, node) }
func (i *instance) ReloadList()          { i.out.Action(wire.Reload, i.number) }

// writeID writes an action whose one field is an id.
func (i *instance) writeID(code byte, id uint32) { wire.PutUint32(i.out.Action(code, i.number), 3, id) }

func (i *instance) Cancel(alloc uint32, try uint8) {
	r := i.out.Action(wire.Recall, i.number)
	wire.PutUint32(r, 3, alloc)
	r[7] = try
}

func (i *instance) WatchList(active bool) {
	r := i.out.Action(wire.Follow, i.number)
	if active {
		r[3] = 1
	}
}

func (i *instance) SetTimer(delay float64, key uint64) {
	r := i.out.Action(wire.Defer, i.number)
	wire.PutUint64(r, 3, nanoseconds(delay))
	wire.PutUint64(r, 11, key)
}

func (i *instance) Log(line string) { i.out.Text(wire.Log, i.number, line) }

func nanoseconds(ms float64) uint64 { return uint64(max(0, ms) * nsPerMs) }
