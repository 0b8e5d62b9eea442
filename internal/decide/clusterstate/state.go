// Package clusterstate implements the replicated state machine of a site's schedulers. Package consensus commits commands; they are applied
// in the order of their commits. Applying a command returns a Refusal that says why it had no effect, if so. The same commands lead to the
// same encoded state on every replica. The state contains each process with its incarnation, epoch and zone and whether it is active, the
// state of each zone, and the plan, which says how much load other zones take over from zones that load leaves.
//
// Commands may arrive late, twice, or from an older incarnation of their proposer. A command carries its proposer's incarnation and an
// increasing number, so that a repeated command has no effect. A command about a zone also carries the version at which the proposer saw
// the zone's state, and is refused if that state has changed since. No command can lead to a state that Check rejects.
//
// A State is not safe for concurrent use while Apply runs. Once nothing is applied to it any more, any goroutine may read it.
package clusterstate

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Limits of the state's size.
const (
	maxProcesses = 1024
	maxZones     = 256
	maxShares    = 2048
)

// Process is a process that is active, or was active.
type Process struct {
	Name, Zone, Region string
	Incarnation        uint64
	Epoch              uint64 // unique to this activation
	Inactive           bool

	commandNumber      uint64  // number of the process's last command
	commandIncarnation uint64  // incarnation that proposed that command
	commandRefusal     Refusal // result of that command
}

// Zone is the state of a zone.
type Zone struct {
	Name           string
	State          ZoneState
	Since          float64 // ms
	Version        uint64  // version of the cluster state at which State was set
	RecentClosings uint32  // each one doubles the next hold-down
	ClosedUntil    float64 // ms; the zone does not reopen before this time
	Cause          string  // shown to operators
}

// Route leads from a zone that load leaves to a zone that takes the load over.
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

// Version returns the version of the last command, which is its index in the Raft log.
func (s *State) Version() uint64 { return s.version }

// Now returns the latest time in ms at which any of the applied commands was proposed.
func (s *State) Now() float64 { return s.now }

// Process returns a process by name, and false if it is unknown.
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

// Zone returns the state of a zone. A zone whose state was never set is open.
func (s *State) Zone(name string) Zone {
	if z, ok := s.zones[name]; ok {
		return z
	}
	return Zone{Name: name}
}

// Zones returns all zones whose state was ever set, sorted by name.
func (s *State) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
}

// Share returns how many cores of the load that leaves one zone another zone takes over.
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

// LastResult returns the number and result of the last command that an incarnation of a process proposed. It returns false if the process is
// unknown or another incarnation proposed its last command.
func (s *State) LastResult(name string, incarnation uint64) (number uint64, refusal Refusal, ok bool) {
	p, ok := s.processes[name]
	if !ok || p.commandIncarnation != incarnation {
		return 0, 0, false
	}
	return p.commandNumber, p.commandRefusal, true
}

// Clone returns a copy that shares no memory with s that can change.
func (s *State) Clone() *State {
	c := *s
	c.processes, c.zones, c.shares = maps.Clone(s.processes), maps.Clone(s.zones), maps.Clone(s.shares)
	return &c
}
