// Package state keeps what outlives a scheduler process: the last node list and the number of its life, in a
// folder that one process at a time may hold.
package state

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// Format is the version of the files; one written by a later version is refused.
const Format = 1

// Errors of reading a file back.
var (
	ErrDamaged = errors.New("file is damaged")
	ErrNewer   = errors.New("file was written by a later version")
	ErrLocked  = errors.New("folder is held by another process")
)

// Disk keeps files by name.
type Disk interface {
	// Read gives a file, nil if there is none.
	Read(name string) ([]byte, error)
	// Write replaces a file as a whole: after a crash at any moment it is the old or the new one, and once Write has
	// returned the new one.
	Write(name string, text []byte) error
	// WriteUnsynced replaces a file that people read and nothing rests on: who reads it finds the old or the new one, whole, but it need not
	// outlive the machine, so nobody waits for the disk.
	WriteUnsynced(name string, text []byte) error
	Close() error
}

// Folder is a scheduler's folder.
type Folder struct{ disk Disk }

// NewFolder keeps a folder on a disk.
func NewFolder(disk Disk) *Folder { return &Folder{disk} }

// Open makes the folder if need be and holds it until Close or the end of the process.
func Open(path string) (*Folder, error) {
	disk, err := lockDirectory(path)
	if err != nil {
		return nil, err
	}
	return NewFolder(disk), nil
}

// WriteUnsynced replaces a file that people read and nothing rests on.
func (f *Folder) WriteUnsynced(name string, text []byte) error {
	return f.disk.WriteUnsynced(name, text)
}

// Close lets the folder go.
func (f *Folder) Close() error { return f.disk.Close() }

// directory is the disk of the machine.
type directory struct {
	path string
	lock *os.File
}

func lockDirectory(path string) (*directory, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("state folder %s: %w", path, ErrLocked)
	}
	return &directory{path, lock}, nil
}

func (f *directory) Close() error { return f.lock.Close() }

