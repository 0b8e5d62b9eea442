package sim

import (
	"errors"
	"maps"
)

// syncDelay is the time in ms after which a disk with DelayedSync has written a file durably.
const syncDelay = 1000

var errKilled = errors.New("process killed during a write")

// Disk is the state folder of a process. Its files survive the end of the process, and those that were synced survive a power loss.
type Disk struct {
	// DelayedSync is a program fault: a write returns one second before the file would survive a power loss.
	DelayedSync bool

	process *Process
	files   map[string][]byte
	durable map[string][]byte // files that survive a power loss
}

// NewDisk returns an empty disk.
func NewDisk(p *Process) *Disk {
	return &Disk{process: p, files: map[string][]byte{}, durable: map[string][]byte{}}
}

// Read returns a file's content, or nil if the file does not exist.
func (d *Disk) Read(name string) ([]byte, error) { return d.files[name], nil }

// Write replaces a file. If the process is killed during the call, the file has either the old or the new content.
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

// PowerLost discards all writes that do not survive a power loss.
func (d *Disk) PowerLost() { d.files = maps.Clone(d.durable) }
