package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// file is the JSON object of the settings. Unknown keys are ignored.
type file struct {
	Discovery string       `json:"discovery"`
	Family    string       `json:"family"` // not used
	Info      familyInfo   `json:"family-info"`
	Instances int          `json:"instances"`
	Index     int          `json:"self-index"`
	Limits    policyLimits `json:"policy-limits"`
	Prices    struct {
		Fleet float64 `json:"fleet"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		PollInterval      float64 `json:"ask-every-ns"`
		SlowStartDuration float64 `json:"cold-ns"`
		SlowStartWindow   float64 `json:"overload-for-ns"`
	} `json:"rules"`
	Kinds    []string  `json:"kinds"`
	Projects []project `json:"projects"`
	Zones    []string  `json:"zones"`
	Services []service `json:"services"`
	Step     float64   `json:"step-ns"`
}

// familyInfo describes nodes and load reports, and the placement constraints of job classes.
type familyInfo struct {
	SlowStartLimit   float64   `json:"cold-bears"`
	CoresOvercommit  float64   `json:"cores-multiple"`
	MemoryOvercommit float64   `json:"memory-multiple"`
	KindCores        []float64 `json:"cpu-of-kind"`
	KindMemory       []float64 `json:"mem-of-kind"`
	Preempts         bool      `json:"displaces"`
	NodeKinds        []int     `json:"kind-by-class"` // by job class, like MaxPerScope and Spread
	ListsReportLoad  bool      `json:"lists-free"`
	MeanCores        float64   `json:"unit-cores"`
	MeanMemory       float64   `json:"mean-memory"`
	MeasuredBy       string    `json:"measured-by"`
	MaxPerScope      []int     `json:"most-together"`
	Spread           []string  `json:"spread-over"`
	RetryDelay       float64   `json:"settle-ns"`
}

// policyLimits contains the capabilities and limits of a scheduler.
type policyLimits struct {
	CanCancel      bool    `json:"cancel"`
	MaxAttempts    int     `json:"max-attempts"`
	CanProbe       bool    `json:"probes"`
	IdleTimeout    float64 `json:"conn-idle-ns"`
	ConnectTimeout float64 `json:"connect-timeout-ns"`
	MaxOpen        int     `json:"open-cap"`
}

// project describes a tenant.
type project struct {
	Name    string  `json:"name"`
	Portion float64 `json:"portion"`
}

// service describes a job class.
type service struct {
	Name              string  `json:"name"`
	Deadline          float64 `json:"deadline-ns"`
	LatencyObjective  float64 `json:"aim-ns"`
	Effect            string  `json:"effect"`
	Group             string  `json:"group"`
	IdempotencyWindow float64 `json:"window-ns"`
	PriorityWeight    float64 `json:"worth"`
}

// Enum values of the settings. Their positions are the values that they stand for.
var (
	discoveryValues = []string{"push", "ask"}
	effectValues    = []string{"free", "guarded", "single_shot"}    // logic.RetrySemantics
	groupValues     = []string{"all", "zone", "cell"}               // logic.IdempotencyScope
	spreadValues    = []string{"silent", "machine", "cell", "zone"} // logic.SpreadScope
)

// parse decodes the JSON object of the settings.
func parse(text []byte) (*file, error) {
	var f file
	err := json.Unmarshal(text, &f)
	if typeError := new(json.UnmarshalTypeError); errors.As(err, &typeError) && typeError.Field != "" { // the error's own text would show the whole Go type
		return nil, fieldErrorf(strings.ToLower(typeError.Field), "unexpected JSON %s", typeError.Value)
	}
	if err != nil {
		return nil, fmt.Errorf("cannot decode JSON: %w", err)
	}
	return &f, nil
}

// pollsList returns whether the scheduler has to poll the node list.
func (f *file) pollsList() bool { return f.Discovery == "ask" }

// check checks all numbers, and that lists that belong together have the same length.
func (f *file) check() error {
	if len(f.Services) == 0 || f.Instances < 1 {
		return fieldErrorf("services, instances", "got %d services and %d instances, want at least one of each", len(f.Services), f.Instances)
	}
	if n := len(f.Info.KindCores); n != len(f.Info.KindMemory) || n == 0 || len(f.Kinds) > 0 && len(f.Kinds) != n {
		return fieldErrorf("family-info.cpu-of-kind, mem-of-kind, kinds", "got cores of %d kinds, memory of %d and names of %d, want the same number of each and at least one kind", n,
			len(f.Info.KindMemory), len(f.Kinds))
	}
	var v validator
	f.checkTimes(&v)
	f.checkSizes(&v)
	f.checkLists(&v)
	if v.err != nil {
		return v.err
	}
	if _, err := enumIndex("discovery", f.Discovery, discoveryValues); err != nil {
		return err
	}
	return nil
}

func (f *file) checkTimes(v *validator) {
	v.checkCount("self-index", float64(f.Index), 0)
	v.checkTime("step-ns", f.Step, true)
	v.checkTime("rules.ask-every-ns", f.Rules.PollInterval, f.pollsList())
	v.checkTime("rules.cold-ns", f.Rules.SlowStartDuration, false)
	v.checkTime("rules.overload-for-ns", f.Rules.SlowStartWindow, false)
	v.checkTime("policy-limits.conn-idle-ns", f.Limits.IdleTimeout, false)
	v.checkTime("policy-limits.connect-timeout-ns", f.Limits.ConnectTimeout, false)
	v.checkTime("family-info.settle-ns", f.Info.RetryDelay, false)
}

func (f *file) checkSizes(v *validator) {
	v.checkCount("policy-limits.max-attempts", float64(f.Limits.MaxAttempts), 1)
	v.checkCount("policy-limits.open-cap", float64(f.Limits.MaxOpen), 0)
	v.checkCount("family-info.cold-bears", f.Info.SlowStartLimit, 0)
	v.checkPositive("family-info.cores-multiple", f.Info.CoresOvercommit)
	v.checkPositive("family-info.memory-multiple", f.Info.MemoryOvercommit)
	v.checkPositive("family-info.unit-cores", f.Info.MeanCores)
	v.checkPositive("family-info.mean-memory", f.Info.MeanMemory)
}

func (f *file) checkLists(v *validator) {
	for i := range f.Info.KindCores {
		v.checkPositive(fmt.Sprintf("family-info.cpu-of-kind %d", i), f.Info.KindCores[i])
		v.checkPositive(fmt.Sprintf("family-info.mem-of-kind %d", i), f.Info.KindMemory[i])
	}
	for i, kind := range f.Info.NodeKinds {
		v.checkRange(fmt.Sprintf("family-info.kind-by-class %d", i), float64(kind), -1, float64(len(f.Info.KindCores)-1))
	}
	for i, n := range f.Info.MaxPerScope {
		v.checkCount(fmt.Sprintf("family-info.most-together %d", i), float64(n), 0)
	}
	for i, p := range f.Projects {
		v.checkRange(fmt.Sprintf("projects %d (%s) portion", i, p.Name), p.Portion, 0, 1)
	}
	for i := range f.Services {
		s := &f.Services[i]
		v.checkTime(serviceField(i, s.Name, "deadline-ns"), s.Deadline, false)
		v.checkTime(serviceField(i, s.Name, "aim-ns"), s.LatencyObjective, true)
		v.checkTime(serviceField(i, s.Name, "window-ns"), s.IdempotencyWindow, false)
		v.checkRange(serviceField(i, s.Name, "worth"), s.PriorityWeight, 0, maxValue)
	}
}
