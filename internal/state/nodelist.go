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

// Entry is a node of the list.
type Entry struct {
	ID                               uint32
	Address                          string
	Avail                            int // index into list.AvailabilityNames; 0: the node is gone
	StartedAt, FreeCores, FreeMemory float64
	Zone, Cell, Kind                 string
}

// NodeList is a scheduler's copy of the node list. An answer of the list service is applied by Begin, a Put for each of its entries, and
// End.
type NodeList struct {
	Version uint64
	entries map[uint32]Entry
	dirty   bool            // there is something to save
	present map[uint32]bool // nodes named so far by an answer that holds the full list, nil in other answers

	revision uint64  // counts changes of entries
	sorted   []Entry // by ID, nil after a change
}

// NewNodeList returns an empty list.
func NewNodeList() *NodeList { return &NodeList{entries: map[uint32]Entry{}} }

// Begin starts an answer of a kind of package list. One that is older than the list is refused: it would bring back nodes that are gone.
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

// Put applies an entry of an answer.
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

// End ends an answer. Nodes that a full list does not name are removed.
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

func (l *NodeList) markChanged() {
	l.dirty = true
	l.revision++
	l.sorted = nil
}

// Len returns the number of nodes.
func (l *NodeList) Len() int { return len(l.entries) }

// Entry returns the entry of a node, and false if the node is not on the list.
func (l *NodeList) Entry(id uint32) (Entry, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

// Revision returns a number that differs from an earlier one if an entry has changed since.
func (l *NodeList) Revision() uint64 { return l.revision }

// Entries returns all entries, sorted by ID. The slice is shared by all calls until the next change and must not be modified.
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

// Encode returns the list as SaveList takes it: an answer with the full list.
func (l *NodeList) Encode() []byte {
	b := list.AppendBegin(nil, list.KindFull, l.Version)
	for _, entry := range l.Entries() {
		b = list.AppendEntry(b, list.Entry{
			ID: entry.ID, Address: entry.Address, Availability: entry.Avail, StartedAt: entry.StartedAt,
			FreeCores: entry.FreeCores, FreeMemory: entry.FreeMemory, Zone: entry.Zone, Cell: entry.Cell, Kind: entry.Kind,
		})
	}
	return list.AppendEnd(b)
}

// SaveList writes an encoded list for the next start of the process.
func (f *Folder) SaveList(text []byte) error { return f.write(nodesFile, text) }

// ReadList reads the last list of a folder, which another process may hold. It returns nil if no list was saved.
func ReadList(folder string) (*NodeList, error) {
	return NewFolder(&directory{path: folder}).LoadList()
}

// LoadList reads the last list. It returns nil if no list was saved.
func (f *Folder) LoadList() (*NodeList, error) {
	body, err := f.read(nodesFile)
	if err != nil || body == nil {
		return nil, err
	}
	l := NewNodeList()
	in := line.NewReader(bufio.NewReader(bytes.NewReader(body)))
	for l.present != nil || l.Version == 0 && len(l.entries) == 0 { // until the answer has begun and ended
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

// listDecoder applies the lines of a saved list.
type listDecoder struct{ list *NodeList }

// OnBegin implements list.Handler.
func (d listDecoder) OnBegin(kind int, version uint64) error { return d.list.Begin(kind, version) }

// OnEnd implements list.Handler.
func (d listDecoder) OnEnd() error {
	d.list.End()
	return nil
}

// OnFailed implements list.Handler.
func (d listDecoder) OnFailed(string) error { return errors.New("a failure in a saved list") }

// OnBye implements list.Handler.
func (d listDecoder) OnBye(string) error { return errors.New("a farewell in a saved list") }

// OnEntry implements list.Handler.
func (d listDecoder) OnEntry(e list.Entry) error {
	d.list.Put(Entry{e.ID, e.Address, e.Availability, e.StartedAt, e.FreeCores, e.FreeMemory, e.Zone, e.Cell, e.Kind})
	return nil
}
