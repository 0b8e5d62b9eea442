// Package site reads the site file: what an operator says of the cluster, its job types, tenants, rules and
// listeners. Every fault is named with its line.
package site

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/strictxml"
	"ravenpond/logic"
)

// Schema is the XML schema of site files, written from the same grammar that the reader follows.
//
//go:embed site.xsd
var Schema string

// Example is a site file to start from.
//
//go:embed example.xml
var Example string

const hour = 3600e3

// Grammar is the site file's.
var Grammar = &strictxml.Element{
	Name: "site", Attrs: []strictxml.Attr{{Name: "name", Kind: strictxml.Name, Required: true}},
	Children: []*strictxml.Element{
		{Name: "cluster", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "schedulers", Kind: strictxml.Integer, Required: true, Min: 1, Max: 100000},
			{Name: "list", Kind: strictxml.Enum, Required: true, Values: []string{"told", "asked"}},
			{Name: "ask-every", Kind: strictxml.Duration, Default: "10s", Min: 100, Max: hour},
			{Name: "step", Kind: strictxml.Duration, Default: "2ms", Min: 0.1, Max: 100},
			{Name: "tries", Kind: strictxml.Integer, Default: "4", Min: 1, Max: 200},
			{Name: "recall", Kind: strictxml.Bool, Default: "true"},
			{Name: "probe", Kind: strictxml.Bool, Default: "true"},
			{Name: "cores-limit", Kind: strictxml.Number, Required: true, Min: 0.1, Max: 100},
			{Name: "memory-limit", Kind: strictxml.Number, Required: true, Min: 0.1, Max: 100},
			{Name: "list-has-room", Kind: strictxml.Bool, Default: "true"},
			{Name: "reports", Kind: strictxml.Enum, Default: "asked", Values: []string{"asked", "used"}},
			{Name: "reports-come", Kind: strictxml.Enum, Default: "answers", Values: []string{"answers", "probes"}},
			{Name: "pushes-out", Kind: strictxml.Bool, Default: "false"},
			{Name: "mean-cores", Kind: strictxml.Number, Required: true, Min: 1e-6, Max: 1e6},
			{Name: "mean-memory", Kind: strictxml.Number, Required: true, Min: 1e-6, Max: 1e9},
			{Name: "fleet-price", Kind: strictxml.Number, Default: "0", Min: 0, Max: 1e6},
		}},
		{Name: "rules", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "drain-grace", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "cold-bears", Kind: strictxml.Number, Required: true, Min: 1, Max: 1e6},
			{Name: "cold-for", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "cold-window", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "answer-margin", Kind: strictxml.Duration, Default: "100ms", Min: 1, Max: 60e3},
			{Name: "settle", Kind: strictxml.Duration, Default: "3s", Min: 1, Max: hour},
		}},
		{Name: "zone", MinOccurs: 1, Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "region", Kind: strictxml.Name},
			{Name: "hold", Kind: strictxml.Enum, Values: []string{"open", "closed"}},
		}},
		{Name: "way", Attrs: []strictxml.Attr{
			{Name: "from", Kind: strictxml.Name, Required: true},
			{Name: "to", Kind: strictxml.Name, Required: true},
			{Name: "takes", Kind: strictxml.Duration, Required: true, Min: 0, Max: hour},
		}},
		{Name: "machine", MinOccurs: 1, Key: "kind", Attrs: []strictxml.Attr{
			{Name: "kind", Kind: strictxml.Name, Required: true},
			{Name: "cores", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e6},
			{Name: "memory", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e9},
		}},
		{Name: "job-type", MinOccurs: 1, Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "effect", Kind: strictxml.Enum, Required: true, Values: []string{"restartable", "tokened", "run-once"}},
			{Name: "group", Kind: strictxml.Enum, Values: []string{"all", "zone", "cell"}},
			{Name: "window", Kind: strictxml.Duration, Min: 1, Max: 24 * hour},
			{Name: "target", Kind: strictxml.Duration, Required: true, Min: 1, Max: hour},
			{Name: "expiry", Kind: strictxml.Duration, Required: true, Min: 10, Max: hour},
			{Name: "value", Kind: strictxml.Number, Required: true, Min: 0, Max: 1e9},
			{Name: "machine", Kind: strictxml.Name},
			{Name: "spread", Kind: strictxml.Enum, Default: "anywhere", Values: []string{"anywhere", "node", "cell", "zone"}},
			{Name: "most", Kind: strictxml.Integer, Min: 1, Max: 1e6},
			{Name: "drain", Kind: strictxml.Enum, Values: []string{"early", "late", "run-out"}},
		}},
		{Name: "tenant", Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Required: true},
			{Name: "share", Kind: strictxml.Number, Required: true, Min: 0, Max: 1},
		}},
		{Name: "hosting", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "tenants", Kind: strictxml.Integer, Required: true, Min: 1, Max: 100000},
			{Name: "admin", Kind: strictxml.Address},
		}},
		{Name: "limits", MaxOccurs: 1, MinOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "open", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e7},
			{Name: "owners", Kind: strictxml.Integer, Default: "1000", Min: 1, Max: 1e6},
			{Name: "owner-queue", Kind: strictxml.Integer, Default: "20000", Min: 16, Max: 1e7},
			{Name: "node-queue", Kind: strictxml.Integer, Default: "262144", Min: 4096, Max: 1 << 30},
		}},
		{Name: "drains", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "fleet", Kind: strictxml.Number, Default: "0.25", Min: 0, Max: 1},
			{Name: "zone", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "machine", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "cold", Kind: strictxml.Integer, Default: "20", Min: 1, Max: 1e6},
			{Name: "margin", Kind: strictxml.Number, Default: "1.2", Min: 0.1, Max: 10},
			{Name: "guard", Kind: strictxml.Duration, Default: "5s", Min: 0, Max: hour},
		}},
		{Name: "shards", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "count", Kind: strictxml.Integer, Required: true, Min: 1, Max: 64},
			{Name: "most", Kind: strictxml.Integer, Min: 1, Max: 64},
			{Name: "connections", Kind: strictxml.Enum, Default: "shared", Values: []string{"own", "shared", "informed"}},
			{Name: "place", Kind: strictxml.Enum, Default: "service", Values: []string{"service", "tenant", "in-turn"}},
		}},
		{Name: "members", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "listen", Kind: strictxml.Address, Required: true},
			{Name: "seeds", Kind: strictxml.Text, Required: true},
			{Name: "key", Kind: strictxml.Text, Required: true},
			{Name: "advertise", Kind: strictxml.Address},
			{Name: "lends", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "stewards", Kind: strictxml.Text},
		}},
		{Name: "working-set", MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "nodes-least", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e6},
			{Name: "sets-least", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e5},
			{Name: "spare", Kind: strictxml.Number, Default: "8", Min: 1, Max: 1e5},
			{Name: "per-start", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e3},
			{Name: "spread-least", Kind: strictxml.Integer, Default: "3", Min: 1, Max: 1e4},
			{Name: "narrow-after", Kind: strictxml.Duration, Default: "30s", Min: 100, Max: hour},
		}},
		{Name: "counts", MaxOccurs: 1, Attrs: []strictxml.Attr{{Name: "listen", Kind: strictxml.Address, Required: true}}},
		{Name: "node-list", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{{Name: "address", Kind: strictxml.Address, Required: true}}},
		{Name: "owners", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
			{Name: "listen", Kind: strictxml.Address, Required: true},
			{Name: "tls", Kind: strictxml.Bool, Default: "false"},
		}},
	},
}

