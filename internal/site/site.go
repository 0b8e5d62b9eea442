// Package site reads the site file, in which an operator describes a cluster: its zones, machine kinds, job classes, tenants,
// limits and listeners. Each fault in a file is reported with its line number.
//
// Grammar defines the elements and attributes of a file; Schema is the XML schema generated from it. A Config is not changed
// after it was read, so any number of goroutines may use it. Times and durations are in milliseconds unless their type says
// otherwise.
package site

import (
	_ "embed"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/strictxml"
	"ravenpond/logic"
)

// Schema is the XML schema of site files, generated from Grammar.
//
//go:embed site.xsd
var Schema string

// Example is an example of a site file.
//
//go:embed example.xml
var Example string

// ConnectionMode is how the shards of a process share connections to nodes and load reports.
type ConnectionMode int

// Modes of connections.
const (
	OwnConnections    ConnectionMode = iota // each shard has its own connections to all nodes
	SharedConnections                       // all shards send over one connection to each node
	SharedReports                           // like SharedConnections, and a load report that one shard receives is passed to all shards
)

// Config is the content of a site file. Slices that belong together have the same order.
type Config struct {
	Name    string
	Cluster logic.Cluster // the cluster as the placement policy needs it

	Zones        []string
	Regions      []string              // by zone, empty where the file names no region
	ZoneHolds    map[string]string     // "open" or "closed", by zone, for zones whose state an operator has fixed
	RouteLatency map[[2]string]float64 // one way, by source and target zone, the same in both directions; empty if all zones are equally near
	MachineKinds []string

	JobClasses    []string
	Deadlines     []float64          // by job class, for requests without a deadline
	DrainPolicies []drainpace.Policy // by job class, how its tasks leave a draining node

	Tenants          []string
	Shares           []float64 // by tenant, each a fraction of the whole
	MaxHostedTenants int       // maximum number of tenants at once if tenants are added and removed at run time; 0 if the site file names the tenants

	AnswerMargin float64 // minimum time between sending an answer and the client's deadline
	SettleTime   float64 // time that a client waits before it retries a request where a second start could do harm
	DrainGrace   float64 // time after the notice that a node drains during which attempts may still be sent to it
	Maintenance  calendar.Limits

	MaxOpen     int // maximum number of allocations without a final answer
	MaxClients  int // maximum number of connections of clients
	ClientQueue int // maximum number of messages that wait for one client
	NodeQueue   int // maximum number of bytes that wait for one node

	Shards, MaxShards int // number at the start, and maximum until the next start
	Connections       ConnectionMode
	ShardBy           int // how requests are distributed over shards, a shardplacement.Policy

	ListAddress   string // address of the node list
	ClientsListen string
	ClientsTLS    bool   // clients connect over TLS
	AdminListen   string // address of the administration API; empty if there is none
	StatsListen   string // address at which metrics are served over HTTP; empty if there is none

	Members    Members
	WorkingSet WorkingSet
}

// WorkingSet configures the number of nodes that a scheduler uses. If MinNodes is 0, it uses all nodes.
type WorkingSet struct {
	MinNodes      int     // minimum number of nodes in a scheduler's set
	Coverage      float64 // minimum number of sets that each node belongs to
	SpareFactor   float64 // number of nodes per machine that the scheduler's own tasks would fill
	NodesPerStart float64 // number of nodes per task started per second
	MinPerStratum int     // minimum number of nodes of each zone and machine kind in a set
	NarrowAfter   float64 // time for which a set must have been larger than needed before it shrinks
}

// Members configures the membership protocol of the schedulers. If Listen is empty, it is not used.
type Members struct {
	Listen         string   // IP address and port for datagrams
	Advertise      string   // the address at which other schedulers reach this one, if it differs from Listen
	Seeds          []string // addresses that are contacted first
	Key            string   // path of the file with the site's member key
	Voters         []string // sorted names of the schedulers that vote on the replicated cluster state; empty if there is no such state
	LeasedFraction float64  // fraction of the tenants' quotas that is leased to the schedulers present, from 0 to 1
}

// FaultsError reports the faults of a site file.
type FaultsError struct {
	Path   string
	Faults []strictxml.Fault
}

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "site file %s: %d faults", e.Path, len(e.Faults))
	for _, fault := range e.Faults {
		fmt.Fprintf(&b, "\n  %s", fault)
	}
	return b.String()
}

// Load reads a site file from a path. If the file has faults, the error is a *FaultsError.
func Load(path string) (config *Config, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	defer file.Close() //nolint:errcheck // nothing was written
	config, faults := Read(file)
	if len(faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	return config, nil
}

// ErrRestartNeeded is returned if a change of the site file takes effect only at the next start.
var ErrRestartNeeded = errors.New("settings other than the number of shards have changed: restart the scheduler")

// Resized returns the number of shards in a changed site file. Everything else takes effect only at the start: if anything
// else has changed, the error is ErrRestartNeeded.
func (c *Config) Resized(changed *Config) (shards int, err error) {
	unchanged := *changed
	unchanged.Shards = c.Shards
	if !reflect.DeepEqual(*c, unchanged) {
		return 0, ErrRestartNeeded
	}
	return changed.Shards, nil
}
