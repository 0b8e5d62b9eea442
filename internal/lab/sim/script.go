package sim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Fault is a fault that is injected at a time of a script.
type Fault struct {
	At           float64 // ms
	Kind         string  // one of faultKinds
	Target, Peer string  // what it affects: s0 is a scheduler, n1 a node, o0 a client, list the node list, a or b a tenant; empty: nothing
	Duration     float64 // ms
	Size         float64 // its meaning depends on the kind
}

// Script describes a cluster, its load and the faults that are injected into it.
type Script struct {
	Seed              uint64
	Nodes             int
	Schedulers        int
	Shards            int
	ConnectionSharing string  // how a scheduler's shards use connections: shared, own or informed
	ListPolled        bool    // the node list answers polls and does not push changes
	ColdStart         bool    // all nodes start cold, and no scheduler knows the list
	Rate              float64 // requests per second
	Duration          float64 // time in ms during which requests are sent
	DynamicTenants    bool    // tenants are added, paused, limited and removed
	Members           bool    // schedulers know each other
	WorkingSetSize    int     // minimum number of nodes in a scheduler's working set, 0: schedulers work with all nodes
	Faults            []Fault // in order of time
}

// header is the first line of a script.
const header = "ravenpond-script 1"

// Bounds of scripts.
const (
	maxNodes      = 2000
	maxSchedulers = 4096
	maxRate       = 1e5
	maxDuration   = 1e8 // ms
)

// String returns the script as Parse reads it.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\nseed %d\nnodes %d\nschedulers %d\nshards %d %s\nasked %v\ncold %v\nrate %g\nlasts %g\n", header, s.Seed,
		s.Nodes, s.Schedulers, s.Shards, s.ConnectionSharing, s.ListPolled, s.ColdStart, s.Rate, s.Duration)
	if s.DynamicTenants {
		b.WriteString("hosted true\n")
	}
	if s.Members {
		b.WriteString("members true\n")
	}
	if s.WorkingSetSize > 0 {
		fmt.Fprintf(&b, "set %d\n", s.WorkingSetSize)
	}
	orDash := func(name string) string {
		if name == "" {
			return "-"
		}
		return name
	}
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "fault %g %s %s %s %g %g\n", f.At, f.Kind, orDash(f.Target), orDash(f.Peer), f.Duration, f.Size)
	}
	return b.String()
}

// ParseFault parses a fault in the form that scripts have, without the keyword. The error names an unknown kind or is that of fmt.Sscan.
func ParseFault(text string) (f Fault, err error) {
	if _, err = fmt.Sscan(text, &f.At, &f.Kind, &f.Target, &f.Peer, &f.Duration, &f.Size); err != nil {
		return f, err
	}
	f.Target, f.Peer = strings.Trim(f.Target, "-"), strings.Trim(f.Peer, "-")
	if !slices.ContainsFunc(faultKinds, func(k faultKind) bool { return k.name == f.Kind }) {
		err = fmt.Errorf("unknown fault %q", f.Kind)
	}
	return f, err
}

// Parse parses and checks a script. Lines that begin with # are comments. The error of a line has its number.
func Parse(in io.Reader) (s Script, err error) {
	lines := bufio.NewScanner(in)
	seen := map[string]bool{} // keywords, and the header
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		if !seen[header] {
			if seen[header] = true; text != header {
				return s, fmt.Errorf("script: first line is %.40q, expected %q", text, header)
			}
			continue
		}
		keyword, rest, _ := strings.Cut(text, " ")
		if keyword != "fault" && seen[keyword] {
			return s, fmt.Errorf("script, line %d: duplicate keyword %s", n, keyword)
		}
		seen[keyword] = true
		if err := s.parseLine(keyword, rest); err != nil {
			return s, fmt.Errorf("script, line %d: %.60q: %w", n, text, err)
		}
	}
	if err := lines.Err(); err != nil {
		return s, fmt.Errorf("script: %w", err)
	}
	return s, s.Check()
}

// parseLine parses a line of a script.
func (s *Script) parseLine(keyword, rest string) error {
	if keyword == "fault" {
		f, err := ParseFault(rest)
		s.Faults = append(s.Faults, f)
		return err
	}
	fields, ok := map[string][]any{
		"seed": {&s.Seed}, "nodes": {&s.Nodes}, "schedulers": {&s.Schedulers}, "shards": {&s.Shards, &s.ConnectionSharing},
		"asked": {&s.ListPolled}, "cold": {&s.ColdStart}, "rate": {&s.Rate}, "lasts": {&s.Duration}, "hosted": {&s.DynamicTenants},
		"members": {&s.Members}, "set": {&s.WorkingSetSize},
	}[keyword]
	if !ok {
		return fmt.Errorf("unknown keyword %q", keyword)
	}
	_, err := fmt.Sscan(rest, fields...)
	return err
}

// Check returns an error that says why a script can't be run, or nil if it can.
func (s *Script) Check() error {
	inRange := func(n, most int) bool { return n >= 1 && n <= most }
	above0 := func(x, most float64) bool { return x > 0 && x <= most } // false for NaN
	switch {
	case !inRange(s.Nodes, maxNodes) || !inRange(s.Schedulers, maxSchedulers) || !inRange(s.Shards, maxShards):
		return fmt.Errorf("script: expected 1 to %d nodes, 1 to %d schedulers and 1 to %d shards", maxNodes, maxSchedulers, maxShards)
	case !above0(s.Rate, maxRate) || !above0(s.Duration, maxDuration):
		return errors.New("script: rate or duration (keyword lasts) is not above 0 or is too large")
	case s.WorkingSetSize < 0 || s.WorkingSetSize > 0 && s.ConnectionSharing == "own":
		return errors.New("script: working set (keyword set) has a negative size, or its shards have connections of their own")
	case !slices.Contains([]string{"shared", "own", "informed"}, s.ConnectionSharing):
		return fmt.Errorf("script: unknown connection sharing %q of shards, expected shared, own or informed", s.ConnectionSharing)
	}
	for i := range s.Faults {
		if err := s.checkFault(&s.Faults[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Script) checkFault(f *Fault) error {
	if !(f.At >= 0) || !(f.Duration >= 0) { // NaN is an error too
		return fmt.Errorf("script: fault %s: time or duration is negative or NaN", f.Kind)
	}
	for _, name := range []string{f.Target, f.Peer} {
		if !s.hasName(name) {
			return fmt.Errorf("script: fault %s: unknown target or peer %q", f.Kind, name)
		}
	}
	return nil
}

// hasName reports whether the script has a scheduler, node, client, node list or tenant of this name. The empty name is allowed.
func (s *Script) hasName(name string) bool {
	var i int
	if _, err := fmt.Sscanf(name, "s%d", &i); err == nil {
		return i >= 0 && i < s.Schedulers
	}
	if _, err := fmt.Sscanf(name, "n%d", &i); err == nil {
		return i >= 1 && i <= s.Nodes
	}
	if _, err := fmt.Sscanf(name, "o%d", &i); err == nil {
		return i >= 0 && i < s.Schedulers*clientsPerScheduler
	}
	return name == "" || name == "list" || s.DynamicTenants && slices.Contains(tenantNames, name)
}
