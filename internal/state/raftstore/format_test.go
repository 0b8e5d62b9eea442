package raftstore

import (
	"os"
	"testing"

	raft "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
)

// discardEffects ignores all effects of a replica.
type discardEffects struct{}

func (discardEffects) Send(string, []byte) {}

func (discardEffects) Save([]byte, uint64, [][]byte, []byte, uint64) error { return nil }

func (discardEffects) Log(string) {}

// TestFormat1 opens a voter's store in format 1 that commit 9c27d6c wrote, and checks the state of a replica that starts from it.
func TestFormat1(t *testing.T) {
	dir := t.TempDir()
	noError(t, os.CopyFS(dir, os.DirFS("testdata/format1")))
	s, err := Open(dir, "main-campus")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, s.Close()) }()
	saved, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	var hard raft.HardState
	if err := proto.Unmarshal(saved.HardState, &hard); err != nil || hard.GetTerm() != 1 || hard.GetVote() != 1 || hard.GetCommit() != 277 {
		t.Errorf("got hard state %v, error %v, want term 1, vote 1, commit 277", &hard, err)
	}
	var snapshot raft.Snapshot
	if err := proto.Unmarshal(saved.Snapshot, &snapshot); err != nil || snapshot.GetMetadata().GetIndex() != 257 {
		t.Errorf("got snapshot of index %d, error %v, want 257", snapshot.GetMetadata().GetIndex(), err)
	}
	for i, text := range saved.Entries {
		var entry raft.Entry
		if err := proto.Unmarshal(text, &entry); err != nil || entry.GetIndex() != uint64(258+i) {
			t.Errorf("entry %d: got index %d, error %v, want consecutive indices from 258", i, entry.GetIndex(), err)
		}
	}
	if len(saved.Entries) != 20 {
		t.Errorf("got %d entries, want 20", len(saved.Entries))
	}
	config := consensus.Config{Name: "s1", Zone: "zs1", Region: "eu", Incarnation: 13, Voters: []string{"s1", "s2", "s3"}}
	replica, err := consensus.New(discardEffects{}, 2e6, config, saved)
	if err != nil {
		t.Fatal(err)
	}
	replica.Tick(2e6) // applies the committed entries
	expectState(t, replica.State())
}

// expectState checks the cluster state that the replica restored from the store.
func expectState(t *testing.T, state *clusterstate.State) {
	t.Helper()
	if state.Version() != 277 || state.Share("zs3", "zs1") != 400 {
		t.Errorf("got version %d, share %d, want 277 and 400", state.Version(), state.Share("zs3", "zs1"))
	}
	zone := clusterstate.Zone{Name: "zs3", State: clusterstate.Suspect, Since: 1.0114e+06, Version: 276, Cause: "3 of 9 heard"}
	if got := state.Zones(); len(got) != 1 || got[0] != zone {
		t.Errorf("got zones %+v, want %+v", got, zone)
	}
	type process struct {
		name, zone, region string
		incarnation, epoch uint64
		inactive           bool
	}
	want := []process{{"s1", "zs1", "eu", 10, 1, false}, {"s2", "zone1", "eu", 11, 273, false}, {"s3", "zs3", "eu", 12, 3, false}}
	got := state.Processes()
	if len(got) != len(want) {
		t.Fatalf("got processes %+v, want %+v", got, want)
	}
	for i, p := range got {
		if q := (process{p.Name, p.Zone, p.Region, p.Incarnation, p.Epoch, p.Inactive}); q != want[i] {
			t.Errorf("got process %+v, want %+v", q, want[i])
		}
	}
	for name, numbers := range map[string][2]uint64{"s1": {10, 1}, "s2": {11, 273}, "s3": {12, 1}} {
		if number, refusal, ok := state.LastResult(name, numbers[0]); number != numbers[1] || refusal != clusterstate.Accepted || !ok {
			t.Errorf("last command of %s: got number %d, refusal %s, found %t, want accepted number %d", name, number, refusal, ok, numbers[1])
		}
	}
}
