// Package settings reads the settings that a deployment hands its schedulers at their start, on the platform and in the simulator alike.
//
// Read turns the JSON text into a Deployment: the cluster as the placement module needs it (logic.Cluster), and the names and bounds that the
// scheduler itself uses. Each figure is checked against bounds beyond which it can only be a mistake. An error is a FieldError that names the
// field in one line, or says that the text is no such JSON object. The package holds no state.
package settings

import (
	"fmt"

	"ravenpond/logic"
)

// nsPerMs converts the settings' nanoseconds to the program's milliseconds.
const nsPerMs = 1e6

// Deployment is what a scheduler knows of its deployment. Times are in ms.
type Deployment struct {
	Cluster          *logic.Cluster
	JobClasses       []string  // names, in the order of Cluster.JobClasses
	Deadlines        []float64 // of clients, by job class
	Tenants          []string
	Quotas           []float64 // of tenants, as a part of the whole, 0 to 1
	Zones            []string
	Kinds            []string // of nodes
	IdleTimeout      float64  // after which nodes close a connection without messages
	ConnectTimeout   float64  // for a connection to a node
	ClientRetryDelay float64  // that a client waits before it retries a request that may have run
	MaxOpen          int      // requests without a final answer
}

// Read reads a deployment from the JSON text of its settings. Unknown keys are skipped.
func Read(text []byte) (*Deployment, error) {
	f, err := parse(text)
	if err != nil {
		return nil, err
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	d := &Deployment{
		Cluster: f.cluster(), Zones: f.Zones, Kinds: f.Kinds, IdleTimeout: f.Limits.IdleTimeout / nsPerMs,
		ConnectTimeout: f.Limits.ConnectTimeout / nsPerMs, ClientRetryDelay: f.Info.RetryDelay / nsPerMs, MaxOpen: f.Limits.MaxOpen,
	}
	for _, p := range f.Projects {
		d.Tenants, d.Quotas = append(d.Tenants, p.Name), append(d.Quotas, p.Portion)
	}
	for i := range f.Services {
		class, err := f.jobClass(i)
		if err != nil {
			return nil, err
		}
		d.JobClasses, d.Deadlines = append(d.JobClasses, f.Services[i].Name), append(d.Deadlines, f.Services[i].Deadline/nsPerMs)
		d.Cluster.JobClasses = append(d.Cluster.JobClasses, class)
	}
	return d, nil
}

// cluster returns the cluster without its job classes.
func (f *file) cluster() *logic.Cluster {
	return &logic.Cluster{
		Schedulers: f.Instances, Index: f.Index,
		PollsList: f.pollsList(), ListMaxSilence: f.Rules.PollInterval / nsPerMs,
		MinRoundInterval: f.Step / nsPerMs,
		MaxAttempts:      f.Limits.MaxAttempts, CanCancel: f.Limits.CanCancel, CanProbe: f.Limits.CanProbe,
		KindCores: f.Info.KindCores, KindMemory: f.Info.KindMemory,
		CoresOvercommit: f.Info.CoresOvercommit, MemoryOvercommit: f.Info.MemoryOvercommit,
		ListsReportLoad: f.Info.ListsReportLoad, ReportsMeasureUse: f.Info.MeasuredBy == "used",
		ReportFields: f.Report.Fields, ReportsPiggybacked: f.Report.How == "piggyback",
		SlowStartLimit: f.Info.SlowStartLimit, SlowStartDuration: f.Rules.SlowStartDuration / nsPerMs,
		SlowStartWindow: f.Rules.SlowStartWindow / nsPerMs,
		Preempts:        f.Info.Preempts, MeanCores: f.Info.MeanCores, MeanMemory: f.Info.MeanMemory,
		FleetPrice: f.Prices.Fleet,
	}
}

// jobClass returns the job class of a service. The group counts for idempotent classes alone.
func (f *file) jobClass(i int) (logic.JobClass, error) {
	s := &f.Services[i]
	effect, err := enumIndex(serviceField(i, s.Name, "effect"), s.Effect, effectValues)
	if err != nil {
		return logic.JobClass{}, err
	}
	scope := 0
	if logic.RetrySemantics(effect) == logic.Idempotent {
		if scope, err = enumIndex(serviceField(i, s.Name, "group"), s.Group, groupValues); err != nil {
			return logic.JobClass{}, err
		}
	}
	spread, err := enumIndex(fmt.Sprintf("family-info.spread-over %d", i), elementOr(f.Info.Spread, i, spreadValues[logic.Anywhere]), spreadValues)
	if err != nil {
		return logic.JobClass{}, err
	}
	return logic.JobClass{
		Semantics: logic.RetrySemantics(effect), IdempotencyScope: logic.IdempotencyScope(scope),
		IdempotencyWindow: s.IdempotencyWindow / nsPerMs, LatencyObjective: s.LatencyObjective / nsPerMs, PriorityWeight: s.PriorityWeight,
		NodeKind: elementOr(f.Info.NodeKinds, i, -1), Spread: logic.SpreadScope(spread), MaxPerScope: elementOr(f.Info.MaxPerScope, i, 1),
	}, nil
}

// elementOr returns an element of a list that may be too short, or what stands for an absent one.
func elementOr[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ValidateForSockets checks what a scheduler on sockets needs of a deployment beside what Read checks. A scheduler in the simulator makes no
// connections, names nothing, is given a deadline with each request and no more requests than it may hold.
func (d *Deployment) ValidateForSockets() error {
	for _, list := range []struct {
		name  string
		names []string
	}{{"services", d.JobClasses}, {"projects", d.Tenants}, {"zones", d.Zones}, {"kinds", d.Kinds}} {
		if err := checkDistinct(list.name, list.names); err != nil {
			return err
		}
	}
	var v validator
	for i, deadline := range d.Deadlines {
		v.checkTime(serviceField(i, d.JobClasses[i], "deadline-ns"), deadline*nsPerMs, true)
	}
	v.checkTime("policy-limits.conn-idle-ns", d.IdleTimeout*nsPerMs, true)
	v.checkTime("policy-limits.connect-timeout-ns", d.ConnectTimeout*nsPerMs, true)
	v.checkCount("policy-limits.open-cap", float64(d.MaxOpen), 1)
	return v.err
}
