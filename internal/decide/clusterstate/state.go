// Package clusterstate is the replicated state machine of a site's schedulers. Commands go in, in the order in which the consensus commits
// them; the new state, and a Refusal for each command without effect, come out. The same commands lead to the same bytes on every replica.
// The state holds which process is active in which incarnation under which epoch and in which zone, the state of each zone, and the plan
// by which other zones take over the load of zones that are left.
//
// Commands may arrive late, twice, or from an older incarnation of their proposer. A command names its proposer's incarnation and a number
// that grows, so that one that arrives again has no effect; one about a zone names the version at which the proposer saw that zone's state.
// No command can bring the state into one that Check rejects.
//
// A State is not safe for concurrent use while Apply runs. A State to which nothing is applied any more may be read by any goroutine.
package clusterstate

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Bounds of the state.
const (
	maxProcesses = 1024
	maxZones     = 256
	maxShares    = 2048
)

// Process is a process that is active, or was.
type Process struct {
	Name, Zone, Region string
	Incarnation        uint64
	Epoch              uint64 // given to this incarnation alone
	Inactive           bool

	commandNumber      uint64 // of its last command
	commandIncarnation uint64 // that proposed it
	commandRefusal     Refusal
}

// Zone is the state of a zone.
type Zone struct {
	Name           string
	State          ZoneState
	Since          float64 // ms
	Version        uint64  // of the cluster state when State was set
	RecentClosings uint32
	ClosedUntil    float64 // ms; the zone does not reopen before
	Cause          string  // for operators
}

// Route leads from a zone that is left to one that takes over load.
type Route struct{ From, To string }

// State is the replicated state at one version. Only Apply changes it.
type State struct {
	version     uint64
	now         float64
	lastEpoch   uint64
	processes   map[string]Process
	zones       map[string]Zone
	shares      map[Route]uint32 // cores
	planVersion uint64
}

// New returns an empty state.
func New() *State {
	return &State{processes: map[string]Process{}, zones: map[string]Zone{}, shares: map[Route]uint32{}}
}

// Version returns the version of the last command, in the count of the consensus.
func (s *State) Version() uint64 { return s.version }

// Now returns the latest time that a command named, ms.
func (s *State) Now() float64 { return s.now }

// Process returns what is known of a process.
func (s *State) Process(name string) (Process, bool) {
	p, ok := s.processes[name]
	return p, ok
}

// Processes returns all processes, sorted by name.
func (s *State) Processes() []Process {
	return slices.SortedFunc(maps.Values(s.processes), func(x, y Process) int { return cmp.Compare(x.Name, y.Name) })
}

// ActiveProcesses returns the number of active processes in a zone.
func (s *State) ActiveProcesses(zone string) (n int) {
	for _, p := range s.processes {
		if !p.Inactive && p.Zone == zone {
			n++
		}
	}
	return n
}

// Zone returns the state of a zone. One of which nothing is known is open.
func (s *State) Zone(name string) Zone {
	if z, ok := s.zones[name]; ok {
		return z
	}
	return Zone{Name: name}
}

// Zones returns all zones of which something is known, sorted by name.
func (s *State) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
}

// Share returns how many cores of the load leaving one zone another takes over.
func (s *State) Share(from, to string) uint32 { return s.shares[Route{from, to}] }

// Plan returns the version at which the plan was set, and its shares in cores, sorted by route.
func (s *State) Plan() (version uint64, shares iter.Seq2[Route, uint32]) {
	return s.planVersion, func(yield func(Route, uint32) bool) {
		for _, route := range s.sortedRoutes() {
			if !yield(route, s.shares[route]) {
				return
			}
		}
	}
}

func (s *State) sortedRoutes() []Route {
	return slices.SortedFunc(maps.Keys(s.shares), func(x, y Route) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To))
	})
}

// LastResult returns the number and result of the last command that an incarnation of a process proposed, and false if there is none.
func (s *State) LastResult(name string, incarnation uint64) (number uint64, refusal Refusal, ok bool) {
	p, ok := s.processes[name]
	if !ok || p.commandIncarnation != incarnation {
		return 0, 0, false
	}
	return p.commandNumber, p.commandRefusal, true
}

// Clone returns a copy that shares nothing with s.
func (s *State) Clone() *State {
	c := *s
	c.processes, c.zones, c.shares = maps.Clone(s.processes), maps.Clone(s.zones), maps.Clone(s.shares)
	return &c
}