// ConnectionMode says what the shards of a process share.
type ConnectionMode int

const (
	OwnConnections    ConnectionMode = iota // each has its connections to all nodes
	SharedConnections                       // one connection a node carries the tries of all
	SharedReports                           // and reports that one hears are told to all
)

// Config is what a site file says.
type Config struct {
	Name                            string
	Cluster                         logic.Cluster
	Zones, MachineKinds, JobClasses []string
	Regions                         []string              // of the zones, empty where the site file names none
	ZoneHolds                       map[string]string     // zones that an operator holds "open" or "closed"
	RouteLatency                    map[[2]string]float64 // ms one way from zone to zone, both ways alike; none: no zone is nearer than another
	Tenants                         []string
	Shares                          []float64
	MaxHostedTenants                int // tenants that come and go, so many at once; 0: those of the site file
	AdminListen                     string
	Deadlines                       []float64 // by job type, for owners that name none
	DrainGrace                      float64
	AnswerMargin, SettleTime        float64
	MaxOpen                         int
	MaxClients, ClientQueue         int
	NodeQueue                       int
	Maintenance                     calendar.Limits
	DrainManners                    []drainpace.Policy // by job type, how its work leaves a node that is taken out
	Shards, MaxShards               int                // at the start, and that may run until the next start
	Connections                     ConnectionMode
	ShardBy                         int // a shares.Way
	ListAddress                     string
	ClientsListen                   string
	StatsListen                     string // where counts are shown over HTTP, empty: nowhere
	ClientsTLS                      bool   // the owners' door speaks TLS
	Members                         Members
	WorkingSet                      WorkingSet
}

