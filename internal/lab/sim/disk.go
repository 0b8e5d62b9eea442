package sim

import (
	"errors"
	"maps"
)

// syncDelay is when a disk with DelayedSync has written a file, ms.
const syncDelay = 1000

var errKilled = errors.New("killed while writing")

// Disk is the state folder of a process. It keeps what was written when the process ends, and when the machine loses power.
type Disk struct {
	// DelayedSync is a program fault: a write returns a second before the file would survive a power loss.
	DelayedSync bool

	process *Process
	files   map[string][]byte
	durable map[string][]byte // what survives a power loss
}

// NewDisk returns an empty disk.
func NewDisk(p *Process) *Disk {
	return &Disk{process: p, files: map[string][]byte{}, durable: map[string][]byte{}}
}

// Read returns a file, nil if there is none.
func (d *Disk) Read(name string) ([]byte, error) { return d.files[name], nil }

// Write replaces a file. If the process is killed within the call, the file is either the old or the new one.
func (d *Disk) Write(name string, content []byte) error {
	kept := append([]byte(nil), content...)
	clock := d.process.clock
	if !d.process.effect() {
		if clock.rng.IntN(2) == 0 {
			d.files[name], d.durable[name] = kept, kept
		}
		return errKilled
	}
	d.files[name] = kept
	if !d.DelayedSync {
		d.durable[name] = kept
		return nil
	}
	clock.schedule(nil, clock.now+syncDelay, func() { d.durable[name] = kept })
	return nil
}

// WriteUnsynced replaces a file that need not survive a power loss.
func (d *Disk) WriteUnsynced(name string, content []byte) error {
	d.files[name] = append([]byte(nil), content...)
	return nil
}

// Close does nothing.
func (d *Disk) Close() error { return nil }

// PowerLost drops what would not survive a power loss.
func (d *Disk) PowerLost() { d.files = maps.Clone(d.durable) }
