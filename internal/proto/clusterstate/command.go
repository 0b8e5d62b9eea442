package clusterstate

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// CommandKind is the kind of change that a Command makes. Kinds that are unknown to this version are decoded too, because all replicas must
// treat a command alike.
type CommandKind uint32

// Kinds of commands. The values are part of the wire format and of stored logs.
const (
	CommandActivate     CommandKind = 1 // starts a new incarnation of a process
	CommandDeactivate   CommandKind = 2 // makes a process inactive
	CommandSetZoneState CommandKind = 3
	CommandSetPlan      CommandKind = 4 // sets how load that moves out of zones is shared among the other zones
)

// Field numbers of Command.
const (
	commandProposer    = 1
	commandIncarnation = 2
	commandNumber      = 3
	commandProposedAt  = 4
	commandKind        = 5
	commandSubject     = 6
	commandZone        = 7
	commandRegion      = 8
	commandEpoch       = 9
	commandState       = 10
	commandCause       = 11
	commandShare       = 12

	commandFields = 13 // exceeds all field numbers
)

// Command is a change of the replicated state. Proposer, Incarnation and Number identify it: a command that arrives again has no effect.
// Fields that a kind does not use are zero.
type Command struct {
	Proposer    string
	Incarnation uint64 // incarnation of the proposer
	Number      uint64 // increases with each command of the incarnation
	ProposedAt  float64
	Kind        CommandKind
	Subject     string // process or zone that the command changes
	Zone        string // zone in which the process runs (CommandActivate)
	Region      string // region in which the process runs (CommandActivate)
	Epoch       uint64 // epoch of the process (CommandDeactivate); version at which the zone's state was written (CommandSetZoneState)
	State       uint32 // new state of the zone (CommandSetZoneState)
	Cause       string // is shown to operators
	Shares      []Share
}

// AppendCommand appends an encoded command to b.
func AppendCommand(b []byte, c *Command) []byte {
	b = field.AppendString(b, commandProposer, c.Proposer)
	b = field.AppendUint(b, commandIncarnation, c.Incarnation)
	b = field.AppendUint(b, commandNumber, c.Number)
	b = field.AppendFloat(b, commandProposedAt, c.ProposedAt)
	b = field.AppendUint(b, commandKind, uint64(c.Kind))
	b = field.AppendString(b, commandSubject, c.Subject)
	b = field.AppendString(b, commandZone, c.Zone)
	b = field.AppendString(b, commandRegion, c.Region)
	b = field.AppendUint(b, commandEpoch, c.Epoch)
	b = field.AppendUint(b, commandState, uint64(c.State))
	b = field.AppendString(b, commandCause, c.Cause)
	for _, share := range c.Shares {
		b = appendShare(b, commandShare, share)
	}
	return b
}

// ReadCommand decodes a command.
func ReadCommand(b []byte) (Command, error) {
	var numbers [commandFields]uint64
	var texts [commandFields]string
	var shares []Share
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		switch {
		case number == commandShare:
			share, ok := readShare(content)
			shares = append(shares, share)
			return ok && len(shares) <= maxShares
		case int(number) < len(numbers):
			numbers[number], texts[number] = value, string(content)
		}
		return len(content) <= maxNameBytes || number == commandCause && len(content) <= maxCauseBytes
	})
	proposedAt := math.Float64frombits(numbers[commandProposedAt])
	kind, state := numbers[commandKind], numbers[commandState]
	switch {
	case err != nil, texts[commandProposer] == "", numbers[commandIncarnation] == 0,
		kind == 0, kind > math.MaxUint32, state > math.MaxUint32,
		math.IsNaN(proposedAt), math.IsInf(proposedAt, 0):
		return Command{}, ErrMalformed
	}
	return Command{
		Proposer:    texts[commandProposer],
		Incarnation: numbers[commandIncarnation],
		Number:      numbers[commandNumber],
		ProposedAt:  proposedAt,
		Kind:        CommandKind(kind),
		Subject:     texts[commandSubject],
		Zone:        texts[commandZone],
		Region:      texts[commandRegion],
		Epoch:       numbers[commandEpoch],
		State:       uint32(state),
		Cause:       texts[commandCause],
		Shares:      shares,
	}, nil
}

// Field numbers of Share.
const (
	shareFrom  = 1
	shareTo    = 2
	shareCores = 3
)

func appendShare(b []byte, number protowire.Number, share Share) []byte {
	s := field.AppendString(nil, shareFrom, share.From)
	s = field.AppendString(s, shareTo, share.To)
	return field.AppendBytes(b, number, field.AppendUint(s, shareCores, uint64(share.Cores)))
}

func readShare(b []byte) (share Share, ok bool) {
	var cores uint64
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		switch number {
		case shareFrom:
			share.From = string(content)
		case shareTo:
			share.To = string(content)
		case shareCores:
			cores = value
		}
		return len(content) <= maxNameBytes
	})
	if err != nil || share.From == "" || share.To == "" || cores > MaxCores {
		return Share{}, false
	}
	share.Cores = uint32(cores)
	return share, true
}