// WorkingSet says how many nodes a scheduler works with, if Least is not 0; else with all.
type WorkingSet struct {
	MinNodes      int     // nodes in a scheduler's set
	Coverage      float64 // sets that each node is in at least
	SpareFactor   float64 // nodes for each machine that a scheduler's own tasks would fill
	NodesPerStart float64 // nodes for each start a second
	MinPerStratum int     // nodes of each zone and machine kind in a set at least
	NarrowAfter   float64 // ms that a set must have been larger than needed before it shrinks
}

// Members says how schedulers know each other, if Listen is not empty.
type Members struct {
	Listen    string   // address of digits for datagrams
	Advertise string   // the address by which others reach it, where that is another
	Seeds     []string // addresses at which others are asked for first
	Key       string   // file of the site's member key
	// Voters are the schedulers, by name, who agree on the book that all follow; none: there is no book.
	Voters     []string
	LeasedPart float64 // part of tenants' limits that is lent to those who are there, from 0 to 1
}

// Load reads a site file. All faults are in the error, a line each.
func Load(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	defer f.Close()
	config, faults := Read(f)
	if len(faults) > 0 {
		var b strings.Builder
		fmt.Fprintf(&b, "site file %s: %d faults", path, len(faults))
		for _, fault := range faults {
			fmt.Fprintf(&b, "\n  %s", fault)
		}
		return nil, fmt.Errorf("%s", b.String())
	}
	return config, nil
}

