package state

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestFormat1 reads a folder in format 1 that commit 9c27d6c wrote, and checks that saving its list writes the same bytes.
func TestFormat1(t *testing.T) {
	path := t.TempDir()
	noError(t, os.CopyFS(path, os.DirFS("testdata/format1")))
	folder, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, folder.Close()) }()
	nodes, err := folder.LoadList()
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{ID: 7, Address: "10.0.0.7:7000", Availability: 1, StartedAt: 1771000000.25, FreeCores: 12.5, FreeMemory: 64, Zone: "z1", Cell: "c1", Kind: "k"},
		{ID: 8, Address: "10.0.0.8:7000", Availability: 2, StartedAt: 1771000001, FreeCores: 0, FreeMemory: 3.75, Zone: "z2", Cell: "c9", Kind: "gpu"},
	}
	if nodes.Version != 42 || !slices.Equal(nodes.Entries(), want) {
		t.Errorf("got version %d with entries %+v, want 42 with %+v", nodes.Version, nodes.Entries(), want)
	}
	noError(t, folder.SaveList(nodes.Encode()))
	before, err := os.ReadFile("testdata/format1/nodes")
	if err != nil {
		t.Fatal(err)
	}
	if after, err := os.ReadFile(filepath.Join(path, "nodes")); err != nil || !bytes.Equal(before, after) {
		t.Errorf("saved list is %q, error %v, want %q", after, err, before)
	}
	if incarnation, err := folder.NextIncarnation(); incarnation != 4 || err != nil {
		t.Errorf("got incarnation %d, error %v, want 4", incarnation, err)
	}
}
