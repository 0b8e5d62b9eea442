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
var Grammar = &strictxml.Element{Name: "site", Attrs: []strictxml.Attr{{Name: "name", Kind: strictxml.Name, Must: true}},
	Children: []*strictxml.Element{
		{Name: "cluster", Least: 1, Most: 1, Attrs: []strictxml.Attr{
			{Name: "schedulers", Kind: strictxml.Whole, Must: true, Min: 1, Max: 100000},
			{Name: "list", Kind: strictxml.Word, Must: true, Words: []string{"told", "asked"}},
			{Name: "ask-every", Kind: strictxml.Duration, Default: "10s", Min: 100, Max: hour},
			{Name: "step", Kind: strictxml.Duration, Default: "2ms", Min: 0.1, Max: 100},
			{Name: "tries", Kind: strictxml.Whole, Default: "4", Min: 1, Max: 200},
			{Name: "recall", Kind: strictxml.Bool, Default: "true"},
			{Name: "probe", Kind: strictxml.Bool, Default: "true"},
			{Name: "cores-limit", Kind: strictxml.Number, Must: true, Min: 0.1, Max: 100},
			{Name: "memory-limit", Kind: strictxml.Number, Must: true, Min: 0.1, Max: 100},
			{Name: "list-has-room", Kind: strictxml.Bool, Default: "true"},
			{Name: "reports", Kind: strictxml.Word, Default: "asked", Words: []string{"asked", "used"}},
			{Name: "reports-come", Kind: strictxml.Word, Default: "answers", Words: []string{"answers", "probes"}},
			{Name: "pushes-out", Kind: strictxml.Bool, Default: "false"},
			{Name: "mean-cores", Kind: strictxml.Number, Must: true, Min: 1e-6, Max: 1e6},
			{Name: "mean-memory", Kind: strictxml.Number, Must: true, Min: 1e-6, Max: 1e9},
			{Name: "fleet-price", Kind: strictxml.Number, Default: "0", Min: 0, Max: 1e6},
		}},
		{Name: "rules", Least: 1, Most: 1, Attrs: []strictxml.Attr{
			{Name: "drain-grace", Kind: strictxml.Duration, Must: true, Min: 1, Max: hour},
			{Name: "cold-bears", Kind: strictxml.Number, Must: true, Min: 1, Max: 1e6},
			{Name: "cold-for", Kind: strictxml.Duration, Must: true, Min: 1, Max: hour},
			{Name: "cold-window", Kind: strictxml.Duration, Must: true, Min: 1, Max: hour},
			{Name: "answer-margin", Kind: strictxml.Duration, Default: "100ms", Min: 1, Max: 60e3},
			{Name: "settle", Kind: strictxml.Duration, Default: "3s", Min: 1, Max: hour},
		}},
		{Name: "zone", Least: 1, Key: "name", Attrs: []strictxml.Attr{{Name: "name", Kind: strictxml.Name, Must: true},
			{Name: "region", Kind: strictxml.Name}, {Name: "hold", Kind: strictxml.Word, Words: []string{"open", "closed"}}}},
		{Name: "way", Attrs: []strictxml.Attr{{Name: "from", Kind: strictxml.Name, Must: true}, {Name: "to", Kind: strictxml.Name, Must: true},
			{Name: "takes", Kind: strictxml.Duration, Must: true, Min: 0, Max: hour}}},
		{Name: "machine", Least: 1, Key: "kind", Attrs: []strictxml.Attr{
			{Name: "kind", Kind: strictxml.Name, Must: true},
			{Name: "cores", Kind: strictxml.Number, Must: true, Min: 0.01, Max: 1e6},
			{Name: "memory", Kind: strictxml.Number, Must: true, Min: 0.01, Max: 1e9},
		}},
		{Name: "job-type", Least: 1, Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Must: true},
			{Name: "effect", Kind: strictxml.Word, Must: true, Words: []string{"restartable", "tokened", "run-once"}},
			{Name: "group", Kind: strictxml.Word, Words: []string{"all", "zone", "cell"}},
			{Name: "window", Kind: strictxml.Duration, Min: 1, Max: 24 * hour},
			{Name: "target", Kind: strictxml.Duration, Must: true, Min: 1, Max: hour},
			{Name: "expiry", Kind: strictxml.Duration, Must: true, Min: 10, Max: hour},
			{Name: "value", Kind: strictxml.Number, Must: true, Min: 0, Max: 1e9},
			{Name: "machine", Kind: strictxml.Name},
			{Name: "spread", Kind: strictxml.Word, Default: "anywhere", Words: []string{"anywhere", "node", "cell", "zone"}},
			{Name: "most", Kind: strictxml.Whole, Min: 1, Max: 1e6},
			{Name: "drain", Kind: strictxml.Word, Words: []string{"early", "late", "run-out"}},
		}},
		{Name: "tenant", Key: "name", Attrs: []strictxml.Attr{
			{Name: "name", Kind: strictxml.Name, Must: true},
			{Name: "share", Kind: strictxml.Number, Must: true, Min: 0, Max: 1},
		}},
		{Name: "hosting", Most: 1, Attrs: []strictxml.Attr{
			{Name: "tenants", Kind: strictxml.Whole, Must: true, Min: 1, Max: 100000},
			{Name: "admin", Kind: strictxml.Address},
		}},
		{Name: "limits", Most: 1, Least: 1, Attrs: []strictxml.Attr{
			{Name: "open", Kind: strictxml.Whole, Must: true, Min: 1, Max: 1e7},
			{Name: "owners", Kind: strictxml.Whole, Default: "1000", Min: 1, Max: 1e6},
			{Name: "owner-queue", Kind: strictxml.Whole, Default: "20000", Min: 16, Max: 1e7},
			{Name: "node-queue", Kind: strictxml.Whole, Default: "262144", Min: 4096, Max: 1 << 30},
		}},
		{Name: "drains", Most: 1, Attrs: []strictxml.Attr{
			{Name: "fleet", Kind: strictxml.Number, Default: "0.25", Min: 0, Max: 1},
			{Name: "zone", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "machine", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "cold", Kind: strictxml.Whole, Default: "20", Min: 1, Max: 1e6},
			{Name: "margin", Kind: strictxml.Number, Default: "1.2", Min: 0.1, Max: 10},
			{Name: "guard", Kind: strictxml.Duration, Default: "5s", Min: 0, Max: hour},
		}},
		{Name: "shards", Most: 1, Attrs: []strictxml.Attr{
			{Name: "count", Kind: strictxml.Whole, Must: true, Min: 1, Max: 64},
			{Name: "most", Kind: strictxml.Whole, Min: 1, Max: 64},
			{Name: "connections", Kind: strictxml.Word, Default: "shared", Words: []string{"own", "shared", "informed"}},
			{Name: "place", Kind: strictxml.Word, Default: "service", Words: []string{"service", "tenant", "in-turn"}},
		}},
		{Name: "members", Most: 1, Attrs: []strictxml.Attr{
			{Name: "listen", Kind: strictxml.Address, Must: true},
			{Name: "seeds", Kind: strictxml.Text, Must: true},
			{Name: "key", Kind: strictxml.Text, Must: true},
			{Name: "advertise", Kind: strictxml.Address},
			{Name: "lends", Kind: strictxml.Number, Default: "0.5", Min: 0, Max: 1},
			{Name: "stewards", Kind: strictxml.Text},
		}},
		{Name: "working-set", Most: 1, Attrs: []strictxml.Attr{
			{Name: "nodes-least", Kind: strictxml.Whole, Must: true, Min: 1, Max: 1e6},
			{Name: "sets-least", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e5},
			{Name: "spare", Kind: strictxml.Number, Default: "8", Min: 1, Max: 1e5},
			{Name: "per-start", Kind: strictxml.Number, Default: "1", Min: 0, Max: 1e3},
			{Name: "spread-least", Kind: strictxml.Whole, Default: "3", Min: 1, Max: 1e4},
			{Name: "narrow-after", Kind: strictxml.Duration, Default: "30s", Min: 100, Max: hour},
		}},
		{Name: "counts", Most: 1, Attrs: []strictxml.Attr{{Name: "listen", Kind: strictxml.Address, Must: true}}},
		{Name: "node-list", Least: 1, Most: 1, Attrs: []strictxml.Attr{{Name: "address", Kind: strictxml.Address, Must: true}}},
		{Name: "owners", Least: 1, Most: 1, Attrs: []strictxml.Attr{{Name: "listen", Kind: strictxml.Address, Must: true},
			{Name: "tls", Kind: strictxml.Bool, Default: "false"}}},
	}}

