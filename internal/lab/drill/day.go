// Package drill runs a scripted day of faults on loopback. The node list, the nodes and the clients run in this process, several schedulers run
// as processes of their own, and faults are injected at their scheduled times. The messages on the sockets are then audited.
package drill

import (
	_ "embed"
	"fmt"
	"io"
	"slices"

	"ravenpond/internal/audit"
	"ravenpond/internal/site"
	"ravenpond/internal/strictxml"
)

// DefaultDay is the text of the day file that is used if no other is given.
//
//go:embed day.xml
var DefaultDay string

// DefaultSite is the text of the default day's site file. The address of the node list is filled in at the start.
//
//go:embed site.xml
var DefaultSite string

// FaultKinds lists the names of the fault kinds; a fault's kind is an index into it.
var FaultKinds = []string{
	"list-away", "list-behind", "demand", "flood", "hang", "answers-lost", "job-fails",
	"reports-late", "neighbours", "hall-lost", "restart", "drain", "grow", "kill", "stand-still", "services-stop",
	"programs-lost", "pressure",
}

// Grammar is the grammar of a day file.
var Grammar = &strictxml.Element{Name: "day", Attrs: []strictxml.Attr{
	{Name: "name", Kind: strictxml.Name, Required: true},
	{Name: "lasts", Kind: strictxml.Duration, Required: true, Min: 1000, Max: 3600e3},
	{Name: "settles", Kind: strictxml.Duration, Default: "8s", Min: 1, Max: 60e3}, // time without new requests at the end of the day
	{Name: "schedulers", Kind: strictxml.Integer, Required: true, Min: 1, Max: 64},
	{Name: "rate", Kind: strictxml.Number, Required: true, Min: 0.1, Max: 1e5}, // new tasks per second
	{Name: "services", Kind: strictxml.Integer, Default: "30", Min: 1, Max: 1e5},
}, Children: []*strictxml.Element{
	{Name: "fleet", MinOccurs: 1, Attrs: []strictxml.Attr{
		{Name: "machine", Kind: strictxml.Name, Required: true},
		{Name: "zone", Kind: strictxml.Name, Required: true},
		{Name: "nodes", Kind: strictxml.Integer, Required: true, Min: 1, Max: 10000},
		{Name: "cells", Kind: strictxml.Integer, Default: "2", Min: 1, Max: 1000},
	}},
	{Name: "node", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{
		{Name: "look", Kind: strictxml.Duration, Required: true, Min: 0.001, Max: 10e3},
		{Name: "line", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e5},
		{Name: "starts", Kind: strictxml.Integer, Required: true, Min: 1, Max: 1e4},
		{Name: "no-program", Kind: strictxml.Number, Required: true, Min: 1, Max: 1000},
		{Name: "programs", Kind: strictxml.Integer, Required: true, Min: 0, Max: 1e4},
		{Name: "cold-from", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1},
		{Name: "fall", Kind: strictxml.Number, Required: true, Min: 1, Max: 1e4},
	}},
	{Name: "list", MinOccurs: 1, MaxOccurs: 1, Attrs: []strictxml.Attr{{Name: "lag", Kind: strictxml.Duration, Required: true, Min: 0, Max: 60e3}}},
	{Name: "work", MinOccurs: 1, Key: "job-type", Attrs: []strictxml.Attr{
		{Name: "job-type", Kind: strictxml.Name, Required: true},
		{Name: "part", Kind: strictxml.Number, Required: true, Min: 0, Max: 1},
		{Name: "cores", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e4},
		{Name: "memory", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 1e6},
		{Name: "start", Kind: strictxml.Duration, Required: true, Min: 0.01, Max: 60e3},
		{Name: "life", Kind: strictxml.Duration, Required: true, Min: 1, Max: 3600e3},
		{Name: "use", Kind: strictxml.Number, Required: true, Min: 0.01, Max: 2},
		{Name: "priority", Kind: strictxml.Integer, Default: "0", Min: 0, Max: 9},
	}},
	{Name: "window", Key: "name", Attrs: []strictxml.Attr{ // a maintenance window in the calendar of every scheduler
		{Name: "name", Kind: strictxml.Name, Required: true},
		{Name: "at", Kind: strictxml.Duration, Required: true, Min: 5000, Max: 3600e3}, // the window's start
		{Name: "lead", Kind: strictxml.Duration, Default: "4s", Min: 0, Max: 3600e3},
		{Name: "for", Kind: strictxml.Duration, Required: true, Min: 1000, Max: 3600e3},
		{Name: "cell", Kind: strictxml.Name},
		{Name: "zone", Kind: strictxml.Name},
		{Name: "ending", Kind: strictxml.Enum, Default: "release", Values: []string{"release", "sweep", "hold"}},
	}},
	{Name: "trouble", Attrs: []strictxml.Attr{
		{Name: "kind", Kind: strictxml.Enum, Required: true, Values: FaultKinds},
		{Name: "at", Kind: strictxml.Duration, Required: true, Min: 0, Max: 3600e3},
		{Name: "for", Kind: strictxml.Duration, Default: "5s", Min: 1, Max: 3600e3},
		{Name: "part", Kind: strictxml.Number, Default: "0.3", Min: 0, Max: 1},   // fraction of the nodes, schedulers or services
		{Name: "size", Kind: strictxml.Number, Default: "0.8", Min: 0, Max: 100}, // a factor, or the fraction that fails
		{Name: "zone", Kind: strictxml.Name},
		{Name: "job-type", Kind: strictxml.Name},
		{Name: "tenant", Kind: strictxml.Name},
		{Name: "how", Kind: strictxml.Enum, Default: "keep", Values: []string{"keep", "bit-by-bit", "at-once", "silence", "error"}},
	}},
}}