// Read reads a site file and names what is wrong with it.
func Read(in io.Reader) (*Config, []strictxml.Fault) {
	root, faults := strictxml.Read(in, Grammar)
	if root == nil {
		return nil, faults
	}
	fault := func(it *strictxml.Item, format string, args ...any) {
		faults = append(faults, strictxml.Fault{Line: it.Line, Text: fmt.Sprintf(format, args...)})
	}
	cluster, rules, limits := root.Child("cluster"), root.Child("rules"), root.Child("limits")
	p := &Config{
		ZoneHolds: map[string]string{}, RouteLatency: map[[2]string]float64{}, Name: root.Text("name"), DrainGrace: rules.Number("drain-grace"), AnswerMargin: rules.Number("answer-margin"),
		SettleTime: rules.Number("settle"), MaxOpen: limits.Int("open"), MaxClients: limits.Int("owners"),
		ClientQueue: limits.Int("owner-queue"), NodeQueue: limits.Int("node-queue"),
		ListAddress: root.Child("node-list").Text("address"), ClientsListen: root.Child("owners").Text("listen"), ClientsTLS: root.Child("owners").Bool("tls"),
	}
	p.Cluster = logic.Cluster{
		Schedulers: cluster.Int("schedulers"), PollsList: cluster.Text("list") == "asked", ListMaxSilence: cluster.Number("ask-every"),
		MinRoundInterval: cluster.Number("step"), MaxAttempts: cluster.Int("tries"), CanCancel: cluster.Bool("recall"), CanProbe: cluster.Bool("probe"),
		CoresOvercommit: cluster.Number("cores-limit"), MemoryOvercommit: cluster.Number("memory-limit"),
		ListsReportLoad: cluster.Bool("list-has-room"), ReportsMeasureUse: cluster.Text("reports") == "used", ReportFields: []string{"x0", "x1"},
		ReportsPiggybacked: cluster.Text("reports-come") == "answers", SlowStartLimit: rules.Number("cold-bears"),
		SlowStartDuration: rules.Number("cold-for"), SlowStartWindow: rules.Number("cold-window"),
		Preempts: cluster.Bool("pushes-out"), MeanCores: cluster.Number("mean-cores"), MeanMemory: cluster.Number("mean-memory"),
		FleetPrice: cluster.Number("fleet-price"),
	}
	for _, z := range root.Children("zone") {
		p.Zones = append(p.Zones, z.Text("name"))
		p.Regions = append(p.Regions, z.Text("region"))
		if hold := z.Text("hold"); hold != "" {
			p.ZoneHolds[z.Text("name")] = hold
		}
	}
	for _, w := range root.Children("way") {
		from, to := w.Text("from"), w.Text("to")
		for _, z := range []string{from, to} {
			if !slices.Contains(p.Zones, z) {
				fault(w, "<way>: zone %q is not one of the site's", z)
			}
		}
		if _, twice := p.RouteLatency[[2]string{from, to}]; twice || from == to {
			fault(w, "<way>: from %q to %q again, or to itself", from, to)
		}
		p.RouteLatency[[2]string{from, to}], p.RouteLatency[[2]string{to, from}] = w.Number("takes"), w.Number("takes")
	}
	p.Maintenance = calendar.Limits{Fleet: 0.25, Zone: 0.5, Kind: 0.5, MaxWarmingUp: 20, LoadMargin: 1.2, ClockGuard: 5 * time.Second}
	if d := root.Child("drains"); d != nil {
		p.Maintenance = calendar.Limits{
			Fleet: d.Number("fleet"), Zone: d.Number("zone"), Kind: d.Number("machine"),
			MaxWarmingUp: d.Int("cold"), LoadMargin: d.Number("margin"), ClockGuard: time.Duration(d.Number("guard") * 1e6),
		}
	}
	p.Maintenance.WarmUp = time.Duration(rules.Number("cold-for") * 1e6)
	p.Shards, p.MaxShards, p.Connections = 1, 1, SharedConnections
	if sh := root.Child("shards"); sh != nil {
		p.Shards, p.Connections, p.ShardBy = sh.Int("count"), ConnectionMode(sh.EnumIndex("connections")), sh.EnumIndex("place")
		p.MaxShards = p.Shards
		if sh.Has("most") {
			p.MaxShards = sh.Int("most")
		}
		if p.MaxShards < p.Shards {
			fault(sh, "<shards>: most %d is less than count %d", p.MaxShards, p.Shards)
		}
	}
	kinds := map[string]int{}
	for i, m := range root.Children("machine") {
		kinds[m.Text("kind")] = i
		p.MachineKinds = append(p.MachineKinds, m.Text("kind"))
		p.Cluster.KindCores = append(p.Cluster.KindCores, m.Number("cores"))
		p.Cluster.KindMemory = append(p.Cluster.KindMemory, m.Number("memory"))
	}
	for _, j := range root.Children("job-type") {
		jt := logic.JobClass{
			Semantics: logic.RetrySemantics(j.EnumIndex("effect")), IdempotencyScope: logic.IdempotencyScope(j.EnumIndex("group")),
			IdempotencyWindow: optional(j, "window"), LatencyObjective: j.Number("target"), PriorityWeight: j.Number("value"), NodeKind: -1,
			Spread: logic.SpreadScope(j.EnumIndex("spread")), MaxPerScope: 1,
		}
		if name := j.Text("machine"); name != "" {
			k, ok := kinds[name]
			if !ok {
				fault(j, "<job-type>: no <machine> of kind %q", name)
			}
			jt.NodeKind = k
		}
		if tokened := jt.Semantics == logic.Idempotent; tokened != j.Has("group") || tokened != j.Has("window") {
			fault(j, "<job-type>: group and window stand where the effect is tokened, and only there")
		}
		if spread := jt.Spread != logic.Anywhere; spread != j.Has("most") {
			fault(j, "<job-type>: most stands where there is a spread, and only there")
		} else if spread {
			jt.MaxPerScope = j.Int("most")
		}
		if j.Number("target") > j.Number("expiry") {
			fault(j, "<job-type>: target delay beyond the expiry")
		}
		if j.Number("expiry") <= p.AnswerMargin+4*p.Cluster.MinRoundInterval {
			fault(j, "<job-type>: expiry within the answer margin: nothing of it could be taken")
		}
		manner := drainpace.DefaultPolicy(jt.Semantics)
		if j.Has("drain") {
			manner = drainpace.Policy(j.EnumIndex("drain"))
		}
		p.DrainManners = append(p.DrainManners, manner)
		p.JobClasses = append(p.JobClasses, j.Text("name"))
		p.Deadlines = append(p.Deadlines, j.Number("expiry"))
		p.Cluster.JobClasses = append(p.Cluster.JobClasses, jt)
	}
	if c := root.Child("counts"); c != nil {
		p.StatsListen = c.Text("listen")
	}
	if m := root.Child("members"); m != nil {
		p.Members = Members{Listen: m.Text("listen"), Seeds: strings.Fields(m.Text("seeds")), Key: m.Text("key"), Advertise: m.Text("advertise"), LeasedPart: m.Number("lends")}
		if _, err := netip.ParseAddrPort(p.Members.Listen); err != nil {
			fault(m, "<members>: listen %q: an address of digits and a port are expected", p.Members.Listen)
		}
		for _, a := range p.Members.Seeds {
			if at, err := netip.ParseAddrPort(a); err != nil || at.Port() == 0 {
				fault(m, "<members>: seed %q: an address of digits and a port are expected", a)
			}
		}
		if a := p.Members.Advertise; a != "" {
			if _, err := netip.ParseAddrPort(a); err != nil {
				fault(m, "<members>: advertise %q: an address of digits and a port are expected", a)
			}
		}
		p.Members.Voters = strings.Fields(m.Text("stewards"))
		slices.Sort(p.Members.Voters)
		if n := len(p.Members.Voters); n != 0 && n != 3 && n != 5 || len(slices.Compact(slices.Clone(p.Members.Voters))) != n {
			fault(m, "<members>: stewards %q: three or five schedulers by name are expected", m.Text("stewards"))
		}
		if len(p.Members.Seeds) == 0 {
			fault(m, "<members>: seeds: at least one address is expected")
		}
	}
	if w := root.Child("working-set"); w != nil {
		p.WorkingSet = WorkingSet{
			MinNodes: w.Int("nodes-least"), Coverage: w.Number("sets-least"), SpareFactor: w.Number("spare"),
			NodesPerStart: w.Number("per-start"), MinPerStratum: w.Int("spread-least"), NarrowAfter: w.Number("narrow-after"),
		}
		if p.Connections == OwnConnections {
			fault(w, "<working-set>: shards with connections of their own have no set in common")
		}
	}
	sum := 0.0
	for _, t := range root.Children("tenant") {
		p.Tenants = append(p.Tenants, t.Text("name"))
		p.Shares = append(p.Shares, t.Number("share"))
		sum += t.Number("share")
	}
	switch h := root.Child("hosting"); {
	case h != nil && len(p.Tenants) > 0:
		fault(h, "<hosting>: tenants come and go, so the site file names none")
	case h != nil: // the share of each is in the store; none is held to one beyond the lines
		p.MaxHostedTenants, p.AdminListen = h.Int("tenants"), h.Text("admin")
		p.Tenants = make([]string, p.MaxHostedTenants)
		p.Shares = slices.Repeat([]float64{1}, p.MaxHostedTenants)
	case len(p.Tenants) == 0:
		fault(root, "<site>: a <tenant> or <hosting> is expected")
	}
	if sum > 1+1e-9 {
		fault(root, "shares of the tenants sum to %g, over 1", sum)
	}
	if p.Cluster.PollsList && p.Cluster.ListMaxSilence < 4*p.DrainGrace/2 {
		fault(cluster, "<cluster>: ask-every %g ms leaves no time to ask again within the drain grace", p.Cluster.ListMaxSilence)
	}
	if len(p.Zones) > 255 || len(p.MachineKinds) > 255 {
		fault(root, "at most 255 zones and machine kinds")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return p, nil
}

// Resized tells the number of shards that a changed site file wants, if nothing else in it has changed: all else is
// read at the start alone.
func (p *Config) Resized(to *Config) (int, error) {
	same := *to
	same.Shards = p.Shards
	if !reflect.DeepEqual(*p, same) {
		return 0, errors.New("more than the count of shards has changed: start the scheduler anew")
	}
	return to.Shards, nil
}

// optional is a number that may be absent.
func optional(item *strictxml.Item, name string) float64 {
	if !item.Has(name) {
		return 0
	}
	return item.Number(name)
}