// Connections says what the shards of a process share.
type Connections int

const (
	Own      Connections = iota // each has its connections to all nodes
	Shared                      // one connection a node carries the tries of all
	Informed                    // and reports that one hears are told to all
)

// Place is what a site file says.
type Place struct {
	Name               string
	Cluster            logic.Cluster
	Zones, Kinds, Jobs []string
	Regions            []string              // of the zones, empty where the site file names none
	Held               map[string]string     // zones that an operator holds "open" or "closed"
	Ways               map[[2]string]float64 // ms one way from zone to zone, both ways alike; none: no zone is nearer than another
	Tenants            []string
	Shares             []float64
	Hosted             int // tenants that come and go, so many at once; 0: those of the site file
	AdminListen        string
	Expiry             []float64 // by job type, for owners that name none
	DrainGrace         float64
	Margin, Settle     float64
	Open               int
	Owners, OwnerQueue int
	NodeQueue          int
	Drains             calendar.Limits
	Manners            []drainpace.Manner // by job type, how its work leaves a node that is taken out
	Shards, MostShards int                // at the start, and that may run until the next start
	Connections        Connections
	PlaceBy            int // a shares.Way
	ListAddress        string
	OwnersListen       string
	CountsListen       string // where counts are shown over HTTP, empty: nowhere
	OwnersSecure       bool   // the owners' door speaks TLS
	Members            Members
	WorkingSet         WorkingSet
}

