package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"ravenpond/internal/settings"
	"ravenpond/internal/wire"
	"ravenpond/logic"
)

const (
	maxLists        = 16 // number of node lists that batches may refer to
	maxReportFields = 4
)

// server holds the instances and the node lists. It must be used by one goroutine only.
type server struct {
	in           *wire.Reader
	out          *wire.Writer
	instances    []*instance      // by number; nil if the instance does not run
	lists        [maxLists][]byte // entries of the node lists, by number
	batchNumber  uint64           // number of the current batch
	active       []*instance      // instances with an event in this batch, in the order of their first events
	reportBuffer [maxReportFields]float64
}

// serve answers the batches one by one until the input ends.
func serve(in io.Reader, out *bufio.Writer) error {
	s := &server{in: wire.NewReader(in), out: wire.NewWriter(out)}
	for {
		clock, records, err := s.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.handleBatch(float64(clock)/nanosecondsPerMillisecond, records); err != nil {
			return err
		}
		if err := s.out.Flush(); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch delivers all events of a batch, then calls Decide of each instance that had an event.
func (s *server) handleBatch(now float64, records int) error {
	s.batchNumber++
	s.active = s.active[:0]
	for i := range records {
		if err := s.handleRecord(now, s.in.Record(i)); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, inst := range s.active {
		if s.instances[inst.number] == inst {
			inst.callWithRecovery(func() { inst.scheduler.Decide(now) })
		}
	}
	return nil
}

// handleRecord handles an event for the server itself or passes it to its instance. Events for instances that do not run are ignored.
func (s *server) handleRecord(now float64, record []byte) error {
	code := record[0]
	if code == wire.ListEntries {
		return s.storeList(record)
	}
	number := wire.Uint16(record, 1)
	if code == wire.InstanceCreated {
		return s.create(now, number, record)
	}
	if code > wire.TimerFired {
		return fmt.Errorf("unknown event code %d", code)
	}
	if int(number) >= len(s.instances) || s.instances[number] == nil {
		return nil
	}
	inst := s.instances[number]
	if code == wire.InstanceKilled {
		s.instances[number] = nil
		return nil
	}
	if inst.lastBatch != s.batchNumber {
		inst.lastBatch = s.batchNumber
		s.active = append(s.active, inst)
	}
	if (code == wire.TaskRequested || code == wire.TaskRecovered) && int(record[7]) >= inst.jobClasses {
		return fmt.Errorf("unknown job class %d", record[7])
	}
	var err error
	inst.callWithRecovery(func() { err = s.dispatch(inst.scheduler, code, now, record) })
	return err
}

// storeList stores the entries of a node list, to which later events refer.
func (s *server) storeList(record []byte) error {
	number := wire.Uint32(record, 1)
	if number >= maxLists {
		return fmt.Errorf("list number %d out of range", number)
	}
	entries, err := s.in.Tail(record, 5, wire.EntrySize)
	if err != nil {
		return err
	}
	s.lists[number] = append(s.lists[number][:0], entries...)
	return nil
}

// create starts an instance from the settings in the record's tail.
func (s *server) create(now float64, number uint16, record []byte) error {
	text, err := s.in.Tail(record, 11, 1)
	if err != nil {
		return err
	}
	deployment, err := settings.Read(text)
	if err != nil {
		return err
	}
	cluster := deployment.Cluster
	for int(number) >= len(s.instances) {
		s.instances = append(s.instances, nil)
	}
	inst := &instance{out: s.out, number: number, jobClasses: len(cluster.JobClasses), lastBatch: s.batchNumber}
	inst.callWithRecovery(func() { inst.scheduler = logic.New(inst, now, wire.Uint64(record, 3), cluster) })
	s.instances[number] = inst
	s.active = append(s.active, inst)
	return nil
}
