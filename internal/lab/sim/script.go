package sim

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
)

// Fault is something that goes wrong at a time.
type Fault struct {
	At           float64 // ms
	Kind         string
	Target, Peer string  // whom it hits
	Duration     float64 // ms
	Size         float64
}

// Script is a world and what goes wrong in it.
type Script struct {
	Seed              uint64
	Nodes             int
	Schedulers        int
	Shards            int
	ConnectionSharing string // shared, own or informed
	ListPolled        bool   // the list is asked, and does not tell
	ColdStart         bool   // all nodes begin cold, and no list is known
	Rate              float64
	Duration          float64
	DynamicTenants    bool // tenants come and go
	Members           bool // schedulers know each other
	WorkingSetSize    int  // nodes in a scheduler's working set at least, 0: it works with all
	Faults            []Fault
}

// faultKind is a kind of fault: whom it hits, and the ranges its time and size are drawn from.
type faultKind struct {
	name                     string
	targets                  string // s: scheduler, n: node, o: owner, l: list; two letters: the way between
	minDuration, maxDuration float64
	minSize, maxSize         float64
	weight                   int
}

// faultKinds are all that can go wrong.
var faultKinds = []faultKind{
	{"kill", "s", 100, 1500, 0, 0, 4},             // kill -9, back after a while
	{"kill-in", "s", 100, 1500, 1, 60, 4},         // in the midst of what it does, so many effects later
	{"power", "s", 300, 2000, 0, 0, 2},            // with the machine's power
	{"pause", "s", 200, 2500, 0, 0, 3},            // it stands still
	{"jump", "s", 0, 0, -5000, 5000, 1},           // its wall clock jumps
	{"panic", "s", 0, 0, 1, 40, 2},                // a shard panics, so many effects later
	{"shards", "s", 0, 0, 1, 3, 3},                // the number of shards changes
	{"reset", "sn", 0, 0, 0, 0, 5},                // connections break
	{"half", "sn", 0, 0, 0, 0, 3},                 // and one end is not told
	{"cut", "sn", 50, 4000, 0, 0, 4},              // nothing passes
	{"refuse", "sn", 100, 3000, 0, 0, 2},          // connections are refused
	{"slow", "sn", 200, 3000, 20, 300, 3},         // the way takes longer
	{"stall", "sn", 100, 2500, 0, 0, 2},           // the node does not read
	{"stall-back", "sn", 100, 2500, 0, 0, 2},      // the scheduler does not read what it sends
	{"reset", "so", 0, 0, 0, 0, 2},                // an owner's connection breaks
	{"stall-back", "so", 100, 3000, 0, 0, 1},      // an owner does not read
	{"cut", "sl", 100, 5000, 0, 0, 2},             // the list is out of reach
	{"list-away", "l", 300, 5000, 0, 0, 2},        // and says so
	{"list-behind", "l", 500, 4000, 500, 3000, 2}, // its news are late
	{"hang", "n", 200, 4000, 0, 0, 3},
	{"mute", "n", 300, 4000, 0.2, 1, 4},       // answers are lost
	{"errors", "n", 300, 4000, 0.2, 1, 2},     // a job type fails with an error
	{"silence", "n", 300, 4000, 0.2, 1, 2},    // or with none
	{"restart", "n", 10, 1500, 0, 0, 4},       // it comes back cold
	{"lost", "n", 3000, 8000, 0, 0, 1},        // and not for long
	{"drain", "n", 500, 4000, 0, 0, 3},        // bit by bit
	{"hall", "", 200, 3000, 0, 0, 1},          // half of the nodes are lost and come back cold
	{"flood", "", 300, 1500, 2, 8, 2},         // more asks
	{"withdraw", "o", 0, 0, 0.2, 1, 2},        // owners give up a part of what they want
	{"window", "n", 3000, 5000, 500, 2000, 2}, // maintenance, with a lead
	{"deaf", "ss", 500, 8000, 0, 0, 0},        // where schedulers know each other: one hears nothing of another
	{"lossy", "ss", 500, 8000, 0.1, 0.6, 0},   // or not all
	{"tenant-pause", "t", 500, 5000, 0, 0, 0}, // where tenants come and go: one takes nothing for a while
	{"tenant-limit", "t", 0, 0, 1, 30, 0},     // so many of it may be open
	{"tenant-remove", "t", 0, 0, 0, 1, 0},     // it is removed; with what runs, from 0.5 on
}