// WorkingSet says how many nodes a scheduler works with, if Least is not 0; else with all.
type WorkingSet struct {
	Least       int     // nodes in a scheduler's set
	Coverage    float64 // sets that each node is in at least
	Spare       float64 // nodes for each machine that a scheduler's own tasks would fill
	PerStart    float64 // nodes for each start a second
	PerStratum  int     // nodes of each zone and machine kind in a set at least
	NarrowAfter float64 // ms that a set must have been larger than needed before it shrinks
}

// Members says how schedulers know each other, if Listen is not empty.
type Members struct {
	Listen string   // address of digits for datagrams
	Others string   // the address by which others reach it, where that is another
	Seeds  []string // addresses at which others are asked for first
	Key    string   // file of the site's member key
	// Stewards are the schedulers, by name, who agree on the book that all follow; none: there is no book.
	Stewards []string
	Lends    float64 // part of tenants' limits that is lent to those who are there, from 0 to 1
}

// Load reads a site file. All faults are in the error, a line each.
func Load(path string) (*Place, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	defer f.Close()
	p, faults := Read(f)
	if len(faults) > 0 {
		var b strings.Builder
		fmt.Fprintf(&b, "site file %s: %d faults", path, len(faults))
		for _, fault := range faults {
			fmt.Fprintf(&b, "\n  %s", fault)
		}
		return nil, fmt.Errorf("%s", b.String())
	}
	return p, nil
}

