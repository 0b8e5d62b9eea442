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

// wordIndex turns a word of the facts into the number of its place among the words of a meaning.
func wordIndex(got string, words ...string) (int, error) {
	i := slices.Index(words, got)
	if i < 0 {
		return 0, fmt.Errorf("unknown word %q, expected one of %q", got, words)
	}
	return i, nil
}

// Deployment is what is known at start: what the module needs, and what names and bounds mean on the way to it.
type Deployment struct {
	Cluster          *logic.Cluster
	JobClasses       []string // names, in the order of the cluster's
	Deadlines        []float64
	Tenants          []string
	Quotas           []float64 // of tenants, of the whole
	Zones            []string
	Kinds            []string
	IdleTimeout      float64 // nodes close connections after so long without a message
	ConnectTimeout   float64 // a connection that is not made by then counts as not made
	ClientRetryDelay float64 // an owner waits so long before it asks again for what may run
	MaxOpen          int
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
	var in validator
	in.checkCount("self-index", float64(f.Index), 0)
	in.checkTime("step-ns", f.Step, true)
	in.checkTime("rules.ask-every-ns", f.Rules.AskEvery, f.Discovery == "ask")
	in.checkTime("rules.cold-ns", f.Rules.ColdFor, false)
	in.checkTime("rules.overload-for-ns", f.Rules.FallWindow, false)
	in.checkTime("policy-limits.conn-idle-ns", f.Limits.IdleFor, false)
	in.checkTime("policy-limits.connect-timeout-ns", f.Limits.ConnectFor, false)
	in.checkTime("family-info.settle-ns", f.Info.Settle, false)
	in.checkCount("policy-limits.max-attempts", float64(f.Limits.MaxTries), 1)
	in.checkCount("policy-limits.open-cap", float64(f.Limits.Open), 0)
	in.checkCount("family-info.cold-bears", f.Info.ColdBears, 0)
	in.checkPositive("family-info.cores-multiple", f.Info.CoresLimit)
	in.checkPositive("family-info.memory-multiple", f.Info.MemoryLimit)
	in.checkPositive("family-info.unit-cores", f.Info.MeanCores)
	in.checkPositive("family-info.mean-memory", f.Info.MeanMemory)
	for i := range f.Info.KindCores {
		in.checkPositive(fmt.Sprintf("family-info.cpu-of-kind %d", i), f.Info.KindCores[i])
		in.checkPositive(fmt.Sprintf("family-info.mem-of-kind %d", i), f.Info.KindMemory[i])
	}
	for i, k := range f.Info.Kinds {
		in.checkRange(fmt.Sprintf("family-info.kind-by-class %d", i), float64(k), -1, float64(len(f.Info.KindCores)-1))
	}
	for i, n := range f.Info.Most {
		in.checkCount(fmt.Sprintf("family-info.most-together %d", i), float64(n), 0)
	}
	for i, p := range f.Projects {
		in.checkRange(fmt.Sprintf("projects %d (%s) portion", i, p.Name), p.Portion, 0, 1)
	}
	for i, c := range f.Services {
		of := jobClassField(i, c.Name)
		in.checkTime(of+"deadline-ns", c.Expiry, false)
		in.checkTime(of+"aim-ns", c.Target, true)
		in.checkTime(of+"window-ns", c.Window, false)
		in.checkRange(of+"worth", c.Worth, 0, maxFigure)
	}
	if in.err != nil {
		return nil, in.err
	}
	if _, err := wordIndex(f.Discovery, "push", "ask"); err != nil {
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
		Cluster: cl, Zones: f.Zones, Kinds: f.Kinds, IdleTimeout: f.Limits.IdleFor / nsPerMs,
		ConnectTimeout: f.Limits.ConnectFor / nsPerMs, ClientRetryDelay: f.Info.Settle / nsPerMs, MaxOpen: f.Limits.Open,
	}
	for _, p := range f.Projects {
		d.Tenants, d.Quotas = append(d.Tenants, p.Name), append(d.Quotas, p.Portion)
	}
	for i, c := range f.Services {
		d.JobClasses, d.Deadlines = append(d.JobClasses, c.Name), append(d.Deadlines, c.Expiry/nsPerMs)
		of := jobClassField(i, c.Name)
		effect, err := wordIndex(c.Effect, "free", "guarded", "single_shot")
		if err != nil {
			return nil, fmt.Errorf("%seffect: %w", of, err)
		}
		group := 0
		if effect == int(logic.Idempotent) {
			if group, err = wordIndex(c.Group, "all", "zone", "cell"); err != nil {
				return nil, fmt.Errorf("%sgroup: %w", of, err)
			}
		}
		spread, err := wordIndex(elementOr(f.Info.Spread, i, "silent"), "silent", "machine", "cell", "zone")
		if err != nil {
			return nil, fmt.Errorf("family-info.spread-over %d: %w", i, err)
		}
		cl.JobClasses = append(cl.JobClasses, logic.JobClass{
			Semantics: logic.RetrySemantics(effect), IdempotencyScope: logic.IdempotencyScope(group), IdempotencyWindow: c.Window / nsPerMs,
			LatencyObjective: c.Target / nsPerMs, PriorityWeight: c.Worth,
			NodeKind: elementOr(f.Info.Kinds, i, -1), Spread: logic.SpreadScope(spread),
			MaxPerScope: elementOr(f.Info.Most, i, 1),
		})
	}
	return d, nil
}

