package clusterstate

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// MessageKind says what a Message is for.
type MessageKind uint32

// Kinds of messages. The values are part of the wire format.
const (
	MessageRaft       MessageKind = 1 // a message of Raft, in Body
	MessageProbe      MessageKind = 2 // asks a voter for the last log index on its disk
	MessageProbeReply MessageKind = 3
	MessageFetchChunk MessageKind = 4 // asks for a chunk of a snapshot
	MessageChunk      MessageKind = 5
	MessageProposal   MessageKind = 6 // a command, in Body, for a voter to propose
	MessageZoneReport MessageKind = 7 // summaries of zones for the leader, see AppendZoneSummary
)

// Numbers of Message's fields.
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

	messageFields = 9 // scalar fields are numbered below this
)

// Message is what one replica sends to another. Fields that a kind does not use are zero.
type Message struct {
	Kind       MessageKind
	Body       []byte
	Number     uint64 // of a probe, and of the reply to it; in a MessageFetchChunk the version of the snapshot that was begun, 0: none
	Version    uint64 // of the state that the sender holds, or of the snapshot that a chunk is part of
	Written    uint64 // last log index on the sender's disk, committed or not
	Offset     uint64 // of a chunk in its snapshot, bytes
	Total      uint64 // size of that snapshot, bytes
	FromLeader bool   // the sender of a probe reply is the leader
}

// AppendMessage appends an encoded message to b.
func AppendMessage(b []byte, m *Message) []byte {
	b = field.AppendUint(b, messageKind, uint64(m.Kind))
	if len(m.Body) > 0 {
		b = field.AppendBytes(b, messageBody, m.Body)
	}
	b = field.AppendUint(b, messageNumber, m.Number)
	b = field.AppendUint(b, messageVersion, m.Version)
	b = field.AppendUint(b, messageWritten, m.Written)
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
		Kind:       MessageKind(kind),
		Body:       body,
		Number:     numbers[messageNumber],
		Version:    numbers[messageVersion],
		Written:    numbers[messageWritten],
		Offset:     numbers[messageOffset],
		Total:      numbers[messageTotal],
		FromLeader: numbers[messageFromLeader] != 0,
	}, nil
}

// Numbers of ZoneSummary's fields.
const (
	summaryZone      = 1
	summaryNodes     = 2
	summaryReachable = 3
	summaryCapacity  = 4
	summaryUsed      = 5

	summaryFields = 6 // numbers are below this
)

// maxSummaryCores bounds the cores in a summary.
const maxSummaryCores = 1e12

// ZoneSummary is what one process observes of a zone.
type ZoneSummary struct {
	Zone      string
	Nodes     int     // that the process observes
	Reachable int     // of them
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
