// Package site reads the site file, in which an operator describes a cluster: its zones, machine kinds, job classes, tenants,
// limits and listeners. Each fault of a file is reported with its line.
//
// Grammar says which elements and attributes a file may have; Schema is the XML schema of the same grammar. A Config is
// read once and not changed afterwards, so any number of goroutines may read it. Times and durations are milliseconds,
// unless their type says otherwise.
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

// Example is a site file to start from.
//
//go:embed example.xml
var Example string

// ConnectionMode says what the shards of a process share.
type ConnectionMode int

// Modes of connections.
const (
	OwnConnections    ConnectionMode = iota // each shard has its connections to all nodes
	SharedConnections                       // all shards send over one connection to each node
	SharedReports                           // and a load report that one shard receives is passed to all
)

// Config is what a site file says. Slices that belong together have the same order.
type Config struct {
	Name    string
	Cluster logic.Cluster // what the policy needs of the site

	Zones        []string
	Regions      []string              // of the zones, empty where the file names none
	ZoneHolds    map[string]string     // zones that an operator holds "open" or "closed"
	RouteLatency map[[2]string]float64 // one way from zone to zone, the same in both directions; empty: no zone is nearer than another
	MachineKinds []string

	JobClasses    []string
	Deadlines     []float64          // by job class, for requests that name none
	DrainPolicies []drainpace.Policy // by job class, how its tasks leave a node that is taken out

	Tenants          []string
	Shares           []float64 // of the tenants
	MaxHostedTenants int       // how many tenants there may be at once, if they come and go; 0: those of the site file

	AnswerMargin float64 // an answer is sent at least so long before the client's deadline
	SettleTime   float64 // a client waits so long before it asks again where a second start could do harm
	DrainGrace   float64 // from the notice that a node drains until nothing may be sent to it
	Maintenance  calendar.Limits

	MaxOpen     int // allocations without a final answer at once
	MaxClients  int // connections of clients
	ClientQueue int // messages that wait for one client
	NodeQueue   int // bytes that wait for one node

	Shards, MaxShards int // at the start, and until the next start
	Connections       ConnectionMode
	ShardBy           int // how requests are spread over shards, a shardplacement.Policy

	ListAddress   string // of the node list
	ClientsListen string
	ClientsTLS    bool   // clients connect by TLS
	AdminListen   string // of the administration, empty: none
	StatsListen   string // of the metrics over HTTP, empty: none

	Members    Members
	WorkingSet WorkingSet
}

// WorkingSet says how many nodes a scheduler works with. If MinNodes is 0, it works with all.
type WorkingSet struct {
	MinNodes      int     // nodes in a scheduler's set at least
	Coverage      float64 // sets that each node is in at least
	SpareFactor   float64 // nodes for each machine that a scheduler's own tasks would fill
	NodesPerStart float64 // nodes for each task start a second
	MinPerStratum int     // nodes of each zone and machine kind in a set at least
	NarrowAfter   float64 // a set must have been larger than needed for so long before it shrinks
}

// Members says how schedulers know each other. If Listen is empty, they don't.
type Members struct {
	Listen     string   // IP address and port for datagrams
	Advertise  string   // the address at which others reach it, if that is another
	Seeds      []string // addresses that are contacted first
	Key        string   // file of the site's member key
	Voters     []string // names of the schedulers that vote on the replicated cluster state, sorted; none: there is no such state
	LeasedPart float64  // part of the tenants' quotas that is leased to the schedulers that are there, from 0 to 1
}

// FaultsError is returned for a site file with faults.
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

// Load reads a site file. If it has faults, the error is a FaultsError.
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

// ErrRestartNeeded is returned if a changed site file takes effect at the next start alone.
var ErrRestartNeeded = errors.New("more than the count of shards has changed: start the scheduler anew")

// Resized is the number of shards that a changed site file wants. All else is read at the start alone: if something else
// has changed, the error is ErrRestartNeeded.
func (c *Config) Resized(changed *Config) (shards int, err error) {
	unchanged := *changed
	unchanged.Shards = c.Shards
	if !reflect.DeepEqual(*c, unchanged) {
		return 0, ErrRestartNeeded
	}
	return changed.Shards, nil
}
