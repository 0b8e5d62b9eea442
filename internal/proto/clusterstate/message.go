package clusterstate

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// MessageKind is the purpose of a Message.
type MessageKind uint32

// Kinds of messages. The values are part of the wire format.
const (
	MessageRaft       MessageKind = 1 // carries a Raft message in Body
	MessageProbe      MessageKind = 2 // requests the last log index on a voter's disk
	MessageProbeReply MessageKind = 3
	MessageFetchChunk MessageKind = 4 // requests a chunk of a snapshot
	MessageChunk      MessageKind = 5
	MessageProposal   MessageKind = 6 // carries a command in Body that the voter is to propose
	MessageZoneReport MessageKind = 7 // carries summaries of zones to the leader, see AppendZoneSummary
)

// Field numbers of Message.
const (
	messageKind       = 1
	messageBody       = 2
	messageNumber     = 3
	messageVersion    = 4
	messageWritten    = 5
	messageOffset     = 6
	messageTotal      = 7
	messageFromLeader = 8
	messageSummary    = 9

	messageFields = 9 // exceeds the numbers of all scalar fields
)

// Message is a message from one replica to another. Fields that a kind does not use are zero.
type Message struct {
	Kind         MessageKind
	Body         []byte
	Number       uint64 // number of a probe and of its reply; in a MessageFetchChunk, version of the partly fetched snapshot, or 0
	Version      uint64 // version of the state that the sender holds, or of the snapshot that a chunk belongs to
	LastLogIndex uint64 // last log index on the sender's disk, committed or not
	Offset       uint64 // offset of a chunk in its snapshot, bytes
	Total        uint64 // size of that snapshot, bytes
	FromLeader   bool   // whether the sender of a probe reply is the leader
}

// AppendMessage appends an encoded message to b.
func AppendMessage(b []byte, m *Message) []byte {
	b = field.AppendUint(b, messageKind, uint64(m.Kind))
	if len(m.Body) > 0 {
		b = field.AppendBytes(b, messageBody, m.Body)
	}
	b = field.AppendUint(b, messageNumber, m.Number)
	b = field.AppendUint(b, messageVersion, m.Version)
	b = field.AppendUint(b, messageWritten, m.LastLogIndex)
	b = field.AppendUint(b, messageOffset, m.Offset)
	b = field.AppendUint(b, messageTotal, m.Total)
	if m.FromLeader {
		b = field.AppendUint(b, messageFromLeader, 1)
	}
	return b
}

// ReadMessage decodes a message. Its body refers to b.
func ReadMessage(b []byte) (Message, error) {
	var numbers [messageFields]uint64
	var body []byte
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		switch {
		case number == messageBody:
			body = content
		case int(number) < len(numbers):
			numbers[number] = value
		}
		return true
	})
	kind := numbers[messageKind]
	if err != nil || kind < uint64(MessageRaft) || kind > uint64(MessageZoneReport) {
		return Message{}, ErrMalformed
	}
	return Message{
		Kind:         MessageKind(kind),
		Body:         body,
		Number:       numbers[messageNumber],
		Version:      numbers[messageVersion],
		LastLogIndex: numbers[messageWritten],
		Offset:       numbers[messageOffset],
		Total:        numbers[messageTotal],
		FromLeader:   numbers[messageFromLeader] != 0,
	}, nil
}

// Field numbers of ZoneSummary.
const (
	summaryZone      = 1
	summaryNodes     = 2
	summaryReachable = 3
	summaryCapacity  = 4
	summaryUsed      = 5

	summaryFields = 6 // exceeds all field numbers
)

// maxSummaryCores is the exclusive upper bound of the core counts in a summary.
const maxSummaryCores = 1e12

// ZoneSummary is the state of a zone as one process observes it.
type ZoneSummary struct {
	Zone      string
	Nodes     int     // number of nodes that the process observes
	Reachable int     // number of these nodes that are reachable
	Capacity  float64 // cores of all ready nodes
	Used      float64 // cores in use
}

// AppendZoneSummary appends a summary to a message of kind MessageZoneReport.
func AppendZoneSummary(b []byte, z ZoneSummary) []byte {
	s := field.AppendString(nil, summaryZone, z.Zone)
	s = field.AppendUint(s, summaryNodes, uint64(z.Nodes))
	s = field.AppendUint(s, summaryReachable, uint64(z.Reachable))
	s = field.AppendFloat(s, summaryCapacity, z.Capacity)
	s = field.AppendFloat(s, summaryUsed, z.Used)
	return field.AppendBytes(b, messageSummary, s)
}

// ReadZoneSummaries decodes the summaries of an encoded report, in the order in which they were appended.
func ReadZoneSummaries(b []byte) (summaries []ZoneSummary, err error) {
	err = field.ForEach(b, func(number protowire.Number, _ uint64, content []byte) bool {
		if number != messageSummary {
			return true
		}
		summary, ok := readZoneSummary(content)
		if ok {
			summaries = append(summaries, summary)
		}
		return ok
	})
	if err != nil {
		return nil, err
	}
	return summaries, nil
}

func readZoneSummary(b []byte) (summary ZoneSummary, ok bool) {
	var numbers [summaryFields]uint64
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		switch {
		case number == summaryZone:
			summary.Zone = string(content)
		case int(number) < len(numbers):
			numbers[number] = value
		}
		return len(content) <= maxNameBytes
	})
	nodes, reachable := numbers[summaryNodes], numbers[summaryReachable]
	summary.Capacity, summary.Used = math.Float64frombits(numbers[summaryCapacity]), math.Float64frombits(numbers[summaryUsed])
	if err != nil || summary.Zone == "" || nodes > math.MaxInt32 || reachable > nodes ||
		!isCoreCount(summary.Capacity) || !isCoreCount(summary.Used) {
		return ZoneSummary{}, false
	}
	summary.Nodes, summary.Reachable = int(nodes), int(reachable)
	return summary, true
}

// isCoreCount reports whether v is a plausible number of cores. NaN is not.
func isCoreCount(v float64) bool { return v >= 0 && v < maxSummaryCores }