// Draw draws a script.
func Draw(seed uint64) Script {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	s := Script{
		Seed: seed, Nodes: 4 + rng.IntN(4), Schedulers: 1 + rng.IntN(2), Shards: 1 + rng.IntN(3), ListPolled: rng.IntN(2) == 0,
		ColdStart: rng.IntN(4) == 0, Rate: 15 + 25*rng.Float64(), Duration: 5000 + 4000*rng.Float64(),
		ConnectionSharing: []string{"shared", "shared", "own", "informed"}[rng.IntN(4)],
	}
	all := 0
	for _, k := range faultKinds {
		all += k.weight
	}
	for range 2 + rng.IntN(9) {
		x := rng.IntN(all)
		var k faultKind
		for _, k = range faultKinds {
			if x -= k.weight; x < 0 {
				break
			}
		}
		f := Fault{
			At: float64(rng.IntN(int(s.Duration))), Kind: k.name, Duration: truncate(k.minDuration + (k.maxDuration-k.minDuration)*rng.Float64()*rng.Float64()),
			Size: truncate(k.minSize + (k.maxSize-k.minSize)*rng.Float64()),
		}
		if k.maxSize <= 1 {
			f.Size = float64(int(100*(k.minSize+(k.maxSize-k.minSize)*rng.Float64()))) / 100
		}
		who := func(letter byte) string {
			switch letter {
			case 's':
				return fmt.Sprint("s", rng.IntN(s.Schedulers))
			case 'n':
				return fmt.Sprint("n", 1+rng.IntN(s.Nodes))
			case 'o':
				return fmt.Sprint("o", rng.IntN(s.Schedulers*clientsPerScheduler))
			}
			return "list"
		}
		if len(k.targets) > 0 {
			f.Target = who(k.targets[0])
		}
		if len(k.targets) > 1 {
			f.Peer = who(k.targets[1])
		}
		s.Faults = append(s.Faults, f)
	}
	s.addTenantFaults()
	s.addMembershipFaults()
	slices.SortStableFunc(s.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return s
}

// addTenantFaults lets tenants come and go in some of the scripts, by chance of its own: the other scripts stay as they are.
func (s *Script) addTenantFaults() {
	rng := rand.New(rand.NewPCG(s.Seed, 0xc1b5))
	if s.DynamicTenants = rng.IntN(3) == 0; !s.DynamicTenants {
		return
	}
	of := faultKinds[len(faultKinds)-3:]
	for range 1 + rng.IntN(3) {
		k := of[rng.IntN(len(of))]
		s.Faults = append(s.Faults, Fault{
			At: float64(rng.IntN(int(s.Duration))), Kind: k.name, Target: tenantNames[rng.IntN(len(tenantNames))],
			Duration: truncate(k.minDuration + (k.maxDuration-k.minDuration)*rng.Float64()), Size: float64(int(100*(k.minSize+(k.maxSize-k.minSize)*rng.Float64()))) / 100,
		})
	}
}

// addMembershipFaults lets three schedulers know each other in some of the scripts, by chance of its own too.
func (s *Script) addMembershipFaults() {
	rng := rand.New(rand.NewPCG(s.Seed, 0x3e33))
	if s.Members = rng.IntN(3) == 0; !s.Members {
		return
	}
	s.Schedulers = 3
	for range rng.IntN(4) {
		a := rng.IntN(3)
		f := Fault{
			At: float64(rng.IntN(int(s.Duration))), Kind: "deaf", Target: fmt.Sprint("s", a), Peer: fmt.Sprint("s", (a+1+rng.IntN(2))%3),
			Duration: truncate(500 + 7500*rng.Float64()), Size: float64(int(60*rng.Float64())) / 100,
		}
		if rng.IntN(2) == 0 {
			f.Kind = "lossy"
		}
		s.Faults = append(s.Faults, f)
	}
	for range rng.IntN(2) {
		s.Faults = append(s.Faults, Fault{At: float64(rng.IntN(int(s.Duration))), Kind: "kill", Target: "s2", Duration: truncate(100 + 4000*rng.Float64())})
	}
}

func truncate(v float64) float64 { return float64(int(v)) }

const header = "ravenpond-script 1"

// String writes the script as Parse reads it.
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
	for _, f := range s.Faults {
		a, z := f.Target, f.Peer
		if a == "" {
			a = "-"
		}
		if z == "" {
			z = "-"
		}
		fmt.Fprintf(&b, "fault %g %s %s %s %g %g\n", f.At, f.Kind, a, z, f.Duration, f.Size)
	}
	return b.String()
}

// ParseFault reads a fault as it stands in a script, behind its word.
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