// ValidateForSockets tells what a scheduler on sockets lacks in a deployment that is enough for one in the simulator, which makes no
// connections, names nothing, has an expiry told with each allocation and is told of no more than it may hold.
func (d *Deployment) ValidateForSockets() error {
	for _, of := range []struct {
		what  string
		names []string
	}{{"services", d.JobClasses}, {"projects", d.Tenants}, {"zones", d.Zones}, {"kinds", d.Kinds}} {
		if err := checkDistinct(of.what, of.names); err != nil {
			return err
		}
	}
	var in validator
	for i, expiry := range d.Deadlines {
		in.checkTime(jobClassField(i, d.JobClasses[i])+"deadline-ns", expiry*nsPerMs, true)
	}
	in.checkTime("policy-limits.conn-idle-ns", d.IdleTimeout*nsPerMs, true)
	in.checkTime("policy-limits.connect-timeout-ns", d.ConnectTimeout*nsPerMs, true)
	in.checkCount("policy-limits.open-cap", float64(d.MaxOpen), 1)
	return in.err
}

// Bounds of what a deployment may say of itself. Beyond them a figure is a mistake, and nothing would be right that follows from it.
const (
	maxDurationNs = 31 * 24 * 3600e9 // ns
	maxFigure     = 1e9              // of a count or a size
)

// validator checks figures, and keeps the first that is out of its bounds, by the name of its field.
type validator struct{ err error }

func (b *validator) checkRange(field string, v, least, most float64) {
	if b.err == nil && !(v >= least && v <= most) {
		b.err = fmt.Errorf("%s: %g, from %g to %g is possible", field, v, least, most)
	}
}

// checkTime checks a time in ns, which is absent or 0 only where it is not needed.
func (b *validator) checkTime(field string, ns float64, needed bool) {
	least := 0.0
	if needed {
		least = 1
	}
	b.checkRange(field, ns, least, maxDurationNs)
}

func (b *validator) checkCount(field string, v, least float64) {
	b.checkRange(field, v, least, maxFigure)
}

// checkPositive checks a figure that has to be above 0.
func (b *validator) checkPositive(field string, v float64) { b.checkRange(field, v, 1e-9, maxFigure) }

// jobClassField names a job type's place in the settings, before one of its fields.
func jobClassField(i int, name string) string { return fmt.Sprintf("services %d (%s) ", i, name) }

// checkDistinct tells which name stands for nothing, or for two things.
func checkDistinct(what string, names []string) error {
	for i, n := range names {
		if n == "" || slices.Contains(names[:i], n) {
			return fmt.Errorf("%s %d name: %q is empty or another's", what, i, n)
		}
	}
	return nil
}

func elementOr[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}