type nodeGroup struct {
	kind, cells, nodes int
	zone               string
}

type jobSpec struct {
	job                       int
	fraction, cores, memory   float64
	start, runtime, use       float64
	priority                  int
	name                      string
	timeout, latencyObjective float64
	semantics                 audit.Semantics
	spread                    audit.Spread
	maxPerDomain              int
	scope                     audit.IdempotencyScope
	window                    float64
}

type faultSpec struct {
	kind           int
	at, duration   float64
	fraction, size float64
	zone, tenant   string
	job            int
	mode           string
	line           int
}

type maintenanceWindow struct {
	name, cell, zone   string
	at, lead, duration float64
	ending             int
}

// Day is a day file that was checked against a site.
type Day struct {
	Name                                       string
	duration, settleTime, rate                 float64
	schedulers, services                       int
	nodeGroups                                 []nodeGroup
	jobs                                       []jobSpec
	faults                                     []faultSpec
	windows                                    []maintenanceWindow
	inspectTime                                float64
	queueLimit, concurrentStarts, programCache int
	programMissFactor, warmupPace              float64
	overloadFactor, listDelay                  float64
}

// dayReader reads a day file and checks it against a site.
type dayReader struct {
	site   *site.Config
	day    *Day
	faults []strictxml.Fault
}

// ReadDay reads a day file and checks it against a site. If the file has faults, it returns them with their lines, and a nil Day.
func ReadDay(in io.Reader, config *site.Config) (*Day, []strictxml.Fault) {
	top, faults := strictxml.Read(in, Grammar)
	if top == nil {
		return nil, faults
	}
	n := top.Child("node")
	d := &Day{
		Name: top.Text("name"), duration: top.Number("lasts"), settleTime: top.Number("settles"),
		rate: top.Number("rate"), schedulers: top.Int("schedulers"), services: top.Int("services"),
		inspectTime: n.Number("look"), queueLimit: n.Int("line"), concurrentStarts: n.Int("starts"), programCache: n.Int("programs"),
		programMissFactor: n.Number("no-program"), warmupPace: n.Number("cold-from"), overloadFactor: n.Number("fall"),
		listDelay: top.Child("list").Number("lag"),
	}
	r := &dayReader{site: config, day: d, faults: faults}
	r.readNodeGroups(top)
	r.readJobs(top)
	r.readWindows(top)
	r.readFaults(top)
	slices.SortStableFunc(d.jobs, func(x, y jobSpec) int { return x.job - y.job })
	slices.SortStableFunc(d.faults, func(x, y faultSpec) int { return int(x.at - y.at) })
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return d, nil
}

