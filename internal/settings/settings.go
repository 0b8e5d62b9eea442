// Package settings reads what a deployment hands its schedulers at start, on the bench and on the platform alike.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"ravenpond/logic"
)

const nsPerMs = 1e6

// word turns a word of the facts into the number of its place among the words of a meaning.
func word(got string, words ...string) (int, error) {
	i := slices.Index(words, got)
	if i < 0 {
		return 0, fmt.Errorf("unknown word %q, expected one of %q", got, words)
	}
	return i, nil
}

// Deployment is what is known at start: what the module needs, and what names and bounds mean on the way to it.
type Deployment struct {
	Cluster    *logic.Cluster
	JobTypes   []string // names, in the order of the cluster's
	Expiry     []float64
	Tenants    []string
	Shares     []float64 // of tenants, of the whole
	Zones      []string
	Kinds      []string
	IdleFor    float64 // nodes close connections after so long without a message
	ConnectFor float64 // a connection that is not made by then counts as not made
	Settle     float64 // an owner waits so long before it asks again for what may run
	OpenMost   int
}

// Read turns an instance's first message into the deployment it describes. Unknown keys are skipped.
func Read(text []byte) (*Deployment, error) {
	var f struct {
		Discovery string
		Family    string
		Info      struct {
			ColdBears   float64   `json:"cold-bears"`
			CoresLimit  float64   `json:"cores-multiple"`
			MemoryLimit float64   `json:"memory-multiple"`
			KindCores   []float64 `json:"cpu-of-kind"`
			KindMemory  []float64 `json:"mem-of-kind"`
			Displaces   bool      `json:"displaces"`
			Kinds       []int     `json:"kind-by-class"`
			ListsFree   bool      `json:"lists-free"`
			MeanCores   float64   `json:"unit-cores"`
			MeanMemory  float64   `json:"mean-memory"`
			MeasuredBy  string    `json:"measured-by"`
			Most        []int     `json:"most-together"`
			Spread      []string  `json:"spread-over"`
			Settle      float64   `json:"settle-ns"`
		} `json:"family-info"`
		Instances int
		Index     int `json:"self-index"`
		Limits    struct {
			Cancel     bool
			MaxTries   int `json:"max-attempts"`
			Probes     bool
			IdleFor    float64 `json:"conn-idle-ns"`
			ConnectFor float64 `json:"connect-timeout-ns"`
			Open       int     `json:"open-cap"`
		} `json:"policy-limits"`
		Prices struct{ Fleet float64 }
		Report struct {
			Fields []string
			How    string
		}
		Rules struct {
			AskEvery   float64 `json:"ask-every-ns"`
			ColdFor    float64 `json:"cold-ns"`
			FallWindow float64 `json:"overload-for-ns"`
		}
		Kinds    []string
		Projects []struct {
			Name    string
			Portion float64
		}
		Zones    []string
		Services []struct {
			Name   string
			Expiry float64 `json:"deadline-ns"`
			Target float64 `json:"aim-ns"`
			Effect string
			Group  string
			Window float64 `json:"window-ns"`
			Worth  float64
		}
		Step float64 `json:"step-ns"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) && wrong.Field != "" { // its text has the whole of our type
			return nil, fmt.Errorf("%s: a %s can't be meant", strings.ToLower(wrong.Field), wrong.Value)
		}
		return nil, fmt.Errorf("facts do not parse: %w", err)
	}
	if len(f.Services) == 0 || f.Instances < 1 {
		return nil, fmt.Errorf("services, instances: facts name %d job types and %d instances", len(f.Services), f.Instances)
	}
	if n := len(f.Info.KindCores); n != len(f.Info.KindMemory) || n == 0 || len(f.Kinds) > 0 && len(f.Kinds) != n {
		return nil, fmt.Errorf("family-info.cpu-of-kind, mem-of-kind, kinds: facts give cores of %d kinds, memory of %d, names of %d", n,
			len(f.Info.KindMemory), len(f.Kinds))
	}
	var in bounds
	in.count("self-index", float64(f.Index), 0)
	in.time("step-ns", f.Step, true)
	in.time("rules.ask-every-ns", f.Rules.AskEvery, f.Discovery == "ask")
	in.time("rules.cold-ns", f.Rules.ColdFor, false)
	in.time("rules.overload-for-ns", f.Rules.FallWindow, false)
	in.time("policy-limits.conn-idle-ns", f.Limits.IdleFor, false)
	in.time("policy-limits.connect-timeout-ns", f.Limits.ConnectFor, false)
	in.time("family-info.settle-ns", f.Info.Settle, false)
	in.count("policy-limits.max-attempts", float64(f.Limits.MaxTries), 1)
	in.count("policy-limits.open-cap", float64(f.Limits.Open), 0)
	in.count("family-info.cold-bears", f.Info.ColdBears, 0)
	in.size("family-info.cores-multiple", f.Info.CoresLimit)
	in.size("family-info.memory-multiple", f.Info.MemoryLimit)
	in.size("family-info.unit-cores", f.Info.MeanCores)
	in.size("family-info.mean-memory", f.Info.MeanMemory)
	for i := range f.Info.KindCores {
		in.size(fmt.Sprintf("family-info.cpu-of-kind %d", i), f.Info.KindCores[i])
		in.size(fmt.Sprintf("family-info.mem-of-kind %d", i), f.Info.KindMemory[i])
	}
	for i, k := range f.Info.Kinds {
		in.within(fmt.Sprintf("family-info.kind-by-class %d", i), float64(k), -1, float64(len(f.Info.KindCores)-1))
	}
	for i, n := range f.Info.Most {
		in.count(fmt.Sprintf("family-info.most-together %d", i), float64(n), 0)
	}
	for i, p := range f.Projects {
		in.within(fmt.Sprintf("projects %d (%s) portion", i, p.Name), p.Portion, 0, 1)
	}
	for i, c := range f.Services {
		of := service(i, c.Name)
		in.time(of+"deadline-ns", c.Expiry, false)
		in.time(of+"aim-ns", c.Target, true)
		in.time(of+"window-ns", c.Window, false)
		in.within(of+"worth", c.Worth, 0, largest)
	}
	if in.err != nil {
		return nil, in.err
	}
	if _, err := word(f.Discovery, "push", "ask"); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	cl := &logic.Cluster{
		Schedulers: f.Instances, Index: f.Index, PollsList: f.Discovery == "ask", ListMaxSilence: f.Rules.AskEvery / nsPerMs,
		MinRoundInterval: f.Step / nsPerMs, MaxAttempts: f.Limits.MaxTries,
		CanCancel: f.Limits.Cancel, CanProbe: f.Limits.Probes, KindCores: f.Info.KindCores,
		KindMemory: f.Info.KindMemory, CoresOvercommit: f.Info.CoresLimit, MemoryOvercommit: f.Info.MemoryLimit,
		ListsReportLoad: f.Info.ListsFree, ReportsMeasureUse: f.Info.MeasuredBy == "used", ReportFields: f.Report.Fields,
		ReportsPiggybacked: f.Report.How == "piggyback", SlowStartLimit: f.Info.ColdBears, SlowStartDuration: f.Rules.ColdFor / nsPerMs,
		SlowStartWindow: f.Rules.FallWindow / nsPerMs,
		Preempts:        f.Info.Displaces, MeanCores: f.Info.MeanCores, MeanMemory: f.Info.MeanMemory,
		FleetPrice: f.Prices.Fleet,
	}
	d := &Deployment{
		Cluster: cl, Zones: f.Zones, Kinds: f.Kinds, IdleFor: f.Limits.IdleFor / nsPerMs,
		ConnectFor: f.Limits.ConnectFor / nsPerMs, Settle: f.Info.Settle / nsPerMs, OpenMost: f.Limits.Open,
	}
	for _, p := range f.Projects {
		d.Tenants, d.Shares = append(d.Tenants, p.Name), append(d.Shares, p.Portion)
	}
	for i, c := range f.Services {
		d.JobTypes, d.Expiry = append(d.JobTypes, c.Name), append(d.Expiry, c.Expiry/nsPerMs)
		of := service(i, c.Name)
		effect, err := word(c.Effect, "free", "guarded", "single_shot")
		if err != nil {
			return nil, fmt.Errorf("%seffect: %w", of, err)
		}
		group := 0
		if effect == int(logic.Idempotent) {
			if group, err = word(c.Group, "all", "zone", "cell"); err != nil {
				return nil, fmt.Errorf("%sgroup: %w", of, err)
			}
		}
		spread, err := word(at(f.Info.Spread, i, "silent"), "silent", "machine", "cell", "zone")
		if err != nil {
			return nil, fmt.Errorf("family-info.spread-over %d: %w", i, err)
		}
		cl.JobClasses = append(cl.JobClasses, logic.JobClass{
			Semantics: logic.RetrySemantics(effect), IdempotencyScope: logic.IdempotencyScope(group), IdempotencyWindow: c.Window / nsPerMs,
			LatencyObjective: c.Target / nsPerMs, PriorityWeight: c.Worth,
			NodeKind: at(f.Info.Kinds, i, -1), Spread: logic.SpreadScope(spread),
			MaxPerScope: at(f.Info.Most, i, 1),
		})
	}
	return d, nil
}

// OnSockets tells what a scheduler on sockets lacks in a deployment that is enough for one in the simulator, which makes no
// connections, names nothing, has an expiry told with each allocation and is told of no more than it may hold.
func (d *Deployment) OnSockets() error {
	for _, of := range []struct {
		what  string
		names []string
	}{{"services", d.JobTypes}, {"projects", d.Tenants}, {"zones", d.Zones}, {"kinds", d.Kinds}} {
		if err := distinct(of.what, of.names); err != nil {
			return err
		}
	}
	var in bounds
	for i, expiry := range d.Expiry {
		in.time(service(i, d.JobTypes[i])+"deadline-ns", expiry*nsPerMs, true)
	}
	in.time("policy-limits.conn-idle-ns", d.IdleFor*nsPerMs, true)
	in.time("policy-limits.connect-timeout-ns", d.ConnectFor*nsPerMs, true)
	in.count("policy-limits.open-cap", float64(d.OpenMost), 1)
	return in.err
}

// Bounds of what a deployment may say of itself. Beyond them a figure is a mistake, and nothing would be right that follows from it.
const (
	longest = 31 * 24 * 3600e9 // ns
	largest = 1e9              // of a count or a size
)

// bounds checks figures, and keeps the first that is out of its bounds, by the name of its field.
type bounds struct{ err error }

func (b *bounds) within(field string, v, least, most float64) {
	if b.err == nil && !(v >= least && v <= most) {
		b.err = fmt.Errorf("%s: %g, from %g to %g is possible", field, v, least, most)
	}
}

// time checks a time in ns, which is absent or 0 only where it is not needed.
func (b *bounds) time(field string, ns float64, needed bool) {
	least := 0.0
	if needed {
		least = 1
	}
	b.within(field, ns, least, longest)
}

func (b *bounds) count(field string, v, least float64) { b.within(field, v, least, largest) }

// size checks a figure that has to be above 0.
func (b *bounds) size(field string, v float64) { b.within(field, v, 1e-9, largest) }

// service names a job type's place in the settings, before one of its fields.
func service(i int, name string) string { return fmt.Sprintf("services %d (%s) ", i, name) }

// distinct tells which name stands for nothing, or for two things.
func distinct(what string, names []string) error {
	for i, n := range names {
		if n == "" || slices.Contains(names[:i], n) {
			return fmt.Errorf("%s %d name: %q is empty or another's", what, i, n)
		}
	}
	return nil
}

func at[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}
