package sim

import (
	"errors"
	"maps"
)

// Disk is a process's disk. It keeps what was written durably over every death of the process, and of the power.
type Disk struct {
	p     *Process
	files map[string][]byte
	safe  map[string][]byte // what survives the power's end
	Lazy  bool              // planted: what is written is on the disk a second later only
}

// NewDisk makes an empty disk.
func NewDisk(p *Process) *Disk {
	return &Disk{p: p, files: map[string][]byte{}, safe: map[string][]byte{}}
}

var errKilled = errors.New("killed while writing")

// Read gives a file.
func (d *Disk) Read(name string) ([]byte, error) { return d.files[name], nil }

// Write replaces a file as a whole. Where the process is killed in the midst of it, the file is the old or the new one.
func (d *Disk) Write(name string, text []byte) error {
	kept := append([]byte(nil), text...)
	if !d.p.effect() {
		if d.p.c.rng.IntN(2) == 0 {
			d.files[name], d.safe[name] = kept, kept
		}
		return errKilled
	}
	d.files[name] = kept
	if !d.Lazy {
		d.safe[name] = kept
		return nil
	}
	d.p.c.at(nil, d.p.c.now+1000, func() { d.safe[name] = kept })
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
func (d *Disk) PowerLost() { d.files = maps.Clone(d.safe) }