// Parse reads a script. Lines that begin with # say why it is there.
func Parse(in io.Reader) (s Script, err error) {
	lines := bufio.NewScanner(in)
	n, seen := 0, map[string]bool{}
	for lines.Scan() {
		n++
		text := strings.TrimSpace(lines.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		if !seen["opening"] {
			if seen["opening"] = true; text != header {
				return s, fmt.Errorf("script: %.40q, expected %q", text, header)
			}
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		if word != "fault" && seen[word] {
			return s, fmt.Errorf("script, line %d: %s stands twice", n, word)
		}
		seen[word] = true
		into, ok := map[string][]any{
			"seed": {&s.Seed}, "nodes": {&s.Nodes}, "schedulers": {&s.Schedulers}, "shards": {&s.Shards, &s.ConnectionSharing},
			"asked": {&s.ListPolled}, "cold": {&s.ColdStart}, "rate": {&s.Rate}, "lasts": {&s.Duration}, "hosted": {&s.DynamicTenants}, "members": {&s.Members},
			"set": {&s.WorkingSetSize},
		}[word]
		switch {
		case word == "fault":
			var f Fault
			f, err = ParseFault(rest)
			s.Faults = append(s.Faults, f)
		case !ok:
			err = fmt.Errorf("unknown word %q", word)
		default:
			_, err = fmt.Sscan(rest, into...)
		}
		if err != nil {
			return s, fmt.Errorf("script, line %d: %.60q: %w", n, text, err)
		}
	}
	if err := lines.Err(); err != nil {
		return s, fmt.Errorf("script: %w", err)
	}
	return s, s.Check()
}

// Check tells what is wrong with a script.
func (s *Script) Check() error {
	switch {
	case s.Nodes < 1 || s.Nodes > 2000 || s.Schedulers < 1 || s.Schedulers > 4096 || s.Shards < 1 || s.Shards > maxShards:
		return fmt.Errorf("script: 1 to 2000 nodes, 1 to 4096 schedulers and 1 to %d shards are expected", maxShards)
	case !(s.Rate > 0) || !(s.Duration > 0) || s.Rate > 1e5 || s.Duration > 1e8:
		return errors.New("script: rate and lasts above 0 are expected")
	case s.WorkingSetSize < 0 || s.WorkingSetSize > 0 && s.ConnectionSharing == "own":
		return errors.New("script: a set of 0 nodes or more is expected, of shards that share connections")
	case s.ConnectionSharing != "shared" && s.ConnectionSharing != "own" && s.ConnectionSharing != "informed":
		return fmt.Errorf("script: shards share %q: shared, own or informed is expected", s.ConnectionSharing)
	}
	for _, f := range s.Faults {
		if !(f.At >= 0) || !(f.Duration >= 0) {
			return fmt.Errorf("script: fault %s: times from 0 on are expected", f.Kind)
		}
		for _, name := range []string{f.Target, f.Peer} {
			var i int
			ok := name == "" || name == "list" || s.DynamicTenants && slices.Contains(tenantNames, name)
			if _, err := fmt.Sscanf(name, "s%d", &i); err == nil {
				ok = i >= 0 && i < s.Schedulers
			} else if _, err := fmt.Sscanf(name, "n%d", &i); err == nil {
				ok = i >= 1 && i <= s.Nodes
			} else if _, err := fmt.Sscanf(name, "o%d", &i); err == nil {
				ok = i >= 0 && i < s.Schedulers*clientsPerScheduler
			}
			if !ok {
				return fmt.Errorf("script: fault %s: nobody is called %q here", f.Kind, name)
			}
		}
	}
	return nil
}

// Shrink takes out of a script what is not needed for it to fail: faults first, then time and nodes.
func Shrink(s Script, fails func(Script) bool, progress func(Script)) Script {
	attempt := func(t Script) bool {
		if t.Check() == nil && fails(t) {
			s = t
			progress(s)
			return true
		}
		return false
	}
	for size := max(1, len(s.Faults)/2); ; {
		for at := 0; at+size <= len(s.Faults); {
			t := s
			t.Faults = slices.Delete(slices.Clone(s.Faults), at, at+size)
			if !attempt(t) {
				at++
			}
		}
		if size == 1 {
			break
		}
		size /= 2
	}
	for _, smaller := range []func(t *Script){
		func(t *Script) { t.Schedulers-- },
		func(t *Script) { t.Shards-- },
		func(t *Script) { t.Nodes-- },
		func(t *Script) { t.Rate *= 0.7 },
		func(t *Script) { t.Duration *= 0.8 },
		func(t *Script) { t.ColdStart = false },
		func(t *Script) { t.ListPolled = false },
		func(t *Script) { t.DynamicTenants = false },
		func(t *Script) { t.Members = false },
		func(t *Script) { t.ConnectionSharing = "shared" },
		func(t *Script) { t.WorkingSetSize = 0 },
	} {
		for range 6 {
			t := s
			smaller(&t)
			if fmt.Sprint(t) == fmt.Sprint(s) || !attempt(t) {
				break
			}
		}
	}
	for i := range s.Faults {
		for range 4 {
			t := s
			t.Faults = slices.Clone(s.Faults)
			t.Faults[i].Duration = truncate(t.Faults[i].Duration / 2)
			if t.Faults[i].Duration == s.Faults[i].Duration || !attempt(t) {
				break
			}
		}
	}
	return s
}
