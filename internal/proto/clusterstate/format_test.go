package clusterstate

import (
	"encoding/hex"
	"slices"
	"testing"
)

// Messages as encoded by commit 9c27d6c.
const (
	encodedReply  = "08031204626f6479180120022803300438054001"
	encodedReport = "08074a1a0a027a3110091808210000000000a051402900000000000018404a060a027a321001"
)

// TestMessageFormat checks that a message with all fields is encoded to the same bytes as by earlier versions, and is decoded as it was.
func TestMessageFormat(t *testing.T) {
	m := Message{Kind: MessageProbeReply, Body: []byte("body"), Number: 1, Version: 2, LastLogIndex: 3, Offset: 4, Total: 5, FromLeader: true}
	b := AppendMessage(nil, &m)
	if got := hex.EncodeToString(b); got != encodedReply {
		t.Errorf("encoded message %s, want %s", got, encodedReply)
	}
	got, err := ReadMessage(b)
	if err != nil || !slices.Equal(got.Body, m.Body) {
		t.Fatalf("decoded %+v with error %v, want the encoded body", got, err)
	}
	got.Body, m.Body = nil, nil
	if got.Kind != m.Kind || got.Number != m.Number || got.Version != m.Version || got.LastLogIndex != m.LastLogIndex || got.Offset != m.Offset ||
		got.Total != m.Total || got.FromLeader != m.FromLeader {
		t.Errorf("decoded %+v, want %+v", got, m)
	}
}

// TestReportFormat checks that a report of two zones is encoded to the same bytes as by earlier versions, and is decoded as it was.
func TestReportFormat(t *testing.T) {
	want := []ZoneSummary{{Zone: "z1", Nodes: 9, Reachable: 8, Capacity: 70.5, Used: 6}, {Zone: "z2", Nodes: 1}}
	b := AppendMessage(nil, &Message{Kind: MessageZoneReport})
	for _, z := range want {
		b = AppendZoneSummary(b, z)
	}
	if got := hex.EncodeToString(b); got != encodedReport {
		t.Errorf("encoded report %s, want %s", got, encodedReport)
	}
	if got, err := ReadZoneSummaries(b); err != nil || !slices.Equal(got, want) {
		t.Errorf("decoded %+v with error %v, want %+v", got, err, want)
	}
	if _, err := ReadZoneSummaries(AppendZoneSummary(nil, ZoneSummary{Zone: "z", Nodes: 1, Reachable: 2})); err == nil {
		t.Error("report with more reachable nodes than nodes was accepted")
	}
}
