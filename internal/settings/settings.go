// Package settings reads the settings that a deployment passes to its schedulers when they start, both on the platform and in the simulator.
//
// Read converts the JSON text to a Deployment: the cluster as the placement module needs it (logic.Cluster), and the names and limits that the
// scheduler itself uses. Each number is checked against bounds beyond which it can only be a mistake. An error is either a FieldError, which
// names the field in one line, or says that the text is not a valid JSON object of settings. The package holds no state.
package settings

import (
	"fmt"

	"ravenpond/logic"
)

// nsPerMs converts the nanoseconds of the settings to the milliseconds that the program uses.
const nsPerMs = 1e6

// Deployment describes the deployment of a scheduler. Times are in ms.
type Deployment struct {
	Cluster          *logic.Cluster
	JobClasses       []string  // names of the job classes, in the order of Cluster.JobClasses
	Deadlines        []float64 // time after which clients stop waiting, by job class
	Tenants          []string
	Quotas           []float64 // by tenant, as a fraction of the whole, 0 to 1
	Zones            []string
	Kinds            []string // names of the kinds of nodes
	IdleTimeout      float64  // time after which nodes close a connection without messages
	ConnectTimeout   float64  // time-out for connecting to a node
	ClientRetryDelay float64  // time that a client waits before it retries a request that may have run
	MaxOpen          int      // maximum number of requests without a final answer
}

// Read reads a deployment from the JSON text of its settings. Unknown keys are ignored.
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

// cluster converts the settings to a logic.Cluster without job classes.
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

// jobClass converts a service to a job class. The group is used only for idempotent classes.
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

// elementOr returns an element of a list, or the value of absent if the list is too short.
func elementOr[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ValidateForSockets checks what a scheduler that uses sockets requires of a deployment in addition to the checks of Read. A scheduler in the
// simulator does not require it: it makes no connections, uses no names, and receives a deadline with each request and no more requests than it
// may hold.
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