func (r *dayReader) fault(line int, format string, args ...any) {
	r.faults = append(r.faults, strictxml.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
}

// index returns the index of an attribute's text in names of the site. It returns -1 if names does not contain it, and adds a fault if the
// attribute is set.
func (r *dayReader) index(item *strictxml.Item, attr, what string, names []string) int {
	i := slices.Index(names, item.Text(attr))
	if i < 0 && item.Has(attr) {
		r.fault(item.Line, "the site has no %s %q", what, item.Text(attr))
	}
	return i
}

func (r *dayReader) readNodeGroups(top *strictxml.Item) {
	for _, f := range top.Children("fleet") {
		r.index(f, "zone", "zone", r.site.Zones)
		r.day.nodeGroups = append(r.day.nodeGroups, nodeGroup{
			r.index(f, "machine", "machine kind", r.site.MachineKinds), f.Int("cells"),
			f.Int("nodes"), f.Text("zone"),
		})
	}
}

// readJobs reads the load of each job class. Each class of the site needs an entry, and the fractions have to sum to 1.
func (r *dayReader) readJobs(top *strictxml.Item) {
	sum := 0.0
	for _, w := range top.Children("work") {
		job := r.index(w, "job-type", "job type", r.site.JobClasses)
		if job < 0 {
			continue
		}
		class := r.site.Cluster.JobClasses[job]
		r.day.jobs = append(r.day.jobs, jobSpec{
			job: job, fraction: w.Number("part"), cores: w.Number("cores"), memory: w.Number("memory"), start: w.Number("start"),
			runtime: w.Number("life"), use: w.Number("use"), priority: w.Int("priority"), name: w.Text("job-type"),
			timeout: r.site.Deadlines[job], latencyObjective: class.LatencyObjective, semantics: audit.Semantics(class.Semantics),
			spread: audit.Spread(class.Spread), maxPerDomain: class.MaxPerScope, scope: audit.IdempotencyScope(class.IdempotencyScope),
			window: class.IdempotencyWindow,
		})
		sum += w.Number("part")
	}
	if len(r.faults) == 0 && len(r.day.jobs) != len(r.site.JobClasses) {
		r.fault(top.Line, "each job type of the site needs a <work> element")
	}
	if sum < 0.999 || sum > 1.001 {
		r.fault(top.Line, "the part attributes of the <work> elements sum to %.4g, want 1", sum)
	}
}

func (r *dayReader) readWindows(top *strictxml.Item) {
	for _, w := range top.Children("window") {
		if w.Has("cell") == w.Has("zone") {
			r.fault(w.Line, "a window needs either a cell or a zone")
		}
		r.day.windows = append(r.day.windows, maintenanceWindow{
			w.Text("name"), w.Text("cell"), w.Text("zone"), w.Number("at"), w.Number("lead"),
			w.Number("for"), w.EnumIndex("ending"),
		})
	}
}

func (r *dayReader) readFaults(top *strictxml.Item) {
	for _, t := range top.Children("trouble") {
		r.index(t, "zone", "zone", r.site.Zones)
		r.index(t, "tenant", "tenant", r.site.Tenants)
		f := faultSpec{
			kind: t.EnumIndex("kind"), at: t.Number("at"), duration: t.Number("for"), fraction: t.Number("part"),
			size: t.Number("size"), zone: t.Text("zone"), tenant: t.Text("tenant"),
			job: r.index(t, "job-type", "job type", r.site.JobClasses), mode: t.Text("how"), line: t.Line,
		}
		if f.at > r.day.duration {
			r.fault(t.Line, "the trouble begins after the end of the day")
		}
		if FaultKinds[f.kind] == "job-fails" && f.job < 0 {
			r.fault(t.Line, "job-fails needs a job-type")
		}
		r.day.faults = append(r.day.faults, f)
	}
}
