package members

import (
	"encoding/hex"
	"testing"
)

// encoded is a datagram with one part of each kind, as encoded by commit 9c27d6c.
const encoded = "0a0473697465120273311a09312e322e332e343a352007280930033803400b4a02733251edfe0000000000005a0161620162b001ac02700578018201020301900101" +
	"9a0101056a190a0273331209312e322e332e353a35180420062802320273318a010a08ffffffff0f104d1801a001ffffffff0faa010e080711000000000000008018d3" +
	"09ba010a080210031a0470617274a7251c6e2ee51fdb90ad8b45e3efc491"

// TestWireFormat checks that a datagram is encoded to the same bytes as by earlier versions.
func TestWireFormat(t *testing.T) {
	b := AppendHeader(nil, "site", Header{
		From: "s1", Address: "1.2.3.4:5", Incarnation: 7, Count: 9, ReceiverIncarnation: 3, Kind: Ping, Number: 11, Target: "s2", Digest: 0xfeed,
		After: "a", Until: "b",
	})
	b = AppendStateVersion(b, 300)
	b = AppendLease(b, Lease{Place: 4, Granted: true, Counted: []byte{3, 1}, QuotaGranted: true, QuotaCounted: []byte{5}})
	b, _ = AppendMember(b, Member{Name: "s3", Address: "1.2.3.5:5", Incarnation: 4, Version: 6, State: Suspect, By: "s1"})
	b, _ = AppendNodeState(b, 1<<32-1, 77, true)
	b, _ = AppendNodeQuery(b, 1<<32-1)
	b, _ = AppendNodeReply(b, 7, 1<<63, 1234.5)
	b = AppendFragment(b, 2, 3, []byte("part"))
	if got := hex.EncodeToString(Seal(b, key, "9.9.9.9:1")); got != encoded {
		t.Errorf("encoded datagram %s, want %s", got, encoded)
	}
}
