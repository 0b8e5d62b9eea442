package sim

import (
	"errors"
	"maps"
)

// Disk is a process's disk. It keeps what was written durably over every death of the process, and of the power.
type Disk struct {
	process     *Process
	files       map[string][]byte
	durable     map[string][]byte // what survives the power's end
	DelayedSync bool              // planted: what is written is on the disk a second later only
}

// NewDisk makes an empty disk.
func NewDisk(p *Process) *Disk {
	return &Disk{process: p, files: map[string][]byte{}, durable: map[string][]byte{}}
}

var errKilled = errors.New("killed while writing")

// Read gives a file.
func (d *Disk) Read(name string) ([]byte, error) { return d.files[name], nil }

// Write replaces a file as a whole. Where the process is killed in the midst of it, the file is the old or the new one.
func (d *Disk) Write(name string, text []byte) error {
	kept := append([]byte(nil), text...)
	if !d.process.effect() {
		if d.process.clock.rng.IntN(2) == 0 {
			d.files[name], d.durable[name] = kept, kept
		}
		return errKilled
	}
	d.files[name] = kept
	if !d.DelayedSync {
		d.durable[name] = kept
		return nil
	}
	d.process.clock.schedule(nil, d.process.clock.now+1000, func() { d.durable[name] = kept })
	return nil
}

// WriteUnsynced replaces a file that nothing rests on.
func (d *Disk) WriteUnsynced(name string, text []byte) error {
	d.files[name] = append([]byte(nil), text...)
	return nil
}

// Close lets it go.
func (d *Disk) Close() error { return nil }

// PowerLost forgets what was not on the disk.
func (d *Disk) PowerLost() { d.files = maps.Clone(d.durable) }