// Read reads a site file and names what is wrong with it.
func Read(in io.Reader) (*Place, []strictxml.Fault) {
	top, faults := strictxml.Read(in, Grammar)
	if top == nil {
		return nil, faults
	}
	fault := func(it *strictxml.Item, format string, args ...any) {
		faults = append(faults, strictxml.Fault{Line: it.Line, Text: fmt.Sprintf(format, args...)})
	}
	cl, rules, limits := top.One("cluster"), top.One("rules"), top.One("limits")
	p := &Place{Held: map[string]string{}, Ways: map[[2]string]float64{}, Name: top.Text("name"), DrainGrace: rules.Number("drain-grace"), Margin: rules.Number("answer-margin"),
		Settle: rules.Number("settle"), Open: limits.Int("open"), Owners: limits.Int("owners"),
		OwnerQueue: limits.Int("owner-queue"), NodeQueue: limits.Int("node-queue"),
		ListAddress: top.One("node-list").Text("address"), OwnersListen: top.One("owners").Text("listen"), OwnersSecure: top.One("owners").Bool("tls")}
	p.Cluster = logic.Cluster{
		Schedulers: cl.Int("schedulers"), AsksForList: cl.Text("list") == "asked", AskEvery: cl.Number("ask-every"),
		Step: cl.Number("step"), MaxTries: cl.Int("tries"), MayRecall: cl.Bool("recall"), MayProbe: cl.Bool("probe"),
		CoresLimit: cl.Number("cores-limit"), MemoryLimit: cl.Number("memory-limit"),
		ListsFree: cl.Bool("list-has-room"), CountsUse: cl.Text("reports") == "used", Report: []string{"x0", "x1"},
		ReportsCome: cl.Text("reports-come") == "answers", ColdBears: rules.Number("cold-bears"),
		ColdFor: rules.Number("cold-for"), FallWindow: rules.Number("cold-window"),
		Displaces: cl.Bool("pushes-out"), MeanCores: cl.Number("mean-cores"), MeanMemory: cl.Number("mean-memory"),
		FleetPrice: cl.Number("fleet-price"),
	}
	for _, z := range top.All("zone") {
		p.Zones = append(p.Zones, z.Text("name"))
		p.Regions = append(p.Regions, z.Text("region"))
		if hold := z.Text("hold"); hold != "" {
			p.Held[z.Text("name")] = hold
		}
	}
	for _, w := range top.All("way") {
		from, to := w.Text("from"), w.Text("to")
		for _, z := range []string{from, to} {
			if !slices.Contains(p.Zones, z) {
				fault(w, "<way>: zone %q is not one of the site's", z)
			}
		}
		if _, twice := p.Ways[[2]string{from, to}]; twice || from == to {
			fault(w, "<way>: from %q to %q again, or to itself", from, to)
		}
		p.Ways[[2]string{from, to}], p.Ways[[2]string{to, from}] = w.Number("takes"), w.Number("takes")
	}
	p.Drains = calendar.Limits{Fleet: 0.25, Zone: 0.5, Kind: 0.5, Cold: 20, Margin: 1.2, Guard: 5 * time.Second}
	if d := top.One("drains"); d != nil {
		p.Drains = calendar.Limits{Fleet: d.Number("fleet"), Zone: d.Number("zone"), Kind: d.Number("machine"),
			Cold: d.Int("cold"), Margin: d.Number("margin"), Guard: time.Duration(d.Number("guard") * 1e6)}
	}
	p.Drains.ColdFor = time.Duration(rules.Number("cold-for") * 1e6)
	p.Shards, p.MostShards, p.Connections = 1, 1, Shared
	if sh := top.One("shards"); sh != nil {
		p.Shards, p.Connections, p.PlaceBy = sh.Int("count"), Connections(sh.Word("connections")), sh.Word("place")
		p.MostShards = p.Shards
		if sh.Has("most") {
			p.MostShards = sh.Int("most")
		}
		if p.MostShards < p.Shards {
			fault(sh, "<shards>: most %d is less than count %d", p.MostShards, p.Shards)
		}
	}
	kinds := map[string]int{}
	for i, m := range top.All("machine") {
		kinds[m.Text("kind")] = i
		p.Kinds = append(p.Kinds, m.Text("kind"))
		p.Cluster.KindCores = append(p.Cluster.KindCores, m.Number("cores"))
		p.Cluster.KindMemory = append(p.Cluster.KindMemory, m.Number("memory"))
	}
	for _, j := range top.All("job-type") {
		jt := logic.JobType{Effect: logic.Effect(j.Word("effect")), Group: logic.Group(j.Word("group")),
			Window: optional(j, "window"), Target: j.Number("target"), Value: j.Number("value"), Kind: -1,
			Spread: logic.Place(j.Word("spread")), Most: 1}
		if name := j.Text("machine"); name != "" {
			k, ok := kinds[name]
			if !ok {
				fault(j, "<job-type>: no <machine> of kind %q", name)
			}
			jt.Kind = k
		}
		if tokened := jt.Effect == logic.Tokened; tokened != j.Has("group") || tokened != j.Has("window") {
			fault(j, "<job-type>: group and window stand where the effect is tokened, and only there")
		}
		if spread := jt.Spread != logic.Anywhere; spread != j.Has("most") {
			fault(j, "<job-type>: most stands where there is a spread, and only there")
		} else if spread {
			jt.Most = j.Int("most")
		}
		if j.Number("target") > j.Number("expiry") {
			fault(j, "<job-type>: target delay beyond the expiry")
		}
		if j.Number("expiry") <= p.Margin+4*p.Cluster.Step {
			fault(j, "<job-type>: expiry within the answer margin: nothing of it could be taken")
		}
		manner := drainpace.Usual(jt.Effect)
		if j.Has("drain") {
			manner = drainpace.Manner(j.Word("drain"))
		}
		p.Manners = append(p.Manners, manner)
		p.Jobs = append(p.Jobs, j.Text("name"))
		p.Expiry = append(p.Expiry, j.Number("expiry"))
		p.Cluster.JobTypes = append(p.Cluster.JobTypes, jt)
	}
	if c := top.One("counts"); c != nil {
		p.CountsListen = c.Text("listen")
	}
	if m := top.One("members"); m != nil {
		p.Members = Members{Listen: m.Text("listen"), Seeds: strings.Fields(m.Text("seeds")), Key: m.Text("key"), Others: m.Text("advertise"), Lends: m.Number("lends")}
		if _, err := netip.ParseAddrPort(p.Members.Listen); err != nil {
			fault(m, "<members>: listen %q: an address of digits and a port are expected", p.Members.Listen)
		}
		for _, a := range p.Members.Seeds {
			if at, err := netip.ParseAddrPort(a); err != nil || at.Port() == 0 {
				fault(m, "<members>: seed %q: an address of digits and a port are expected", a)
			}
		}
		if a := p.Members.Others; a != "" {
			if _, err := netip.ParseAddrPort(a); err != nil {
				fault(m, "<members>: advertise %q: an address of digits and a port are expected", a)
			}
		}
		p.Members.Stewards = strings.Fields(m.Text("stewards"))
		slices.Sort(p.Members.Stewards)
		if n := len(p.Members.Stewards); n != 0 && n != 3 && n != 5 || len(slices.Compact(slices.Clone(p.Members.Stewards))) != n {
			fault(m, "<members>: stewards %q: three or five schedulers by name are expected", m.Text("stewards"))
		}
		if len(p.Members.Seeds) == 0 {
			fault(m, "<members>: seeds: at least one address is expected")
		}
	}
	if w := top.One("working-set"); w != nil {
		p.WorkingSet = WorkingSet{Least: w.Int("nodes-least"), Coverage: w.Number("sets-least"), Spare: w.Number("spare"),
			PerStart: w.Number("per-start"), PerStratum: w.Int("spread-least"), NarrowAfter: w.Number("narrow-after")}
		if p.Connections == Own {
			fault(w, "<working-set>: shards with connections of their own have no set in common")
		}
	}
	sum := 0.0
	for _, t := range top.All("tenant") {
		p.Tenants = append(p.Tenants, t.Text("name"))
		p.Shares = append(p.Shares, t.Number("share"))
		sum += t.Number("share")
	}
	switch h := top.One("hosting"); {
	case h != nil && len(p.Tenants) > 0:
		fault(h, "<hosting>: tenants come and go, so the site file names none")
	case h != nil: // the share of each is in the store; none is held to one beyond the lines
		p.Hosted, p.AdminListen = h.Int("tenants"), h.Text("admin")
		p.Tenants = make([]string, p.Hosted)
		p.Shares = slices.Repeat([]float64{1}, p.Hosted)
	case len(p.Tenants) == 0:
		fault(top, "<site>: a <tenant> or <hosting> is expected")
	}
	if sum > 1+1e-9 {
		fault(top, "shares of the tenants sum to %g, over 1", sum)
	}
	if p.Cluster.AsksForList && p.Cluster.AskEvery < 4*p.DrainGrace/2 {
		fault(cl, "<cluster>: ask-every %g ms leaves no time to ask again within the drain grace", p.Cluster.AskEvery)
	}
	if len(p.Zones) > 255 || len(p.Kinds) > 255 {
		fault(top, "at most 255 zones and machine kinds")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return p, nil
}

// Resized tells the number of shards that a changed site file wants, if nothing else in it has changed: all else is
// read at the start alone.
func (p *Place) Resized(to *Place) (int, error) {
	same := *to
	same.Shards = p.Shards
	if !reflect.DeepEqual(*p, same) {
		return 0, errors.New("more than the count of shards has changed: start the scheduler anew")
	}
	return to.Shards, nil
}

// optional is a number that may be absent.
func optional(it *strictxml.Item, name string) float64 {
	if !it.Has(name) {
		return 0
	}
	return it.Number(name)
}
