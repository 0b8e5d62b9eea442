package clusterstate

import (
	"fmt"

	codec "ravenpond/internal/proto/clusterstate"
)

// Change is what a command does: Activate, Deactivate, SetZoneState or SetPlan.
type Change interface {
	// apply changes the state by a command that has not been applied before.
	apply(s *State, by *Command) Refusal
	// encode sets the fields that the kind of command uses.
	encode(c *codec.Command)
}

// Command is a change with what identifies it.
type Command struct {
	Proposer    string
	Incarnation uint64 // of the proposer
	Number      uint64 // grows with each command of the incarnation
	ProposedAt  float64
	Change      Change // nil if this version of the program does not know the kind
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
		return Command{}, fmt.Errorf("command: %w", err)
	}
	return Command{
		Proposer:    encoded.Proposer,
		Incarnation: encoded.Incarnation,
		Number:      encoded.Number,
		ProposedAt:  encoded.ProposedAt,
		Change:      changeOf(&encoded),
	}, nil
}

// changeOf returns the change that a command encodes, and nil for an unknown kind.
func changeOf(c *codec.Command) Change {
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

// Apply applies the next command, of a later version than all before it, and returns why it has no effect, if so. An empty command changes
// the version alone. A command that can't be read is Malformed: every replica treats it alike. The error means that the version is not
// later.
func (s *State) Apply(version uint64, command []byte) (Refusal, error) {
	if version <= s.version {
		return Accepted, fmt.Errorf("command of version %d after %d", version, s.version)
	}
	s.version = version
	if len(command) == 0 {
		return Accepted, nil
	}
	c, err := ReadCommand(command)
	if err != nil {
		return Malformed, nil //nolint:nilerr // the refusal says it
	}
	return s.apply(&c), nil
}

// apply applies a command unless it, or a later one of its proposer, has been applied before.
func (s *State) apply(c *Command) Refusal {
	last := s.processes[c.Proposer]
	if c.Incarnation < last.commandIncarnation || c.Incarnation == last.commandIncarnation && c.Number <= last.commandNumber {
		return last.commandRefusal
	}
	s.now = max(s.now, c.ProposedAt) // voters reject times far from their clocks, see package consensus
	refusal := Malformed
	if c.Change != nil {
		refusal = c.Change.apply(s, c)
	}
	if p, known := s.processes[c.Proposer]; known { // nothing is kept of a proposer that is not part of the state
		p.commandIncarnation, p.commandNumber, p.commandRefusal = c.Incarnation, c.Number, refusal
		s.processes[c.Proposer] = p
	}
	return refusal
}
