package main

import (
	"fmt"

	"ravenpond/internal/wire"
	"ravenpond/logic"
)

// instance runs one scheduler. It implements logic.Effects and writes each effect as an action record.
type instance struct {
	scheduler  logic.EventHandler
	out        *wire.Writer
	number     uint16
	jobClasses int    // number of job classes
	lastBatch  uint64 // number of the last batch with an event of this instance
}

var _ logic.Effects = (*instance)(nil)

// callWithRecovery calls a function and reports a panic in it as a fault of the instance.
func (i *instance) callWithRecovery(call func()) {
	defer func() {
		if p := recover(); p != nil {
			i.out.Text(wire.Fault, i.number, fmt.Sprint("panic in a decision: ", p))
		}
	}()
	call()
}

// StartAttempt implements logic.Effects.
func (i *instance) StartAttempt(alloc, node uint32, timeout float64) {
	r := i.out.Action(wire.StartAttempt, i.number)
	wire.PutUint32(r, 3, alloc)
	wire.PutUint32(r, 7, node)
	wire.PutUint64(r, 11, nanoseconds(timeout))
}

// Shed implements logic.Effects.
func (i *instance) Shed(alloc uint32, retryAfter float64) {
	r := i.out.Action(wire.Shed, i.number)
	wire.PutUint32(r, 3, alloc)
	wire.PutUint64(r, 7, nanoseconds(retryAfter))
}

// Fail implements logic.Effects.
func (i *instance) Fail(alloc uint32) { i.writeID(wire.Fail, alloc) }

// Migrate implements logic.Effects.
func (i *instance) Migrate(alloc uint32) { i.writeID(wire.Migrate, alloc) }

// Probe implements logic.Effects.
func (i *instance) Probe(node uint32) { i.writeID(wire.Probe, node) }

// ReloadList implements logic.Effects.
func (i *instance) ReloadList() { i.out.Action(wire.ReloadList, i.number) }

// Cancel implements logic.Effects.
func (i *instance) Cancel(alloc uint32, attempt uint8) {
	r := i.out.Action(wire.Cancel, i.number)
	wire.PutUint32(r, 3, alloc)
	r[7] = attempt
}

// WatchList implements logic.Effects.
func (i *instance) WatchList(active bool) {
	r := i.out.Action(wire.WatchList, i.number)
	if active {
		r[3] = 1
	}
}

// SetTimer implements logic.Effects.
func (i *instance) SetTimer(delay float64, key uint64) {
	r := i.out.Action(wire.SetTimer, i.number)
	wire.PutUint64(r, 3, nanoseconds(delay))
	wire.PutUint64(r, 11, key)
}

// Log implements logic.Effects.
func (i *instance) Log(line string) { i.out.Text(wire.Log, i.number, line) }

// writeID writes an action whose only field is an ID.
func (i *instance) writeID(code byte, id uint32) { wire.PutUint32(i.out.Action(code, i.number), 3, id) }

func nanoseconds(milliseconds float64) uint64 {
	return uint64(max(0, milliseconds) * nanosecondsPerMillisecond)
}
