package clusterstate

import (
	"fmt"

	codec "ravenpond/internal/proto/clusterstate"
)

// Change is the effect of a command: Activate, Deactivate, SetZoneState or SetPlan.
type Change interface {
	// apply applies the change to the state. The command that contains the change has not been applied before.
	apply(s *State, command *Command) Refusal
	// encode sets the fields of c that this kind of change uses.
	encode(c *codec.Command)
}

// Command is a change with the identity of its proposal.
type Command struct {
	Proposer    string
	Incarnation uint64  // of the proposer
	Number      uint64  // increases with each command of the incarnation
	ProposedAt  float64 // ms, by the proposer's clock
	Change      Change  // nil if this version of the program does not know the kind of change
}

// Append appends the encoded command to b.
func (c *Command) Append(b []byte) []byte {
	encoded := codec.Command{Proposer: c.Proposer, Incarnation: c.Incarnation, Number: c.Number, ProposedAt: c.ProposedAt}
	c.Change.encode(&encoded)
	return codec.AppendCommand(b, &encoded)
}

// ReadCommand decodes a command.
func ReadCommand(b []byte) (Command, error) {
	encoded, err := codec.ReadCommand(b)
	if err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return Command{
		Proposer:    encoded.Proposer,
		Incarnation: encoded.Incarnation,
		Number:      encoded.Number,
		ProposedAt:  encoded.ProposedAt,
		Change:      decodeChange(&encoded),
	}, nil
}

// decodeChange returns the change that an encoded command contains, or nil if its kind is unknown.
func decodeChange(c *codec.Command) Change {
	switch c.Kind {
	case codec.CommandActivate:
		return Activate{Process: c.Subject, Zone: c.Zone, Region: c.Region}
	case codec.CommandDeactivate:
		return Deactivate{Process: c.Subject, Epoch: c.Epoch}
	case codec.CommandSetZoneState:
		return SetZoneState{Zone: c.Subject, SeenVersion: c.Epoch, State: ZoneState(c.State), Cause: c.Cause}
	case codec.CommandSetPlan:
		shares := make([]Share, len(c.Shares))
		for i, share := range c.Shares {
			shares[i] = Share(share)
		}
		return SetPlan{Shares: shares}
	}
	return nil
}

func (c Activate) encode(to *codec.Command) {
	to.Kind, to.Subject, to.Zone, to.Region = codec.CommandActivate, c.Process, c.Zone, c.Region
}

func (c Deactivate) encode(to *codec.Command) {
	to.Kind, to.Subject, to.Epoch = codec.CommandDeactivate, c.Process, c.Epoch
}

func (c SetZoneState) encode(to *codec.Command) {
	to.Kind, to.Subject, to.Epoch, to.State, to.Cause = codec.CommandSetZoneState, c.Zone, c.SeenVersion, uint32(c.State), c.Cause
}

func (c SetPlan) encode(to *codec.Command) {
	to.Kind = codec.CommandSetPlan
	for _, share := range c.Shares {
		to.Shares = append(to.Shares, codec.Share(share))
	}
}

// Apply applies the next command, whose version must be later than that of all commands before it. It returns why the command has no effect, or
// Accepted. An empty command changes the version only. A command that can't be decoded is refused as Malformed on every replica. Apply
// returns an error only if the version is not later.
func (s *State) Apply(version uint64, command []byte) (Refusal, error) {
	if version <= s.version {
		return Accepted, fmt.Errorf("command version %d is not later than state version %d", version, s.version)
	}
	s.version = version
	if len(command) == 0 {
		return Accepted, nil
	}
	c, err := ReadCommand(command)
	if err != nil {
		return Malformed, nil //nolint:nilerr // the refusal reports the error
	}
	return s.apply(&c), nil
}

// apply applies a command unless the same or a later command of its proposer has been applied before.
func (s *State) apply(c *Command) Refusal {
	last := s.processes[c.Proposer]
	if c.Incarnation < last.commandIncarnation || c.Incarnation == last.commandIncarnation && c.Number <= last.commandNumber {
		return last.commandRefusal
	}
	s.now = max(s.now, c.ProposedAt) // voters drop commands whose time is far from their clocks, see package consensus
	refusal := Malformed
	if c.Change != nil {
		refusal = c.Change.apply(s, c)
	}
	if p, known := s.processes[c.Proposer]; known { // no result is stored for a proposer that is not in the state
		p.commandIncarnation, p.commandNumber, p.commandRefusal = c.Incarnation, c.Number, refusal
		s.processes[c.Proposer] = p
	}
	return refusal
}
