package state

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// Entry describes one node of the node list.
type Entry struct {
	ID                               uint32
	Address                          string
	Availability                     int // index into list.AvailabilityNames; 0 removes the node from the list
	StartedAt, FreeCores, FreeMemory float64
	Zone, Cell, Kind                 string
}

// NodeList is a scheduler's copy of the node list. An answer of the list server is applied by Begin, one Put for each of its entries, and
// End.
type NodeList struct {
	Version uint64
	entries map[uint32]Entry
	dirty   bool            // whether the list has changed since the last call of TakeChanged
	present map[uint32]bool // IDs that the current full answer has named so far, nil outside of full answers

	revision uint64  // number of changes of entries
	sorted   []Entry // cache of Entries, nil after a change
}

// NewNodeList returns an empty list.
func NewNodeList() *NodeList { return &NodeList{entries: map[uint32]Entry{}} }

// Begin starts an answer of the given kind, one of the kinds of package list. An answer that is older than the list is rejected, as it would
// restore nodes that were removed since.
func (l *NodeList) Begin(kind int, version uint64) error {
	if version < l.Version {
		return fmt.Errorf("response has list version %d, older than the current version %d", version, l.Version)
	}
	l.Version, l.present = version, nil
	if kind == list.KindFull {
		l.present = map[uint32]bool{}
	}
	return nil
}

// Put applies one entry of an answer.
func (l *NodeList) Put(entry Entry) {
	if l.present != nil {
		l.present[entry.ID] = true
	}
	if old, ok := l.entries[entry.ID]; ok && old == entry {
		return
	}
	l.markChanged()
	if entry.Availability == 0 {
		delete(l.entries, entry.ID)
		return
	}
	l.entries[entry.ID] = entry
}

// End ends an answer. After a full answer, the nodes that it did not name are removed.
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

// markChanged records a change of the entries.
func (l *NodeList) markChanged() {
	l.dirty = true
	l.revision++
	l.sorted = nil
}

// Len returns the number of nodes.
func (l *NodeList) Len() int { return len(l.entries) }

// Entry returns the entry of a node, and false if the node is not in the list.
func (l *NodeList) Entry(id uint32) (Entry, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

// Revision returns a number that increases with each change of an entry.
func (l *NodeList) Revision() uint64 { return l.revision }

// Entries returns all entries, sorted by ID. Calls share the slice until the next change, so callers must not modify it.
func (l *NodeList) Entries() []Entry {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.entries), func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
	}
	return l.sorted
}

// TakeChanged reports whether the list has changed since the last call.
func (l *NodeList) TakeChanged() bool {
	changed := l.dirty
	l.dirty = false
	return changed
}

// Encode encodes the list for SaveList, as a full answer of the list server.
func (l *NodeList) Encode() []byte {
	b := list.AppendBegin(nil, list.KindFull, l.Version)
	for _, entry := range l.Entries() {
		b = list.AppendEntry(b, list.Entry{
			ID: entry.ID, Address: entry.Address, Availability: entry.Availability, StartedAt: entry.StartedAt,
			FreeCores: entry.FreeCores, FreeMemory: entry.FreeMemory, Zone: entry.Zone, Cell: entry.Cell, Kind: entry.Kind,
		})
	}
	return list.AppendEnd(b)
}

// SaveList stores an encoded list, which LoadList reads after a restart of the process.
func (f *Folder) SaveList(encoded []byte) error { return f.write(nodesFile, encoded) }

// ReadList reads the last saved list of a folder without locking the folder, so another process may hold the lock. It returns nil if no list
// was saved.
func ReadList(folder string) (*NodeList, error) {
	return NewFolder(&directory{path: folder}).LoadList()
}

// LoadList reads the last saved list. It returns nil if no list was saved.
func (f *Folder) LoadList() (*NodeList, error) {
	body, err := f.read(nodesFile)
	if err != nil || body == nil {
		return nil, err
	}
	l := NewNodeList()
	in := line.NewReader(bufio.NewReader(bytes.NewReader(body)))
	for l.present != nil || l.Version == 0 && len(l.entries) == 0 { // until an answer has begun and ended
		fields, err := in.Next()
		if err == nil {
			err = list.DecodeList(fields, listDecoder{l})
		}
		if err != nil {
			return nil, fmt.Errorf("node list file nodes: %w: %w", ErrDamaged, err)
		}
	}
	l.dirty = false
	return l, nil
}

// listDecoder applies the lines of a saved list to a NodeList.
type listDecoder struct{ list *NodeList }

// OnBegin implements list.Handler.
func (d listDecoder) OnBegin(kind int, version uint64) error { return d.list.Begin(kind, version) }

// OnEnd implements list.Handler.
func (d listDecoder) OnEnd() error {
	d.list.End()
	return nil
}

// OnFailed implements list.Handler.
func (d listDecoder) OnFailed(string) error { return errors.New("saved list has a failure line") }

// OnBye implements list.Handler.
func (d listDecoder) OnBye(string) error { return errors.New("saved list has a BYE line") }

// OnEntry implements list.Handler.
func (d listDecoder) OnEntry(e list.Entry) error {
	d.list.Put(Entry{e.ID, e.Address, e.Availability, e.StartedAt, e.FreeCores, e.FreeMemory, e.Zone, e.Cell, e.Kind})
	return nil
}