func (f *directory) Read(name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(f.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

func (f *directory) WriteUnsynced(name string, text []byte) error {
	path := filepath.Join(f.path, name)
	if err := os.WriteFile(path+".new", text, 0o640); err != nil {
		return fmt.Errorf("showing %s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("showing %s: %w", path, err)
	}
	return nil
}

func (f *directory) Write(name string, text []byte) error {
	path := filepath.Join(f.path, name)
	if err := renameio.WriteFile(path, text, 0o640); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	dir, err := os.Open(f.path) // the new name itself must be on the disk too
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// write replaces a file. The head holds the version, a checksum and the length of the body.
func (f *Folder) write(name string, body []byte) error {
	head := fmt.Sprintf("RAVENPOND-%s %d %016x %d\n", strings.ToUpper(name), Format, xxhash.Sum64(body), len(body))
	return f.disk.Write(name, append([]byte(head), body...))
}

// read returns a file's body, nil if there is none.
func (f *Folder) read(name string) ([]byte, error) {
	path := name
	text, err := f.disk.Read(name)
	if err != nil || text == nil {
		return nil, err
	}
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var version, length int
	var sum uint64
	if _, err := fmt.Sscanf(string(head), "RAVENPOND-"+strings.ToUpper(name)+" %d", &version); !ok || err != nil {
		return nil, fmt.Errorf("%s: no head: %w", path, ErrDamaged)
	}
	if version > Format {
		return nil, fmt.Errorf("%s: format %d, this program reads up to %d: %w", path, version, Format, ErrNewer)
	}
	_, err = fmt.Sscanf(string(head), "RAVENPOND-"+strings.ToUpper(name)+" %d %x %d", &version, &sum, &length)
	if err != nil || length != len(body) || sum != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%s: %w", path, ErrDamaged)
	}
	return body, nil
}

// NextIncarnation raises the number of this scheduler's life and returns it, on the disk before it is used: tickets of
// two lives must never be the same.
func (f *Folder) NextIncarnation() (uint32, error) {
	body, err := f.read("life")
	if err != nil {
		return 0, err
	}
	incarnation := uint64(0)
	if body != nil {
		if incarnation, err = strconv.ParseUint(strings.TrimSpace(string(body)), 10, 32); err != nil {
			return 0, fmt.Errorf("life: %w", ErrDamaged)
		}
	}
	incarnation++
	if incarnation >= 1<<32 {
		return 0, errors.New("life: numbers are used up")
	}
	return uint32(incarnation), f.write("life", strconv.AppendUint(nil, incarnation, 10))
}

// Entry is a node as the list last told it.
type Entry struct {
	ID                               uint32
	Address                          string
	Avail                            int
	StartedAt, FreeCores, FreeMemory float64
	Zone, Cell, Kind                 string
}

// NodeList is the node list as a scheduler holds it. Changes apply only to the version that they follow.
type NodeList struct {
	Version uint64
	entries map[uint32]Entry
	dirty   bool
	present map[uint32]bool

	revision uint64  // counts changes of entries
	sorted   []Entry // by id, nil after a change
}

// NewNodeList makes an empty list.
func NewNodeList() *NodeList { return &NodeList{entries: map[uint32]Entry{}} }

// Begin opens an answer. News older than what is held is refused: it would bring back nodes that are gone.
func (l *NodeList) Begin(kind int, version uint64) error {
	if version < l.Version {
		return fmt.Errorf("list version %d after %d", version, l.Version)
	}
	l.Version, l.present = version, nil
	if kind == list.KindFull {
		l.present = map[uint32]bool{}
	}
	return nil
}

// Put takes one entry. One without a change makes nothing to save.
func (l *NodeList) Put(entry Entry) {
	if l.present != nil {
		l.present[entry.ID] = true
	}
	if old, ok := l.entries[entry.ID]; ok && old == entry {
		return
	}
	l.markChanged()
	if entry.Avail == 0 {
		delete(l.entries, entry.ID)
		return
	}
	l.entries[entry.ID] = entry
}

// End closes an answer: what a whole list does not name is gone.
func (l *NodeList) End() {
	if l.present != nil {
		for id := range l.entries {
			if !l.present[id] {
				delete(l.entries, id)
				l.markChanged()
			}
		}
	}
	l.present = nil
}

// Len is how many nodes are on the list.
func (l *NodeList) Len() int { return len(l.entries) }

// Entry returns the entry of a node, if it is on the list.
func (l *NodeList) Entry(id uint32) (Entry, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

func (l *NodeList) markChanged() {
	l.dirty = true
	l.revision++
	l.sorted = nil
}

// Revision differs from an earlier one if an entry has changed since.
func (l *NodeList) Revision() uint64 { return l.revision }

// Entries returns all entries by id. The slice is shared by all calls until the next change and must not be modified.
func (l *NodeList) Entries() []Entry {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.entries), func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
	}
	return l.sorted
}

// TakeChanged tells whether there is something to save, once.
func (l *NodeList) TakeChanged() bool {
	changed := l.dirty
	l.dirty = false
	return changed
}

// Encode is the list as the file holds it.
func (l *NodeList) Encode() []byte {
	b := list.AppendBegin(nil, list.KindFull, l.Version)
	for _, entry := range l.Entries() {
		b = list.AppendEntry(b, entry.ID, entry.Address, entry.Avail, entry.StartedAt, entry.FreeCores, entry.FreeMemory,
			entry.Zone, entry.Cell, entry.Kind)
	}
	return list.AppendEnd(b)
}

// SaveList keeps a list's text for the next start.
func (f *Folder) SaveList(text []byte) error { return f.write("nodes", text) }

// ReadList reads the last list of a folder that another process may hold, nil if there never was one.
func ReadList(folder string) (*NodeList, error) {
	return NewFolder(&directory{path: folder}).LoadList()
}

// LoadList reads the last list, nil if there never was one.
func (f *Folder) LoadList() (*NodeList, error) {
	body, err := f.read("nodes")
	if err != nil || body == nil {
		return nil, err
	}
	l := NewNodeList()
	in := line.NewReader(bufio.NewReader(bytes.NewReader(body)))
	for l.present != nil || l.Version == 0 && len(l.entries) == 0 {
		fields, err := in.Next()
		if err == nil {
			err = list.DecodeList(fields, listDecoder{l})
		}
		if err != nil {
			return nil, fmt.Errorf("nodes: %w: %w", ErrDamaged, err)
		}
	}
	l.dirty = false
	return l, nil
}

// listDecoder reads a list back.
type listDecoder struct{ list *NodeList }

func (r listDecoder) OnBegin(kind int, version uint64) error { return r.list.Begin(kind, version) }
func (r listDecoder) OnEnd() error                           { r.list.End(); return nil }
func (r listDecoder) OnFailed(string) error                  { return errors.New("a failure in a saved list") }

func (r listDecoder) OnBye(string) error { return errors.New("a farewell in a saved list") }

func (r listDecoder) OnEntry(id uint32, address string, avail int, startedAt, cores, memory float64,
	zone, cell, kind string,
) error {
	r.list.Put(Entry{id, address, avail, startedAt, cores, memory, zone, cell, kind})
	return nil
}
