package state

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ravenpond/internal/proto/list"
)

func open(t *testing.T) *Folder {
	t.Helper()
	f, err := Open(filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { noError(t, f.Close()) })
	return f
}

func TestNextIncarnation(t *testing.T) {
	f := open(t)
	for want := uint32(1); want < 4; want++ {
		if got, err := f.NextIncarnation(); got != want || err != nil {
			t.Fatalf("got incarnation %d, error %v, want %d", got, err, want)
		}
	}
	if _, err := Open(f.disk.(*directory).path); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open of a locked folder returned %v, want ErrLocked", err)
	}
}

func TestList(t *testing.T) {
	f := open(t)
	if l, err := f.LoadList(); l != nil || err != nil {
		t.Fatalf("got list %v, error %v before a list was saved, want none", l, err)
	}
	l := NewNodeList()
	put := func(kind int, version uint64, entries ...Entry) error {
		if err := l.Begin(kind, version); err != nil {
			return err
		}
		for _, en := range entries {
			l.Put(en)
		}
		l.End()
		return nil
	}
	a, b := Entry{ID: 1, Address: "x:1", Availability: 1, Zone: "z", Cell: "c", Kind: "k"}, Entry{ID: 2, Address: "x:2", Availability: 2, Zone: "z", Cell: "c", Kind: "k"}
	if put(list.KindFull, 5, a, b) != nil || put(list.KindChanges, 6, Entry{ID: 1}) != nil {
		t.Fatal("Begin rejected a response with a newer version")
	}
	if err := put(list.KindChanges, 4, a); err == nil {
		t.Error("Begin accepted an older response, which would restore removed nodes")
	}
	noError(t, f.SaveList(l.Encode()))
	back, err := f.LoadList()
	if err != nil || len(back.Entries()) != 1 || back.Entries()[0] != b || back.Version != 6 {
		t.Errorf("got list %+v, error %v, want version 6 with node 2 only", back, err)
	}
	path := filepath.Join(f.disk.(*directory).path, "nodes")
	good, _ := os.ReadFile(path)
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"truncated", string(good[:len(good)-3]), ErrDamaged},
		{"empty", "", ErrDamaged},
		{"changed byte", strings.Replace(string(good), "x:2", "x:3", 1), ErrDamaged},
		{"later format version", strings.Replace(string(good), "NODES 1", "NODES 2", 1), ErrNewer},
		{"header of another file", "RAVENPOND-LIFE 1 0 0\n", ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			noError(t, os.WriteFile(path, []byte(c.text), 0o600))
			if l, err := f.LoadList(); l != nil || !errors.Is(err, c.want) {
				t.Errorf("got list %v, error %v, want error %v", l, err, c.want)
			}
		})
	}
}

// memoryDisk is a Disk in memory: file contents by name.
type memoryDisk map[string][]byte

func (m memoryDisk) Read(name string) ([]byte, error)                { return m[name], nil }
func (m memoryDisk) WriteUnsynced(name string, content []byte) error { m[name] = content; return nil }

func (m memoryDisk) Write(name string, content []byte) error {
	m[name] = slices.Clone(content)
	return nil
}
func (m memoryDisk) Close() error { return nil }

// FuzzFolder reads arbitrary bytes as the files of a folder. Reading has to return an error, or content that reads back the same after it is
// written.
func FuzzFolder(f *testing.F) {
	m := memoryDisk{}
	folder := NewFolder(m)
	_, _ = folder.NextIncarnation()
	l := NewNodeList()
	_ = l.Begin(list.KindFull, 3)
	l.Put(Entry{ID: 7, Address: "a:1", Availability: 1, Zone: "z", Cell: "c", Kind: "k"})
	l.End()
	_ = folder.SaveList(l.Encode())
	f.Add(m["life"], m["nodes"])
	f.Add(m["life"][:20], bytes.Replace(m["nodes"], []byte("a:1"), []byte("b:1"), 1))
	f.Fuzz(func(t *testing.T, incarnation, nodes []byte) {
		m := memoryDisk{"life": incarnation, "nodes": nodes}
		folder := NewFolder(m)
		if first, err := folder.NextIncarnation(); err == nil {
			if second, err := folder.NextIncarnation(); err != nil || second != first+1 {
				t.Errorf("got incarnation %d after %d, error %v, want the next number", second, first, err)
			}
		} else if !bytes.Equal(m["life"], incarnation) {
			t.Error("NextIncarnation overwrote a damaged file")
		}
		if l, err := folder.LoadList(); err == nil && l != nil {
			noError(t, folder.SaveList(l.Encode()))
			again, err := folder.LoadList()
			if err != nil || !slices.Equal(again.Entries(), l.Entries()) {
				t.Errorf("saved list differs when it is read again, error %v", err)
			}
		}
	})
}

// TestWriteUnsynced checks that WriteUnsynced replaces a file and leaves no temporary file.
func TestWriteUnsynced(t *testing.T) {
	path := t.TempDir()
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, f.Close()) }()
	for _, text := range []string{"a long first one", "short"} {
		noError(t, f.WriteUnsynced("view.json", []byte(text)))
		if b, err := os.ReadFile(filepath.Join(path, "view.json")); err != nil || string(b) != text {
			t.Errorf("got content %q, error %v, want the content written last", b, err)
		}
	}
	if _, err := os.Stat(filepath.Join(path, "view.json.new")); !os.IsNotExist(err) {
		t.Errorf("temporary file still exists: %v", err)
	}
	if err := f.WriteUnsynced("none/view.json", nil); err == nil {
		t.Error("WriteUnsynced into a missing folder returned no error")
	}
}

// TestEntries checks that Entries returns the current entries in order after each answer, and the same slice until an entry changes.
func TestEntries(t *testing.T) {
	l := NewNodeList()
	ids := func() (all []uint32) {
		for _, en := range l.Entries() {
			all = append(all, en.ID)
		}
		return all
	}
	put := func(kind int, version uint64, entries ...Entry) {
		t.Helper()
		noError(t, l.Begin(kind, version))
		for _, en := range entries {
			l.Put(en)
		}
		l.End()
	}
	put(list.KindFull, 1, Entry{ID: 7, Availability: 1}, Entry{ID: 3, Availability: 1}, Entry{ID: 5, Availability: 1})
	if got := ids(); !slices.Equal(got, []uint32{3, 5, 7}) {
		t.Fatalf("got entries %v, want 3, 5, 7", got)
	}
	before, revision := l.Entries(), l.Revision()
	put(list.KindChanges, 2, Entry{ID: 5, Availability: 1}) // the entry is the same as before
	if l.Revision() != revision || &before[0] != &l.Entries()[0] {
		t.Error("Entries made a new slice, or the revision changed, without a change of an entry")
	}
	put(list.KindChanges, 3, Entry{ID: 5, Availability: 0}, Entry{ID: 4, Availability: 1, FreeCores: 2})
	if got := ids(); !slices.Equal(got, []uint32{3, 4, 7}) || l.Revision() == revision {
		t.Errorf("got entries %v, revision %d after a change, want 3, 4, 7 and a new revision", got, l.Revision())
	}
	if before[1].ID != 5 {
		t.Error("a slice that Entries returned earlier was modified")
	}
	put(list.KindFull, 4, Entry{ID: 9, Availability: 1})
	if got := ids(); !slices.Equal(got, []uint32{9}) {
		t.Errorf("got entries %v after a full response, want 9", got)
	}
}

// noError ends the test if err is not nil.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
